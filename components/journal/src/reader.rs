//! Following the control stream of the log.

use std::sync::Arc;
use std::time::Duration;

use edge::{LogError, LogService, Page, Stream};
use tokio::time::{Instant, sleep, timeout};
use units::Offset;

use crate::backoff::Backoff;
use crate::begin::begin;
use crate::folded::{Bounds, Health, Shared, Source};
use crate::peers::Peers;
use crate::snapshots::find_in_log;

/// How much longer than asked a read may take before it counts as failed.
const READ_GRACE: Duration = Duration::from_secs(3);
/// The shortest pause after a failed read.
const RETRY_MIN: Duration = Duration::from_millis(100);
/// The longest pause after a failed read.
const RETRY_MAX: Duration = Duration::from_secs(3);

/// How often in a row the log must end too early before that is more than a read from an old copy.
const BEHIND_READS: u32 = 3;
/// How many reads that bring records a process may make a second over time, so that a long burst of
/// appends makes few reads.
const READ_RATE: f64 = 10.0;
/// How many it may make at once.
const READ_BURST: f64 = 10.0;

/// Why the next records can't be folded now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Stop {
    /// The log can't be read.
    Down,
    /// The log ends before what is folded.
    Behind,
    /// The log is another one.
    Forked,
    /// The next records have expired, and nobody could give them.
    Expired,
    /// The next record is left out, or needs a newer program.
    Stuck,
}

/// Reads that may still be made without a pause.
#[derive(Debug)]
struct Allowance {
    reads: f64,
    since: Instant,
}

impl Allowance {
    fn new() -> Self {
        Self { reads: READ_BURST, since: Instant::now() }
    }

    /// Takes one read, and waits while there is none.
    async fn take(&mut self) {
        let gained = self.since.elapsed().as_secs_f64() * READ_RATE;
        self.since = Instant::now();
        self.reads = (self.reads + gained).min(READ_BURST) - 1.0;
        if self.reads < 0.0 {
            sleep(Duration::from_secs_f64(-self.reads / READ_RATE)).await;
        }
    }
}

/// Follows the log; never ends.
pub(crate) async fn read_all(shared: Arc<Shared>, service: Arc<dyn LogService>, peers: Peers) {
    begin(&shared, &*service, &peers).await;
    let mut backoff = Backoff::new(RETRY_MIN, RETRY_MAX);
    let mut verify = true;
    let mut allowance = Allowance::new();
    let mut behind = 0;
    loop {
        let before = shared.offset();
        match step(&shared, &*service, &peers, verify).await {
            Ok(()) => {
                if shared.offset() > before {
                    allowance.take().await;
                }
                verify = false;
                behind = 0;
                backoff.reset();
                shared.set_health(Health::Up);
            }
            Err(stop) => {
                verify = true;
                behind = if stop == Stop::Behind { behind + 1 } else { 0 };
                if !(1..BEHIND_READS).contains(&behind) {
                    report(&shared, &stop);
                }
                sleep(backoff.pause()).await;
            }
        }
    }
}

fn report(shared: &Shared, stop: &Stop) {
    match stop {
        Stop::Down => shared.set_health(Health::Down),
        Stop::Behind => shared.set_health(Health::Behind),
        Stop::Forked => shared.set_health(Health::Forked),
        Stop::Expired => {
            log::error!(
                "journal: the records after offset {} have expired and no peer has them; see docs/LOG-OUTAGE.md",
                shared.offset()
            );
        }
        Stop::Stuck => {
            log::error!("journal: can't go on after offset {}", shared.offset());
        }
    }
}

/// Reads once and folds what came. After a failure it reads the last folded record again, to see
/// whether it is still the same log.
async fn step(
    shared: &Shared,
    service: &dyn LogService,
    peers: &Peers,
    verify: bool,
) -> Result<(), Stop> {
    let folded = shared.offset();
    let begun = Instant::now();
    let check = verify && folded > Offset(0);
    let wait = if verify { Duration::ZERO } else { shared.options.poll };
    let mut page = read(shared, service, if check { folded } else { folded.next() }, wait).await;
    if check && matches!(page, Err(LogError::Expired { .. })) {
        // The record to compare with has expired; the next may still be there.
        page = read(shared, service, folded.next(), wait).await;
    }
    match page {
        Ok(page) if page.last < folded => Err(Stop::Behind),
        Ok(page) => {
            fold(shared, &page, folded)?;
            if shared.offset() >= page.last {
                shared.set_fresh(begun);
            }
            Ok(())
        }
        Err(LogError::Expired { first }) => bridge(shared, service, peers, first).await,
        Err(_) => Err(Stop::Down),
    }
}

fn fold(shared: &Shared, page: &Page, folded: Offset) -> Result<(), Stop> {
    if let Err(fork) = shared.fold(&page.entries, Source::Log) {
        log::error!("journal: the log has another record at offset {}", fork.0);
        return Err(Stop::Forked);
    }
    let is_stuck = page.last > folded && shared.offset() == folded;
    if is_stuck { Err(Stop::Stuck) } else { Ok(()) }
}

/// Reads a page and keeps its bounds.
pub(crate) async fn read(
    shared: &Shared,
    service: &dyn LogService,
    from: Offset,
    wait: Duration,
) -> Result<Page, LogError> {
    let page = timeout(wait + READ_GRACE, service.read(Stream::Control, from, wait)).await;
    let page = page.unwrap_or_else(|_| Err(LogError::Unreadable("no answer".to_owned())))?;
    shared.set_bounds(Bounds { first: page.first, last: page.last });
    Ok(page)
}

/// Gets past records that have expired: from a peer, or by a snapshot in the log.
pub(crate) async fn bridge(
    shared: &Shared,
    service: &dyn LogService,
    peers: &Peers,
    first: Offset,
) -> Result<(), Stop> {
    let needed = Offset(first.0.saturating_sub(1));
    for addr in crate::begin::known(shared) {
        if shared.offset() >= needed {
            return Ok(());
        }
        let ahead = peers.position(addr).await.filter(|theirs| *theirs >= needed);
        if let Some(theirs) = ahead {
            peers.fetch(addr, theirs).await;
        }
    }
    if shared.offset() >= needed {
        return Ok(());
    }
    let found = find_in_log(shared, service, first).await;
    let adopted = found.is_some_and(|state| shared.adopt(state));
    if adopted { Ok(()) } else { Err(Stop::Expired) }
}
