//! A popular request and one that crashes endpoints, in simulated time with many routers, some of which start late. Ways in which routers
//! tell each other that a request runs well are compared on the same traffic.

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
/// Time between steps of a simulation, its end, and when the late routers start.
const STEP_MS: u64 = 5;
const END_MS: u64 = 40_000;
const LATE_START_MS: u64 = 25_000;
/// Downtime of an endpoint after a crash.
const DOWN_MS: u64 = 3_000;
/// The time after which a request that crashes endpoints has crashed its endpoint.
const CRASH_AFTER_MS: u64 = 20;
/// Time by which routers must refuse a request after its third crash, and the most that may reach endpoints later.
const REACTION_MS: u64 = 3_000;
const MAX_REQUESTS_AFTER_CRASHES: usize = 3;
/// The longest time in which a record reaches another router.
const SPREAD_MS: u64 = 1_000;
/// The number of routers that tell of what is cleared without much delay, and the longest delays of these and all others.
const FIRST_PUBLISHERS: f64 = 6.0;
const FIRST_DELAY_MS: u64 = 300;
const DELAY_MS: u64 = 3_000;

/// How routers learn that a request runs well.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    /// Each router clears a request of a single crash only for itself.
    Alone,
    /// A router leaves out of its records of crashes what has just run well.
    LeftOut,
    /// A router tells the others when a request that was at a crash runs well afterwards.
    ToldAfterwards,
    /// The same, and at once if the request ran well shortly before.
    Told,
}

/// The traffic and the faults of a simulation.
#[derive(Debug, Clone, Copy)]
struct Scenario {
    routers: usize,
    endpoints: usize,
    /// Popular requests in a second, over all routers.
    popular_per_s: f64,
    /// The longest time that one takes.
    popular_ms: u64,
    /// Requests in a second that crash endpoints, over all routers.
    poison_per_s: f64,
    /// Endpoints that crash together, whatever they run, every six seconds.
    crashes: usize,
}

#[derive(Debug, Clone)]
struct Run {
    router: usize,
    start: u64,
    end: u64,
    poison: bool,
}

#[derive(Debug, Clone, Default)]
struct Endpoint {
    incarnation: u64,
    up_at: u64,
    runs: Vec<Run>,
}

#[derive(Default)]
struct Router {
    table: CrashTable,
    inbox: Vec<(u64, QuarantineRecord)>,
    /// What is to be told to the others, and when.
    cleared: BTreeMap<Digest, UnixMillis>,
    publish_at: Option<u64>,
}

/// What a simulation showed.
#[derive(Debug, Default)]
struct Outcome {
    popular: usize,
    /// Popular requests that were refused for good, and those that were told to come back.
    denied: usize,
    deferred: usize,
    crashes: usize,
    poison_crash_times: Vec<u64>,
    poison_sent: Vec<u64>,
    releases: usize,
}

impl Outcome {
    /// The requests that reached endpoints too late after the third crash.
    fn late(&self) -> usize {
        let third = self.poison_crash_times.get(2).copied().unwrap_or(END_MS);
        self.poison_sent.iter().filter(|sent| **sent > third + REACTION_MS).count()
    }
}

struct Simulation {
    way: Way,
    scenario: Scenario,
    rng: ChaCha8Rng,
    endpoints: Vec<Endpoint>,
    routers: Vec<Router>,
    stored: Vec<QuarantineRecord>,
    popular: Fingerprint,
    poison: Fingerprint,
    outcome: Outcome,
}

fn request(name: &str) -> Fingerprint {
    Fingerprint::new(Digest::of(&[name.as_bytes()]), Digest::of(&[b"caller"]), [])
}

fn clock(now: u64) -> UnixMillis {
    UnixMillis(START_MS + now)
}

fn per_step(per_s: f64) -> f64 {
    per_s * 0.001 * f64::from(u32::try_from(STEP_MS).expect("small"))
}

impl Simulation {
    fn run(way: Way, scenario: Scenario, seed: u64) -> Outcome {
        let mut simulation = Self {
            way,
            scenario,
            rng: ChaCha8Rng::seed_from_u64(seed),
            endpoints: vec![Endpoint::default(); scenario.endpoints],
            routers: (0..scenario.routers).map(|_| Router::default()).collect(),
            stored: Vec::new(),
            popular: request("popular"),
            poison: request("poison"),
            outcome: Outcome::default(),
        };
        for now in (0..END_MS).step_by(usize::try_from(STEP_MS).expect("small")) {
            simulation.step(now);
        }
        simulation.outcome
    }

    fn step(&mut self, now: u64) {
        if now == LATE_START_MS {
            // A tenth of the routers starts again and reads all records.
            for index in 0..=self.routers.len() / 10 {
                self.routers[index] = Router::default();
                self.routers[index].table.apply_history(&self.stored, clock(now));
            }
        }
        self.deliver(now);
        self.publish_cleared(now);
        self.send_all(now, self.scenario.popular_per_s, false);
        if now >= 2_000 {
            self.send_all(now, self.scenario.poison_per_s, true);
        }
        for index in 0..self.endpoints.len() {
            self.advance(index, now);
        }
        if now % 6_000 == 3_000 {
            (0..self.scenario.crashes).for_each(|index| self.crash(index, now));
        }
    }

