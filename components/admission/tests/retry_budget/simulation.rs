//! Simulates routers that retry failed requests, in steps of simulated time.

use std::collections::VecDeque;
use std::time::Duration;

use admission::{HeardRouters, RetryBudget, RetryLimits};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

/// The simulated time of one step.
const STEP_MS: u64 = 50;
/// The length of a window.
const WINDOW_MS: u64 = 10_000;
const RATIO: f64 = 0.2;
const SLACK: f64 = 52.0;
/// Requests per second of all routers together: this many, and more with many routers.
const MIN_REQUESTS_PER_S: f64 = 92.0;
/// Requests per second of each router at least.
const MIN_ROUTER_REQUESTS_PER_S: f64 = 3.8;
/// The share of the requests that fail while nothing else does.
const BASE_FAILURES: f64 = 0.02;
/// How long a router that was killed is gone.
const RESTART_MS: u64 = 700;
/// How often loaders tell routers how many of them they hear.
const REPORT_INTERVAL_MS: u64 = 500;
/// How long loaders that have restarted take to hear all routers.
const LOADER_CATCH_UP_MS: u64 = 3_000;
/// How long a failed request may wait to be sent again.
const RETRY_DEADLINE_MS: u64 = 6_000;

/// What fails during a play.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Faults {
    /// Nothing but a part of the requests.
    None,
    /// All endpoints at times: retries wait until one is back.
    Outages,
    /// Routers are killed, one by one or all at once.
    RouterRestarts,
    /// Loaders restart, and hear few routers for a while.
    LoaderRestarts,
    /// Routers are added.
    AddedRouters,
    /// The load is a multiple at times.
    FallingLoad,
    /// All of these.
    All,
}

/// What a play has shown.
#[derive(Debug)]
pub(crate) struct Report {
    /// The retries that arrived in the worst window, as a part of those allowed.
    pub(crate) worst_window: f64,
    failed: u32,
    retried: u32,
}

impl Report {
    /// The share of the failed requests that were sent again.
    pub(crate) fn saved_share(&self) -> f64 {
        f64::from(self.retried) / f64::from(self.failed.max(1))
    }
}

struct Router {
    budget: RetryBudget,
    /// Until when the process is gone.
    gone_until_ms: u64,
    /// How many routers it has been told that loaders hear.
    heard: HeardRouters,
    next_report_ms: u64,
    /// Retries that are allowed and not yet sent: when each is given up.
    waiting: Vec<u64>,
}

/// A disruption that lasts for a while.
#[derive(Debug, Clone, Copy)]
struct Disruption {
    from_ms: u64,
    until_ms: u64,
    kind: Faults,
    /// How many things it affects, or by how much the load is multiplied.
    strength: f64,
}

pub(crate) struct World {
    rng: ChaCha8Rng,
    start: Instant,
    now_ms: u64,
    routers: Vec<Router>,
    faults: Faults,
    disruptions: Vec<Disruption>,
    /// Requests and retries that arrived in each step.
    steps: VecDeque<(u32, u32)>,
    due_requests: f64,
    loaders_restarted_ms: Option<u64>,
    report: Report,
}

fn limits() -> RetryLimits {
    RetryLimits { ratio: RATIO, slack: SLACK, window: Duration::from_millis(WINDOW_MS) }
}

