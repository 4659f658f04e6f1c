//! Decides which connections of callers are read, counts them, and logs how loaded the router is.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use admission::{BusyReading, LoadShedder};
use events::{Event, RouterLoad, emit, millis};
use process::IdleMeter;
use tokio::time::Instant;

use crate::shared::Shared;

/// The interval between two reports of the load.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// The interval at which the delay of timers is measured.
const TIMER_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// The load is logged if the router was busy for at least this much of the time, in percent.
const MIN_LOGGED_BUSY_PERCENT: u32 = 60;

/// The connections of callers that arrive at this router, and how busy it is with them.
#[derive(Debug)]
pub(crate) struct Intake {
    /// None if the router shares its thread.
    idle_meter: Option<Arc<IdleMeter>>,
    /// The bytes that were written to callers.
    pub(crate) sent_bytes: Arc<AtomicU64>,
    shedder: Mutex<LoadShedder>,
    counts: Mutex<Counts>,
}

/// What is counted between two reports.
#[derive(Debug, Default)]
struct Counts {
    accepted: u32,
    read: u32,
    closed_unread: u32,
    attend_delay: Duration,
    timer_delay: Duration,
    /// Open connections on which nothing has been read yet.
    unread: u32,
}

/// An open connection on which nothing has been read yet.
#[derive(Debug)]
pub(crate) struct UnreadConnection<'a>(&'a Intake);

impl Drop for UnreadConnection<'_> {
    fn drop(&mut self) {
        self.0.lock().unread -= 1;
    }
}

impl Intake {
    pub(crate) fn new(idle_meter: Option<Arc<IdleMeter>>) -> Self {
        let (sent_bytes, shedder, counts) = Default::default();
        Self { idle_meter, sent_bytes, shedder, counts }
    }

    fn lock(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a connection as open and unread until what is returned is dropped.
    pub(crate) fn accept(&self, accepted_at: Instant) -> UnreadConnection<'_> {
        let mut counts = self.lock();
        counts.attend_delay = counts.attend_delay.max(accepted_at.elapsed());
        counts.accepted += 1;
        counts.unread += 1;
        UnreadConnection(self)
    }

    /// Whether the first request on a connection, which has arrived, may be read. If not, the connection is to be closed.
    pub(crate) fn admit(&self) -> bool {
        let admitted = self.shed(LoadShedder::admit).unwrap_or(true);
        self.lock().closed_unread += u32::from(!admitted);
        admitted
    }

    /// Counts a request that was read on a connection after others.
    pub(crate) fn record_further_read(&self) {
        self.shed(LoadShedder::record_read);
    }

    /// Counts an answer that was begun.
    pub(crate) fn record_answer(&self) {
        self.shed(|shedder, _| shedder.record_answer());
    }

    /// Whether more requests arrive than the router can serve.
    pub(crate) fn is_overloaded(&self) -> bool {
        self.shed(|shedder, reading| shedder.is_overloaded(reading)).unwrap_or(false)
    }

    /// Counts a request that was read.
    pub(crate) fn record_read(&self) {
        self.lock().read += 1;
    }

    /// Asks the shedder, if the router measures how busy it is.
    fn shed<T>(&self, ask: impl FnOnce(&mut LoadShedder, BusyReading) -> T) -> Option<T> {
        let reading = self.idle_meter.as_ref()?.read();
        let reading =
            BusyReading { at: reading.at, idle_total: reading.total, busy_for: reading.busy_for };
        let mut shedder = self.shedder.lock().unwrap_or_else(PoisonError::into_inner);
        Some(ask(&mut shedder, reading))
    }
}

/// Reports the load until the process ends.
pub(crate) async fn report(shared: Arc<Shared>) {
    let intake = &shared.intake;
    let idle_total = || intake.idle_meter.as_ref().map(|meter| meter.read().total);
    let mut started = Instant::now();
    let (mut idle_before, mut processor_before) = (idle_total(), process::processor_time());
    let mut sent_before = 0;
    loop {
        let due = Instant::now() + TIMER_CHECK_INTERVAL;
        tokio::time::sleep_until(due).await;
        let now = Instant::now();
        let mut counts = intake.lock();
        counts.timer_delay = counts.timer_delay.max(now - due);
        let elapsed = now - started;
        if elapsed < REPORT_INTERVAL {
            continue;
        }
        let unread = counts.unread;
        let taken = std::mem::replace(&mut *counts, Counts { unread, ..Counts::default() });
        drop(counts);
        let (idle, processor) = (idle_total(), process::processor_time());
        let sent = intake.sent_bytes.load(Ordering::Relaxed);
        let idle_time = idle.zip(idle_before).map(|(now, before)| now.saturating_sub(before));
        let connections = shared.connections.take_counts();
        let load = RouterLoad {
            accepted: taken.accepted,
            read: taken.read,
            closed_unread: taken.closed_unread,
            unread,
            open: u32::try_from(shared.connections.count()).unwrap_or(u32::MAX),
            evicted: connections.evicted,
            refused: connections.refused,
            body_bytes: shared.uploads.used_bytes() as u64,
            busy_percent: idle_time.map_or(0, |idle| busy_percent(idle, elapsed)),
            processor_ms: millis(processor.saturating_sub(processor_before)),
            attend_delay_ms: millis(taken.attend_delay),
            timer_delay_ms: millis(taken.timer_delay),
            sent_bytes: sent - sent_before,
        };
        events::record_router_load(&load);
        let closed = load.closed_unread + load.evicted + load.refused;
        if load.busy_percent >= MIN_LOGGED_BUSY_PERCENT || closed > 0 {
            emit(&Event::RouterLoad(load));
        }
        (started, idle_before, processor_before, sent_before) = (now, idle, processor, sent);
    }
}

/// For how much of a time a thread was busy that was idle for a part of it, in percent.
fn busy_percent(idle: Duration, elapsed: Duration) -> u32 {
    let busy = elapsed.saturating_sub(idle).as_secs_f64() / elapsed.as_secs_f64();
    (busy * 100.0).round() as u32
}
