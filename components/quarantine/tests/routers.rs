//! A part of prompts that crashes endpoints, in simulated time with many routers that learn of crashes, and of requests that run
//! well, at different times. Each case checks both sides: few requests with the part reach endpoints once five have crashed, and no
//! other request is refused.

use std::collections::{BTreeMap, BTreeSet};

use quarantine::{
    Crash, CrashTable, Digest, Fingerprint, PartsRelease, QuarantineRecord, SuspicionLevel,
    UnixMillis,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use units::EndpointIncarnation;

/// The Unix time in milliseconds at which a simulation starts.
const START_MS: u64 = 1_790_000_000_000;
/// Time between steps of a simulation.
const STEP_MS: u64 = 10;
/// Sound requests are sent alone for this long.
const LEAD_MS: u64 = 5_000;
/// The end of a simulation.
const END_MS: u64 = 45_000;
/// Time from the start of a run to the first data of its answer.
const FIRST_DATA_MS: u64 = 60;
/// Time from the first data to a crash by a part.
const CRASH_AFTER_MS: u64 = 30;
/// Time from the first data after which a run shows that its parts are sound.
const SOUND_AFTER_MS: u64 = 500;
/// Downtime of an endpoint after a crash.
const DOWN_MS: u64 = 5_000;
/// Time by which routers must refuse requests with the part after the fifth crash.
const REACTION_MS: u64 = 3_000;
/// The most requests with the part that may reach endpoints later than that.
const MAX_REQUESTS_AFTER_CRASHES: usize = 3;
/// The part that crashes endpoints.
const CRASHING: &str = "bad0c0de";

/// The traffic and the faults of a simulation.
#[derive(Debug, Clone, Copy)]
struct Scenario {
    routers: usize,
    endpoints: usize,
    /// Sound requests in a second, over all routers.
    sound_per_s: f64,
    /// Requests in a second with the part that crashes endpoints.
    crashing_per_s: f64,
    /// Endpoints in a second that crash whatever they run.
    crashes_per_s: f64,
    /// The longest time in which a record reaches another router.
    spread_ms: u64,
    /// The largest error of a router's clock.
    clock_error_ms: u64,
}

#[derive(Debug, Clone)]
struct Run {
    router: usize,
    start: u64,
    end: u64,
    /// The time by the router's records at which its answer began.
    began: Option<UnixMillis>,
    known_sound: bool,
    request: Fingerprint,
}

#[derive(Debug, Clone, Default)]
struct Endpoint {
    incarnation: u64,
    up_at: u64,
    runs: Vec<Run>,
}

struct Router {
    table: CrashTable,
    clock_error: i64,
    inbox: Vec<(u64, QuarantineRecord)>,
}

impl Router {
    fn clock(&self, now: u64) -> UnixMillis {
        UnixMillis((START_MS + now).saturating_add_signed(self.clock_error))
    }
}

/// What a simulation showed.
#[derive(Debug, Default)]
struct Outcome {
    crash_times: Vec<u64>,
    crashing_sent: Vec<u64>,
    sound_sent: usize,
    sound_refused: usize,
}

struct Simulation {
    scenario: Scenario,
    rng: ChaCha8Rng,
    endpoints: Vec<Endpoint>,
    routers: Vec<Router>,
    requests: u32,
    outcome: Outcome,
}

impl Simulation {
    fn run(scenario: Scenario, seed: u64) -> Outcome {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let error = i64::try_from(scenario.clock_error_ms).expect("small");
        let routers = (0..scenario.routers).map(|_| Router {
            table: CrashTable::default(),
            clock_error: rng.random_range(-error..=error),
            inbox: Vec::new(),
        });
        let routers = routers.collect();
        let endpoints = vec![Endpoint::default(); scenario.endpoints];
        let outcome = Outcome::default();
        let mut simulation = Self { scenario, rng, endpoints, routers, requests: 0, outcome };
        for now in (0..END_MS).step_by(usize::try_from(STEP_MS).expect("small")) {
            simulation.step(now);
        }
        simulation.outcome
    }

    fn step(&mut self, now: u64) {
        self.deliver(now);
        let step_s = 0.001 * f64::from(u32::try_from(STEP_MS).expect("small"));
        if self.rng.random::<f64>() < self.scenario.sound_per_s * step_s {
            self.send(now, false);
        }
        if now >= LEAD_MS && self.rng.random::<f64>() < self.scenario.crashing_per_s * step_s {
            self.send(now, true);
        }
        for index in 0..self.endpoints.len() {
            self.advance(index, now);
        }
        if now >= LEAD_MS && self.rng.random::<f64>() < self.scenario.crashes_per_s * step_s {
            let index = self.rng.random_range(0..self.endpoints.len());
            self.crash(index, now);
        }
    }

    /// Gives routers the records that have reached them.
    fn deliver(&mut self, now: u64) {
        for router in &mut self.routers {
            let (due, later): (Vec<_>, Vec<_>) =
                std::mem::take(&mut router.inbox).into_iter().partition(|(at, _)| *at <= now);
            router.inbox = later;
            if !due.is_empty() {
                let clock = router.clock(now);
                router.table.apply(due.iter().map(|(_, record)| record), clock);
            }
        }
    }

    /// Sends a request through a random router to a random endpoint, unless it is refused.
    fn send(&mut self, now: u64, crashing: bool) {
        self.requests += 1;
        let middle = format!("91bd3f{:02x}", self.rng.random_range(0..12));
        let mut parts = vec!["5c1e07a2", middle.as_str()];
        if crashing {
            parts.insert(self.rng.random_range(0..=2), CRASHING);
        }
        let digest = Digest::of(&[&self.requests.to_be_bytes()]);
        let request = Fingerprint::new(digest, Digest::of(&[b"caller"]), parts);
        let index = self.rng.random_range(0..self.routers.len());
        let router = &mut self.routers[index];
        let clock = router.clock(now);
        if router.table.review_due(clock) {
            router.table.review(clock);
        }
        let refused = matches!(router.table.suspicion(&request), SuspicionLevel::Suspect(_));
        if !crashing {
            self.outcome.sound_sent += 1;
            self.outcome.sound_refused += usize::from(refused);
        }
        let up: Vec<usize> =
            (0..self.endpoints.len()).filter(|index| self.endpoints[*index].up_at <= now).collect();
        if refused || up.is_empty() {
            return;
        }
        if crashing {
            self.outcome.crashing_sent.push(now);
        }
        let endpoint = up[self.rng.random_range(0..up.len())];
        let end = now + self.rng.random_range(300..2_500);
        let run = Run { router: index, start: now, end, began: None, known_sound: false, request };
        self.endpoints[endpoint].runs.push(run);
    }

    /// Advances the runs of an endpoint.
    fn advance(&mut self, index: usize, now: u64) {
        let mut runs = std::mem::take(&mut self.endpoints[index].runs);
        let mut crashed = false;
        for run in &mut runs {
            let first_data = run.start + FIRST_DATA_MS;
            if now >= first_data && run.began.is_none() {
                let router = &self.routers[run.router];
                run.began = Some(router.clock(now).max(router.table.latest_crash()));
            }
            let crashing = run.request.parts.iter().any(|part| &*part.id == CRASHING);
            crashed |= crashing && now >= first_data + CRASH_AFTER_MS;
            if !run.known_sound && now >= first_data + SOUND_AFTER_MS {
                run.known_sound = true;
                self.record_sound(run, now);
            }
        }
        runs.retain(|run| run.end > now);
        self.endpoints[index].runs = runs;
        if crashed {
            self.outcome.crash_times.push(now);
            self.crash(index, now);
        }
    }

    /// A router has seen that a request runs well.
    fn record_sound(&mut self, run: &Run, now: u64) {
        let router = &mut self.routers[run.router];
        let began = run.began.expect("its answer began");
        let digests = run.request.parts.iter().map(|part| part.digest);
        let cleared: BTreeMap<Digest, UnixMillis> = digests
            .filter(|part| router.table.record_success(*part, began))
            .map(|part| (part, began))
            .collect();
        if cleared.is_empty() {
            return;
        }
        let record = QuarantineRecord::PartsRelease(PartsRelease { parts: cleared });
        let clock = router.clock(now);
        router.table.apply([&record], clock);
        let collected = now + self.rng.random_range(150..300);
        self.publish(&record, run.router, collected);
    }

    /// An endpoint crashes: each router that has requests there writes a record.
    fn crash(&mut self, index: usize, now: u64) {
        let endpoint = &mut self.endpoints[index];
        if endpoint.up_at > now {
            return;
        }
        let incarnation = Some(EndpointIncarnation(endpoint.incarnation));
        endpoint.incarnation += 1;
        endpoint.up_at = now + DOWN_MS;
        let runs = std::mem::take(&mut endpoint.runs);
        let routers: BTreeSet<usize> = runs.iter().map(|run| run.router).collect();
        for router in routers {
            let mut parts: BTreeMap<Digest, BTreeSet<Digest>> = BTreeMap::new();
            let own = || runs.iter().filter(|run| run.router == router);
            for run in own().filter(|run| !run.known_sound) {
                for part in &run.request.parts {
                    parts.entry(part.digest).or_default().insert(run.request.caller);
                }
            }
            let record = QuarantineRecord::Crash(Crash {
                endpoint: format!("i-{index}").parse().expect("an id"),
                incarnation,
                domain: format!("hall-{}", index % 4).parse().expect("a name"),
                domain_endpoints: u32::try_from(self.endpoints.len() / 4).expect("few"),
                at: self.routers[router].clock(now + 20),
                requests: own().map(|run| run.request.request).collect(),
                parts,
            });
            self.routers[router].inbox.push((now + 40, record.clone()));
            self.publish(&record, router, now + 40);
        }
    }

    /// A record reaches all other routers, each at another time.
    fn publish(&mut self, record: &QuarantineRecord, from: usize, at: u64) {
        for index in (0..self.routers.len()).filter(|index| *index != from) {
            let at = at + self.rng.random_range(20..self.scenario.spread_ms);
            self.routers[index].inbox.push((at, record.clone()));
        }
    }
}

/// All endpoints crash within a second, so that nothing runs well for some seconds. The part that all prompts have is at one crash
/// more than the part to blame.
#[test]
fn a_part_that_all_prompts_have_is_not_refused_after_the_crash_of_all_endpoints() {
    let scenario = Scenario {
        routers: 4,
        endpoints: 18,
        sound_per_s: 40.0,
        crashing_per_s: 20.0,
        crashes_per_s: 0.3,
        spread_ms: 500,
        clock_error_ms: 0,
    };
    check(scenario, 8);
}

#[rstest]
#[case::four_routers(4, 18, 40.0)]
#[case::forty_routers(40, 60, 90.0)]
fn only_requests_with_the_part_are_refused(
    #[case] routers: usize,
    #[case] endpoints: usize,
    #[case] sound_per_s: f64,
    #[values(0.7, 3.0, 20.0)] crashing_per_s: f64,
    #[values(0.0, 0.3)] crashes_per_s: f64,
    #[values(0, 3_000)] clock_error_ms: u64,
) {
    let scenario = Scenario {
        routers,
        endpoints,
        sound_per_s,
        crashing_per_s,
        crashes_per_s,
        spread_ms: 500,
        clock_error_ms,
    };
    for seed in 1..=2 {
        check(scenario, seed);
    }
}

/// Plays a scenario and checks what reached endpoints and what was refused.
fn check(scenario: Scenario, seed: u64) {
    let outcome = Simulation::run(scenario, seed);
    let fifth = outcome.crash_times.get(4).copied().unwrap_or(END_MS);
    let after = outcome.crashing_sent.iter().filter(|sent| **sent > fifth + REACTION_MS).count();
    println!(
        "seed {seed}: {} crashes, {after} requests with the part after the fifth, {} of {} others refused",
        outcome.crash_times.len(),
        outcome.sound_refused,
        outcome.sound_sent
    );
    assert!(after <= MAX_REQUESTS_AFTER_CRASHES, "seed {seed}: {after} after the fifth crash");
    assert_eq!(outcome.sound_refused, 0, "seed {seed}, of {}", outcome.sound_sent);
}
