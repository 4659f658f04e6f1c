//! Comparing positions with a few peers, so that records spread without the log.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use rand::seq::IteratorRandom;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use units::Offset;

use crate::backoff::jitter;
use crate::folded::{Health, Shared};
use crate::peers::Peers;

/// How many peers a process keeps in touch with; few, so that connections are kept open.
const NEIGHBOURS: usize = 4;
/// How long a neighbour is kept, so that over time all processes meet.
const TERM: Duration = Duration::from_secs(120);
/// The shortest pause between two rounds when there is news.
const NEWS_PAUSE: Duration = Duration::from_millis(50);
/// How long the log may take to bring a record that a peer has already.
const LAG: Duration = Duration::from_millis(300);

/// One peer that is asked regularly.
#[derive(Debug, Clone, Copy)]
struct Neighbour {
    addr: SocketAddr,
    until: Instant,
    empty: u32,
}

/// Asks one neighbour each heartbeat, and all of them when a peer brought news; never ends.
pub(crate) async fn keep_in_touch(shared: Arc<Shared>, peers: Peers) {
    let mut neighbours: Vec<Neighbour> = Vec::new();
    let mut turn = 0;
    let mut lost = 0;
    loop {
        // After a silent neighbour the next is asked at once, unless all are silent.
        let hurries = lost % NEIGHBOURS != 0;
        let pause = if hurries { Duration::ZERO } else { jitter(shared.options.heartbeat) };
        let news = timeout(pause, shared.news.notified()).await.is_ok();
        choose(&shared, &mut neighbours);
        if neighbours.is_empty() {
            continue;
        }
        if news {
            let told = Instant::now() + NEWS_PAUSE;
            tell_all(&shared, &peers, &neighbours).await;
            sleep_until(told).await;
            continue;
        }
        turn = (turn + 1) % neighbours.len();
        if compare(&shared, &peers, &mut neighbours[turn]).await {
            lost = 0;
        } else {
            neighbours.remove(turn);
            lost += 1;
        }
    }
}

/// Drops neighbours whose term is over and fills the free places with members and seeds, each as likely as
/// any other: a few seeds before thousands of agents would not bear more.
fn choose(shared: &Shared, neighbours: &mut Vec<Neighbour>) {
    let now = Instant::now();
    neighbours.retain(|neighbour| neighbour.until > now);
    let free = NEIGHBOURS.saturating_sub(neighbours.len());
    if free == 0 {
        return;
    }
    let is_new = |addr: &SocketAddr| neighbours.iter().all(|neighbour| neighbour.addr != *addr);
    let known: BTreeSet<SocketAddr> = {
        let state = shared.state();
        let others = state.members().filter(|member| member.attach.instance != shared.instance);
        let addrs = others.map(|member| member.attach.control);
        addrs.chain(shared.options.seeds.iter().copied()).filter(is_new).collect()
    };
    for addr in known.into_iter().sample(&mut rand::rng(), free) {
        neighbours.push(Neighbour { addr, until: now + jitter(TERM), empty: 0 });
    }
}

/// Compares positions with one neighbour and evens them out; false if it gave no answer.
async fn compare(shared: &Shared, peers: &Peers, neighbour: &mut Neighbour) -> bool {
    let Some(theirs) = peers.position(neighbour.addr).await else { return false };
    let ours = shared.offset();
    neighbour.empty = if theirs == Offset(0) { neighbour.empty + 1 } else { 0 };
    if theirs > ours {
        catch_up(shared, peers, neighbour.addr, theirs).await;
    } else if theirs < ours {
        help(shared, peers, neighbour, theirs).await;
    }
    true
}

/// Fetches what a peer has, unless the log brings it at once.
async fn catch_up(shared: &Shared, peers: &Peers, addr: SocketAddr, target: Offset) {
    if *shared.health.borrow() == Health::Up {
        sleep(LAG).await;
    }
    if shared.offset() < target {
        peers.fetch(addr, target).await;
    }
}

/// Gives a peer what it misses while the log is down, and the whole state if it has found none.
async fn help(shared: &Shared, peers: &Peers, neighbour: &Neighbour, theirs: Offset) {
    if neighbour.empty > 1 {
        peers.offer_state(neighbour.addr).await;
    } else if *shared.health.borrow() != Health::Up && theirs > Offset(0) {
        peers.offer(neighbour.addr, theirs).await;
    }
}

/// Offers the newest record to all neighbours; one that misses more will ask for it.
async fn tell_all(shared: &Shared, peers: &Peers, neighbours: &[Neighbour]) {
    let asks = neighbours.iter().map(|neighbour| {
        let (peers, addr) = (peers.clone(), neighbour.addr);
        let ours = shared.offset();
        tokio::spawn(async move {
            if let Some(theirs) = peers.position(addr).await.filter(|theirs| *theirs < ours) {
                peers.offer(addr, theirs).await;
            }
        })
    });
    let asks = join_all(asks);
    // A silent neighbour must not hold up the next news; its ask ends by its own limit.
    if timeout(NEWS_PAUSE, asks).await.is_err() {
        log::debug!("journal: a neighbour is slow to take news");
    }
}
