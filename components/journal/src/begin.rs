//! How a new process gets its first state.
//!
//! An empty log is not an empty configuration: its records may have expired or been lost while other
//! processes still hold what they folded. So seeds are asked first.

use std::net::SocketAddr;
use std::time::Duration;

use edge::{LogError, LogService, Page};
use rand::seq::IteratorRandom;
use tokio::time::{Instant, sleep};
use units::Offset;

use crate::backoff::jitter;
use crate::folded::{Health, Shared, Source};
use crate::peers::Peers;
use crate::reader::{bridge, read};

/// The pause between two rounds of questions.
const PAUSE: Duration = Duration::from_millis(500);
/// How many peers are asked in one round.
const ASKED: usize = 8;

/// A seed that is less than this behind the newest is as good as it: heartbeats and the log bring the rest.
const NEAR: u64 = 64;

/// What the seeds said.
#[derive(Debug, Default)]
struct Answers {
    silent: usize,
    ahead: Vec<(Offset, SocketAddr)>,
}

impl Answers {
    /// One of the newest at random, so that many processes that start at once don't all ask the same.
    fn choose(&self) -> Option<SocketAddr> {
        let newest = self.ahead.iter().map(|(offset, _)| offset.0).max()?;
        let near = self.ahead.iter().filter(|(offset, _)| offset.0 + NEAR > newest);
        near.map(|(_, addr)| *addr).choose(&mut rand::rng())
    }
}

/// What has been seen while there is no state yet.
#[derive(Debug, Default)]
struct Start {
    /// Since when the log is readable and empty.
    empty: Option<Instant>,
    /// Whether it was said that the log can't be read.
    told: bool,
}

impl Start {
    /// Says once that the log can't be read, so that a process which waits for it is not silent.
    fn down(&mut self, error: &LogError) {
        self.empty = None;
        if !self.told {
            log::warn!("journal: waiting for the log service, trying again: {error}");
        }
        self.told = true;
    }
}

/// Returns once there is a state to follow the log from, which may be the empty one, and says so.
pub(crate) async fn begin(shared: &Shared, service: &dyn LogService, peers: &Peers) {
    let mut start = Start::default();
    while !try_begin(shared, service, peers, &mut start).await {
        sleep(jitter(PAUSE)).await;
    }
    shared.ready.send_replace(true);
    log::info!("journal: ready at offset {}", shared.offset());
}

async fn try_begin(
    shared: &Shared,
    service: &dyn LogService,
    peers: &Peers,
    start: &mut Start,
) -> bool {
    let answers = ask_seeds(shared, peers).await;
    if let Some(addr) = answers.choose() {
        peers.fetch_state(addr).await;
    }
    let folded = shared.offset();
    let from = folded.max(Offset(1));
    let mut page = read(shared, service, from, Duration::ZERO).await;
    if from == folded && matches!(page, Err(LogError::Expired { .. })) {
        // The record that the state ends with has expired; the next may still be there.
        page = read(shared, service, folded.next(), Duration::ZERO).await;
    }
    match page {
        Ok(page) if page.last == Offset(0) && folded == Offset(0) => {
            shared.set_health(Health::Up);
            let since = *start.empty.get_or_insert_with(Instant::now);
            let waited = since.elapsed() >= shared.options.grace;
            answers.ahead.is_empty() && (answers.silent == 0 || waited)
        }
        Ok(page) => catch_up(shared, service, page).await,
        Err(LogError::Expired { first }) => {
            start.empty = None;
            shared.set_health(Health::Up);
            if bridge(shared, service, peers, first).await.is_err() {
                return false;
            }
            let next = shared.offset().next();
            match read(shared, service, next, Duration::ZERO).await {
                Ok(page) => catch_up(shared, service, page).await,
                Err(_) => false,
            }
        }
        Err(error) => {
            start.down(&error);
            shared.set_health(Health::Down);
            shared.offset() > Offset(0)
        }
    }
}

/// Folds the log up to where it ends now.
async fn catch_up(shared: &Shared, service: &dyn LogService, mut page: Page) -> bool {
    let target = page.last;
    if target < shared.offset() {
        return true;
    }
    shared.set_health(Health::Up);
    loop {
        let before = shared.offset();
        if shared.fold(&page.entries, Source::Log).is_err() {
            shared.set_health(Health::Forked);
            return true;
        }
        if shared.offset() >= target || shared.state().frozen().is_some() {
            return true;
        }
        if shared.offset() == before {
            return false;
        }
        match read(shared, service, shared.offset().next(), Duration::ZERO).await {
            Ok(next) => page = next,
            Err(_) => return false,
        }
    }
}

async fn ask_seeds(shared: &Shared, peers: &Peers) -> Answers {
    let asks = shared.options.seeds.iter().map(|addr| {
        let (peers, addr) = (peers.clone(), *addr);
        tokio::spawn(async move { (addr, peers.position(addr).await) })
    });
    let asks: Vec<_> = asks.collect();
    let mut answers = Answers::default();
    for ask in asks {
        match ask.await {
            Ok((addr, Some(theirs))) if theirs > shared.offset() => {
                answers.ahead.push((theirs, addr));
            }
            Ok((_, Some(_))) => {}
            Ok((_, None)) | Err(_) => answers.silent += 1,
        }
    }
    answers
}

/// A few peers that may know more: seeds and members.
pub(crate) fn known(shared: &Shared) -> Vec<SocketAddr> {
    let state = shared.state();
    let others = state.members().filter(|member| member.attach.instance != shared.instance);
    let addrs = others.map(|member| member.attach.control);
    let addrs = addrs.chain(shared.options.seeds.iter().copied());
    addrs.sample(&mut rand::rng(), ASKED)
}
