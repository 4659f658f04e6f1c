//! Releases of a soak: engines change the version of their software, one after another, while callers take their streams up.

use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use standin_platform::{
    Behavior, NamedAttempt, Server, StreamCaller, count_streams, mixed_streams,
};
use tokio::time::{Instant, sleep};

use super::keys::Whose;
use super::world::{Shared, World};

/// The versions of the engines, one release after another.
const VERSIONS: [&str; 3] = ["v1", "v2", "v3"];
/// The last event of each stream.
const LAST_EVENT: u64 = 6;
/// The nominal time between the events of a stream.
const EVENT_GAP: Duration = Duration::from_millis(30);
/// Maximum number of attempts of a caller at one stream.
const MAX_ATTEMPTS: usize = 6;
/// Time from the restart of an engine until it counts as one that serves.
const SETTLED: Duration = Duration::from_millis(1_500);
/// Engines of a version that must serve for a stream to count as one that can go on.
const ENOUGH: usize = 2;
/// The smallest share of streams that go on, relative to the share of new streams that begin.
const MIN_RATE: f64 = 0.7;
/// Fewest resumptions from which the rate is taken.
const MIN_RESUMPTIONS: usize = 20;

/// Has an engine write the first version, slowly enough that callers can leave within a stream.
pub(super) fn prepare(engine: &Server) {
    engine.set_version(VERSIONS[0]);
    engine.set_default_behavior(Behavior::Paced(LAST_EVENT, EVENT_GAP));
}

/// How far releases have come.
#[derive(Debug, Default)]
pub(super) struct Releases {
    /// Engines that have been restarted as another version.
    restarts: usize,
}

impl World {
    /// Restarts the next engine as another version; its entry follows after `delay`.
    pub(super) fn release(&mut self, delay: Duration) {
        let engines = &self.shared.engines;
        let number = self.releases.restarts;
        self.releases.restarts += 1;
        let engine = &engines[number % engines.len()];
        let version = VERSIONS[(number / engines.len() + 1) % VERSIONS.len()];
        self.shared.streams.lock().restarted.push((engine.id.clone(), Instant::now()));
        engine.restart_as(version);
        let (store, engine) = (self.shared.store.clone(), engine.clone());
        tokio::spawn(async move {
            sleep(delay).await;
            store.list_server(&engine, "llm", Some("ready"));
        });
    }
}

/// Numbers of attempts, and of those that brought an event.
#[derive(Debug, Clone, Copy, Default)]
struct Share {
    attempts: usize,
    succeeded: usize,
}

impl Share {
    fn record(&mut self, succeeded: bool) {
        self.attempts += 1;
        self.succeeded += usize::from(succeeded);
    }

    fn rate(self) -> f64 {
        if self.attempts == 0 { 1.0 } else { self.succeeded as f64 / self.attempts as f64 }
    }
}

#[derive(Debug, Default)]
struct State {
    streams: Vec<StreamCaller>,
    new: Share,
    /// Attempts to take up streams of whose version enough engines serve.
    resumed: Share,
    /// The engines that have been restarted, and when.
    restarted: Vec<(String, Instant)>,
}

/// The streams that callers began and took up.
#[derive(Debug, Default)]
pub(super) struct StreamLog(Mutex<State>);

impl StreamLog {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The promises to callers of streams that were broken, a line each.
    pub(super) fn broken(&self) -> Vec<String> {
        let state = self.lock();
        let mixed = mixed_streams(&state.streams).into_iter();
        let mut broken: Vec<String> =
            mixed.map(|line| format!("a stream of several versions: {line}")).collect();
        let rate = state.resumed.rate() / state.new.rate();
        if state.resumed.attempts >= MIN_RESUMPTIONS && rate < MIN_RATE {
            broken.push(format!("of the streams that could, only {rate:.2} go on"));
        }
        broken
    }
}

impl fmt::Display for StreamLog {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let state = self.lock();
        let counts = count_streams(&state.streams, LAST_EVENT);
        let (new, resumed) = (state.new, state.resumed);
        write!(
            f,
            "{} mixed; {} of {} new streams began, {} of {} resumptions went on where enough engines served, \
             {} of {} in all",
            counts.mixed,
            new.succeeded,
            new.attempts,
            resumed.succeeded,
            resumed.attempts,
            counts.resumed,
            counts.resumptions
        )
    }
}

impl Shared {
    /// A caller that takes its streams up at any router, with the key that is the newest then.
    pub(super) async fn take_up(self: Arc<Self>, seed: u64, until: Instant) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        while Instant::now() < until {
            let model = ["a", "b", "c"][rng.random_range(0..3)];
            let headers = format!("Model: {model}\r\n");
            let mut caller = StreamCaller::new("stream", "/resumable/x", &headers);
            while caller.attempts.len() < MAX_ATTEMPTS && !caller.is_complete(LAST_EVENT) {
                self.attempt(&mut caller, &mut rng).await;
                sleep(Duration::from_millis(rng.random_range(10..300))).await;
            }
            self.streams.lock().streams.push(caller);
        }
    }

    /// Sends a request for a stream or its rest to any router.
    async fn attempt(&self, caller: &mut StreamCaller, rng: &mut ChaCha8Rng) {
        let router = rng.random_range(0..self.routers.len());
        let id = self.next_id(router);
        let named = if rng.random_bool(0.7) { NamedAttempt::First } else { NamedAttempt::Last };
        let lines = self.keys.sign(&id, Whose::School(0)) + &caller.resumption_lines(named);
        let leaves = rng.random_bool(0.4);
        let leave_after = leaves.then(|| caller.last_event() + rng.random_range(1..4));
        let version = caller.version().map(str::to_owned);
        let can_go_on = version.as_deref().is_some_and(|version| self.serves(version));
        let attempt = caller.attempt_as(&id, self.routers[router], &lines, leave_after).await;
        let succeeded = attempt.has_events();
        match version {
            None => self.streams.lock().new.record(succeeded),
            Some(version) if can_go_on && self.serves(&version) => {
                self.streams.lock().resumed.record(succeeded);
            }
            Some(_) => {}
        }
    }

    /// Whether so many engines of a version serve that a stream of it can go on.
    fn serves(&self, version: &str) -> bool {
        let state = self.streams.lock();
        let settled = |engine: &&Server| {
            let mut restarts = state.restarted.iter().filter(|(id, _)| *id == engine.id);
            restarts.all(|(_, at)| at.elapsed() > SETTLED)
        };
        let serving = self.engines.iter().filter(|engine| {
            engine.version().as_deref() == Some(version)
                && !engine.is_frozen()
                && !engine.is_draining()
        });
        serving.filter(settled).count() >= ENOUGH
    }
}