impl World {
    pub(crate) fn new(routers: usize, faults: Faults, seed: u64) -> Self {
        let start = Instant::now();
        let router = |_| Router {
            budget: RetryBudget::new(limits(), start),
            gone_until_ms: 0,
            heard: HeardRouters::default(),
            next_report_ms: 0,
            waiting: Vec::new(),
        };
        let report = Report { worst_window: 0.0, failed: 0, retried: 0 };
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            start,
            now_ms: 0,
            routers: (0..routers).map(router).collect(),
            faults,
            disruptions: Vec::new(),
            steps: VecDeque::new(),
            due_requests: 0.0,
            loaders_restarted_ms: None,
            report,
        }
    }

    pub(crate) fn play(mut self, seconds: u64) -> Report {
        self.plan(seconds * 1_000);
        while self.now_ms < seconds * 1_000 {
            self.step();
            self.now_ms += STEP_MS;
        }
        self.report
    }

    /// Draws the disruptions of the play.
    fn plan(&mut self, length_ms: u64) {
        let single = [
            Faults::Outages,
            Faults::RouterRestarts,
            Faults::LoaderRestarts,
            Faults::AddedRouters,
            Faults::FallingLoad,
        ];
        let kinds: Vec<Faults> =
            single.into_iter().filter(|kind| [*kind, Faults::All].contains(&self.faults)).collect();
        for kind in kinds {
            let mut at = self.rng.random_range(500..6_000);
            while at < length_ms {
                let lasts = self.rng.random_range(500..5_000);
                let strength = self.rng.random_range(0.0..1.0);
                let until_ms = at + lasts;
                self.disruptions.push(Disruption { from_ms: at, until_ms, kind, strength });
                at = until_ms + self.rng.random_range(300..9_000);
            }
        }
    }

    fn active(&self, kind: Faults) -> Option<Disruption> {
        let now = self.now_ms;
        let active = |d: &&Disruption| d.kind == kind && (d.from_ms..d.until_ms).contains(&now);
        self.disruptions.iter().find(active).copied()
    }

    /// The disruption of this kind that begins in this step.
    fn beginning(&self, kind: Faults) -> Option<Disruption> {
        let step = self.now_ms..self.now_ms + STEP_MS;
        self.disruptions.iter().find(|d| d.kind == kind && step.contains(&d.from_ms)).copied()
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.now_ms)
    }

    fn step(&mut self) {
        self.disrupt();
        self.report_heard_routers();
        let mut counts = (self.send_requests(), 0);
        counts.1 = self.send_retries();
        self.steps.push_back(counts);
        self.check_window();
    }

    fn disrupt(&mut self) {
        if let Some(disruption) = self.beginning(Faults::RouterRestarts) {
            // A third of the disruptions hits all routers.
            let share = (disruption.strength * 1.5).min(1.0);
            let start = self.now();
            for index in 0..self.routers.len() {
                if self.rng.random::<f64>() < share {
                    self.kill(index, start);
                }
            }
        }
        if self.beginning(Faults::LoaderRestarts).is_some() {
            self.loaders_restarted_ms = Some(self.now_ms);
        }
        if let Some(disruption) = self.beginning(Faults::AddedRouters) {
            let more = (self.routers.len() as f64 * disruption.strength).ceil().min(8.0) as usize;
            for _ in 0..more {
                self.routers.push(Router {
                    budget: RetryBudget::new(limits(), self.now()),
                    gone_until_ms: 0,
                    heard: HeardRouters::default(),
                    next_report_ms: self.now_ms,
                    waiting: Vec::new(),
                });
            }
        }
    }

    /// Kills a router, which starts again and has forgotten everything.
    fn kill(&mut self, index: usize, now: Instant) {
        let gone_until_ms = self.now_ms + RESTART_MS;
        let started = now + Duration::from_millis(RESTART_MS);
        self.routers[index] = Router {
            budget: RetryBudget::new(limits(), started),
            gone_until_ms,
            heard: HeardRouters::default(),
            next_report_ms: gone_until_ms,
            waiting: Vec::new(),
        };
    }

    /// Tells routers how many of them loaders hear.
    fn report_heard_routers(&mut self) {
        let now = self.now_ms;
        let alive = self.routers.iter().filter(|router| router.gone_until_ms <= now).count();
        let caught_up = match self.loaders_restarted_ms {
            Some(at) => (now - at) as f64 / LOADER_CATCH_UP_MS as f64,
            None => 1.0,
        };
        let heard = (alive as f64 * caught_up.min(1.0)).ceil().max(1.0) as u32;
        let at = self.now();
        for router in &mut self.routers {
            if router.gone_until_ms <= now && router.next_report_ms <= now {
                router.heard.record(heard, at);
                router.next_report_ms = now + REPORT_INTERVAL_MS;
            }
        }
    }

    /// Requests of callers arrive at routers; failed ones are retried if the budget allows. Returns how many callers sent.
    fn send_requests(&mut self) -> u32 {
        let base = MIN_REQUESTS_PER_S.max(self.routers.len() as f64 * MIN_ROUTER_REQUESTS_PER_S);
        let factor = self.active(Faults::FallingLoad).map_or(1.0, |d| 1.0 + 5.0 * d.strength);
        self.due_requests += base * factor * STEP_MS as f64 / 1_000.0;
        let count = self.due_requests.floor();
        self.due_requests -= count;
        let outage = self.active(Faults::Outages);
        let failures = if outage.is_some() { 0.9 } else { self.failure_share() };
        let now = self.now();
        for _ in 0..count as u32 {
            let index = self.rng.random_range(0..self.routers.len());
            let failed = self.rng.random::<f64>() < failures;
            let router = &mut self.routers[index];
            if router.gone_until_ms > self.now_ms {
                continue;
            }
            router.budget.record_request(now);
            if failed {
                self.report.failed += 1;
                if router.budget.try_reserve(router.heard.most(now), now).allowed {
                    router.waiting.push(self.now_ms + RETRY_DEADLINE_MS);
                }
            }
        }
        count as u32
    }

    /// The share of the requests that fail: endpoints fail for a part of the time.
    fn failure_share(&mut self) -> f64 {
        let disrupted = self.disruptions.iter().any(|d| {
            (d.from_ms..d.until_ms + 2_000).contains(&self.now_ms) && d.kind != Faults::FallingLoad
        });
        if disrupted || self.now_ms / 7_000 % 2 == 1 { 0.5 } else { BASE_FAILURES }
    }

    /// Sends what waits, unless endpoints are away. Returns how many retries arrived.
    fn send_retries(&mut self) -> u32 {
        let outage = self.active(Faults::Outages).is_some();
        let (now_ms, now) = (self.now_ms, self.now());
        let mut sent = 0;
        for router in &mut self.routers {
            let waiting = std::mem::take(&mut router.waiting);
            for given_up_ms in waiting {
                if given_up_ms <= now_ms {
                    router.budget.cancel();
                } else if outage {
                    router.waiting.push(given_up_ms);
                } else {
                    router.budget.record_sent(now);
                    sent += 1;
                }
            }
        }
        self.report.retried += sent;
        sent
    }

    /// Checks the window that ends now.
    fn check_window(&mut self) {
        let window = (WINDOW_MS / STEP_MS) as usize;
        let most = window * 2;
        while self.steps.len() > most {
            self.steps.pop_front();
        }
        let requests = |ends_before: usize| -> u32 {
            self.steps.iter().rev().skip(ends_before).take(window).map(|step| step.0).sum()
        };
        let counted = requests(0).max(requests(window / 2)).max(requests(window));
        let retries: u32 = self.steps.iter().rev().take(window).map(|step| step.1).sum();
        let allowed = f64::from(counted) * RATIO + SLACK;
        self.report.worst_window = self.report.worst_window.max(f64::from(retries) / allowed);
    }
}