    /// Gives routers the records that have reached them.
    fn deliver(&mut self, now: u64) {
        for index in 0..self.routers.len() {
            let router = &mut self.routers[index];
            if router.inbox.iter().all(|(at, _)| *at > now) {
                continue;
            }
            let (due, later): (Vec<_>, Vec<_>) =
                std::mem::take(&mut router.inbox).into_iter().partition(|(at, _)| *at <= now);
            router.inbox = later;
            router.table.apply(due.iter().map(|(_, record)| record), clock(now));
            for (_, record) in &due {
                let QuarantineRecord::PartsRelease(release) = record else { continue };
                router
                    .cleared
                    .retain(|digest, at| release.parts.get(digest).is_none_or(|told| told < at));
            }
            if self.way == Way::Told {
                let completed = self.routers[index].table.recently_completed();
                self.clear(index, completed, now);
            }
        }
    }

    /// A router clears requests, and is to tell the others.
    fn clear(&mut self, index: usize, cleared: BTreeMap<Digest, UnixMillis>, now: u64) {
        if cleared.is_empty() {
            return;
        }
        let release = QuarantineRecord::PartsRelease(PartsRelease { parts: cleared.clone() });
        let first = f64::from(u32::try_from(self.routers.len()).expect("few"));
        let is_first = self.rng.random::<f64>() < FIRST_PUBLISHERS / first;
        let delay = if is_first { FIRST_DELAY_MS } else { DELAY_MS };
        let delay = self.rng.random_range(delay / 2..delay);
        let router = &mut self.routers[index];
        router.table.apply([&release], clock(now));
        router.cleared.extend(cleared);
        router.publish_at.get_or_insert(now + delay);
    }

    fn publish_cleared(&mut self, now: u64) {
        for index in 0..self.routers.len() {
            let router = &mut self.routers[index];
            if router.publish_at.is_none_or(|at| at > now) {
                continue;
            }
            router.publish_at = None;
            let parts = std::mem::take(&mut router.cleared);
            if !parts.is_empty() && self.way != Way::Alone {
                self.outcome.releases += 1;
                let record = QuarantineRecord::PartsRelease(PartsRelease { parts });
                self.publish(&record, index, now);
            }
        }
    }

    /// A record is stored, and reaches all other routers, each at another time.
    fn publish(&mut self, record: &QuarantineRecord, from: usize, now: u64) {
        self.stored.push(record.clone());
        for index in (0..self.routers.len()).filter(|index| *index != from) {
            let at = now + self.rng.random_range(20..SPREAD_MS);
            self.routers[index].inbox.push((at, record.clone()));
        }
    }

    fn send_all(&mut self, now: u64, per_s: f64, poison: bool) {
        let mut expected = per_step(per_s);
        while self.rng.random::<f64>() < expected {
            expected -= 1.0;
            self.send(now, poison);
        }
    }

    /// Sends a request through a random router to a random endpoint, unless it is refused.
    fn send(&mut self, now: u64, poison: bool) {
        let index = self.rng.random_range(0..self.routers.len());
        let request = if poison { &self.poison } else { &self.popular };
        let table = &self.routers[index].table;
        let suspicion = table.suspicion(request);
        let settles_in = table.settles_in(&request.request, clock(now));
        let in_flight = self.endpoints.iter().flat_map(|endpoint| &endpoint.runs);
        let turn_taken = || {
            let mut own = in_flight.filter(|run| run.router == index && run.poison == poison);
            own.next().is_some()
        };
        let refused = match suspicion {
            SuspicionLevel::Suspect(_) => true,
            SuspicionLevel::Watched(_) => turn_taken(),
            SuspicionLevel::Clear => false,
        };
        if !poison {
            self.outcome.popular += 1;
            let for_good = matches!(suspicion, SuspicionLevel::Suspect(_)) && settles_in.is_none();
            self.outcome.denied += usize::from(for_good);
            self.outcome.deferred += usize::from(refused && !for_good);
        }
        let up: Vec<usize> =
            (0..self.endpoints.len()).filter(|index| self.endpoints[*index].up_at <= now).collect();
        if refused || up.is_empty() {
            return;
        }
        if poison {
            self.outcome.poison_sent.push(now);
        }
        let endpoint = up[self.rng.random_range(0..up.len())];
        let end = now + self.rng.random_range(STEP_MS..=self.scenario.popular_ms);
        self.endpoints[endpoint].runs.push(Run { router: index, start: now, end, poison });
    }

