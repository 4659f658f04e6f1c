//! Rate limits over many routers in simulated time, with routers and loaders that fail.
//!
//! Several times as many requests arrive as the limit of one endpoint allows. The verdict counts those that reach the endpoint in any
//! four seconds.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ratelimit::{Grant, Limiter};
use rstest::rstest;
use tokio::time::Instant;
use units::Rate;

/// The simulated time of one step.
const STEP: Duration = Duration::from_millis(5);
/// The simulated time of one run.
const RUN_TIME: Duration = Duration::from_secs(30);
/// The windows in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// This many times as many requests arrive as the limit allows.
const OVERLOAD: f64 = 4.0;
/// The longest that a granted request takes to reach the endpoint: until then a connection is made or given up.
const MAX_SEND_DELAY: Duration = Duration::from_millis(450);
/// How long a router that can't reach the loader leaves the endpoint alone.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(500);

/// How the limit is divided among the routers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Division {
    /// One limiter for all routers, which its loader keeps.
    Loader,
    /// A limiter in each router, with an equal share of the limit.
    EqualShares,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Faults {
    None,
    /// Loaders and routers are restarted or suspended, and routers are cut off from the loader, all the time.
    All,
}

#[derive(Debug)]
struct Router {
    own: Limiter,
    paused_until: Instant,
    stopped_until: Instant,
    cut_until: Instant,
}

#[derive(Debug)]
struct Outcome {
    /// The most requests in one window.
    busiest: usize,
    sent: usize,
}

fn allowed(limit: Rate) -> f64 {
    1.5 * limit.0 * WINDOW.as_secs_f64() + 5.0
}

fn play(seed: u64, routers: usize, limit: Rate, division: Division, faults: Faults) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let start = Instant::now();
    let router = |now: Instant| Router {
        own: Limiter::new(now),
        paused_until: now,
        stopped_until: now,
        cut_until: now,
    };
    let mut all: Vec<Router> = (0..routers).map(|_| router(start)).collect();
    let mut loader = Limiter::new(start);
    let mut loader_stopped_until = start;
    let share = Rate(limit.0 / routers as f64);
    let arrivals = limit.0 * OVERLOAD * STEP.as_secs_f64();
    let mut due = 0.0;
    let (mut sent, mut now) = (Vec::new(), start);
    while now < start + RUN_TIME {
        if faults == Faults::All {
            let span = Duration::from_millis(rng.random_range(50..3_000));
            if rng.random_bool(0.002) {
                loader = Limiter::new(now);
                loader_stopped_until = now + span;
            }
            if rng.random_bool(0.01) {
                let at = rng.random_range(0..routers);
                match rng.random_range(0..3) {
                    0 => all[at] = router(now),
                    1 => all[at].stopped_until = now + span,
                    _ => all[at].cut_until = now + span,
                }
            }
        }
        due += arrivals * rng.random_range(0.0..2.0);
        while due >= 1.0 {
            due -= 1.0;
            let at = rng.random_range(0..routers);
            let router = &mut all[at];
            if router.paused_until > now || router.stopped_until > now {
                continue;
            }
            let max_wait = Duration::from_millis([0, 400, 2_500][rng.random_range(0..3)]);
            let grant = match division {
                Division::EqualShares => router.own.acquire(share, max_wait, now),
                Division::Loader if router.cut_until > now || loader_stopped_until > now => {
                    Grant::Refused(UNREACHABLE_PAUSE)
                }
                Division::Loader => loader.acquire(limit, max_wait, now),
            };
            match grant {
                Grant::After(wait) => {
                    sent.push(now + wait + MAX_SEND_DELAY.mul_f64(rng.random::<f64>().powi(4)));
                }
                Grant::Refused(after) => router.paused_until = now + after,
            }
        }
        now += STEP;
    }
    sent.sort_unstable();
    let mut first = 0;
    let mut busiest = 0;
    for (last, at) in sent.iter().enumerate() {
        while *at - sent[first] >= WINDOW {
            first += 1;
        }
        busiest = busiest.max(last + 1 - first);
    }
    Outcome { busiest, sent: sent.len() }
}

#[rstest]
fn no_window_has_more_than_the_limit_allows_whatever_fails(
    #[values(3, 21, 60, 370)] routers: usize,
    #[values(0.2, 1.0, 10.0, 200.0)] limit: f64,
) {
    let limit = Rate(limit);
    for seed in 0..200 {
        let outcome = play(seed, routers, limit, Division::Loader, Faults::All);
        assert!(outcome.busiest as f64 <= allowed(limit), "seed {seed}: {outcome:?}");
    }
}

#[rstest]
fn nearly_all_of_the_limit_is_used_while_more_is_asked_for(
    #[values(3, 21, 60, 370)] routers: usize,
    #[values(0.2, 1.0, 10.0, 200.0)] limit: f64,
) {
    let limit = Rate(limit);
    let seeds = 10;
    let sent: usize = (0..seeds)
        .map(|seed| play(seed, routers, limit, Division::Loader, Faults::None).sent)
        .sum();
    let possible = limit.0 * RUN_TIME.as_secs_f64() * seeds as f64;
    assert!(sent as f64 >= 0.8 * possible, "{sent} of {possible}");
}

/// Prints what the ways to divide a limit reach: `cargo test -p ratelimit --test routers -- --ignored --nocapture`.
#[test]
#[ignore = "prints a comparison"]
fn compare_divisions() {
    for division in [Division::EqualShares, Division::Loader] {
        for routers in [3, 21, 60, 370] {
            for limit in [0.2, 1.0, 10.0, 200.0].map(Rate) {
                let outcomes: Vec<Outcome> = (0..20)
                    .map(|seed| play(seed, routers, limit, division, Faults::None))
                    .collect();
                let busiest = outcomes.iter().map(|outcome| outcome.busiest).max().unwrap_or(0);
                let sent: usize = outcomes.iter().map(|outcome| outcome.sent).sum();
                let used = sent as f64 / (limit.0 * RUN_TIME.as_secs_f64() * outcomes.len() as f64);
                println!(
                    "{division:?}, {routers} routers, {limit}: busiest window {:.2} of what is allowed, {used:.2} of the limit used",
                    busiest as f64 / allowed(limit)
                );
            }
        }
    }
}