    /// Advances the runs of an endpoint.
    fn advance(&mut self, index: usize, now: u64) {
        let runs = &mut self.endpoints[index].runs;
        if runs.iter().any(|run| run.poison && now >= run.start + CRASH_AFTER_MS) {
            self.outcome.poison_crash_times.push(now);
            return self.crash(index, now);
        }
        let done: Vec<Run> = runs.extract_if(.., |run| !run.poison && run.end <= now).collect();
        let popular = self.popular.request;
        for run in done {
            let table = &mut self.routers[run.router].table;
            table.record_completion(popular, clock(now));
            if table.request_suspicion(&popular) != SuspicionLevel::Clear {
                let at = table.latest_crash_of(&popular);
                self.clear(run.router, BTreeMap::from([(popular, at)]), now);
            }
        }
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
        self.outcome.crashes += 1;
        let routers: BTreeSet<usize> = runs.iter().map(|run| run.router).collect();
        for router in routers {
            let own = runs.iter().filter(|run| run.router == router);
            let mut requests: BTreeSet<Digest> = own
                .map(|run| if run.poison { self.poison.request } else { self.popular.request })
                .collect();
            if self.way == Way::LeftOut {
                let table = &self.routers[router].table;
                requests.retain(|request| !table.has_completed_recently(request, clock(now)));
            }
            let record = QuarantineRecord::Crash(Crash {
                endpoint: format!("i-{index}").parse().expect("an id"),
                incarnation,
                domain: format!("hall-{}", index % 6).parse().expect("a name"),
                domain_endpoints: u32::try_from(self.endpoints.len() / 6).expect("few"),
                at: clock(now + 20),
                requests,
                parts: BTreeMap::new(),
            });
            self.routers[router].inbox.push((now + 40, record.clone()));
            self.publish(&record, router, now + 40);
        }
    }
}

/// Requests that take some ten milliseconds, many in a second.
const SHORT: Scenario = Scenario {
    routers: 40,
    endpoints: 6,
    popular_per_s: 400.0,
    popular_ms: 30,
    poison_per_s: 0.0,
    crashes: 1,
};
/// Streams of up to four seconds.
const STREAMS: Scenario = Scenario { popular_per_s: 60.0, popular_ms: 4_000, crashes: 4, ..SHORT };
/// Each router has the request now and then.
const SPARSE: Scenario = Scenario { routers: 370, popular_ms: 500, ..STREAMS };

#[rstest]
#[case::short(SHORT)]
#[case::streams(STREAMS)]
#[case::sparse(SPARSE)]
fn a_popular_request_is_not_refused_for_good_and_few_records_are_written(
    #[case] scenario: Scenario,
    #[values(0.0, 20.0)] poison_per_s: f64,
) {
    let scenario = Scenario { poison_per_s, ..scenario };
    for seed in 1..=3 {
        let outcome = Simulation::run(Way::Told, scenario, seed);
        print(Way::Told, &outcome);
        assert_eq!(outcome.denied, 0, "seed {seed}, of {}", outcome.popular);
        assert!(outcome.late() <= MAX_REQUESTS_AFTER_CRASHES, "seed {seed}: {}", outcome.late());
        let writers = scenario.routers.min(4 * 6);
        assert!(outcome.releases <= writers * outcome.crashes, "{} records", outcome.releases);
    }
}

/// A request that crashes endpoints never runs to its end, however many send it.
#[rstest]
fn a_request_that_crashes_endpoints_is_refused_however_popular_it_is(
    #[values(2.0, 20.0, 400.0)] poison_per_s: f64,
    #[values(40, 370)] routers: usize,
) {
    let scenario = Scenario { routers, poison_per_s, crashes: 0, ..SHORT };
    for seed in 1..=3 {
        let outcome = Simulation::run(Way::Told, scenario, seed);
        print(Way::Told, &outcome);
        assert!(outcome.poison_crash_times.len() >= 3, "seed {seed}");
        assert!(outcome.late() <= MAX_REQUESTS_AFTER_CRASHES, "seed {seed}: {}", outcome.late());
    }
}

fn print(way: Way, outcome: &Outcome) {
    println!(
        "{way:?}: {} of {} popular requests refused for good, {} told to come back, {} crashes, {} by the request to blame, \
         {} of its {} arrivals too late, {} records of what is cleared",
        outcome.denied,
        outcome.popular,
        outcome.deferred,
        outcome.crashes,
        outcome.poison_crash_times.len(),
        outcome.late(),
        outcome.poison_sent.len(),
        outcome.releases
    );
}

/// Prints what each way gives on the same traffic: `cargo nextest run -p quarantine --test popular prints --run-ignored all --no-capture`.
#[test]
#[ignore = "prints figures"]
fn prints_how_the_ways_compare() {
    for (name, scenario) in [("short", SHORT), ("streams", STREAMS), ("sparse", SPARSE)] {
        for poison_per_s in [0.0, 20.0] {
            println!("{name}, {poison_per_s} requests a second that crash endpoints");
            for way in [Way::Alone, Way::LeftOut, Way::ToldAfterwards, Way::Told] {
                print(way, &Simulation::run(way, Scenario { poison_per_s, ..scenario }, 1));
            }
        }
    }
}
