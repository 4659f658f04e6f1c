//! Loads the models of a closing window in several ways and prints who waits at the opening, how long
//! replicas idle before it, and how long urgent wakes take meanwhile.
//!
//! `cargo run --release -p policy --example opening [SEEDS]`

use std::time::Duration;

use jiff::Timestamp;
use policy::{Load, Store, schedule};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use units::{Rate, ReplicaIndex, Size};

/// One step of the replay, in seconds.
const STEP: f64 = 0.05;
/// The replay starts so long before the opening, in seconds.
const BEFORE: f64 = 1800.0;
/// And ends so long after it.
const AFTER: f64 = 1800.0;
/// The engine's own part of a load, in seconds.
const ENGINE: f64 = 12.0;
/// GiB a second of a lane, and lanes at full speed.
const LANE: f64 = 1.0;
const LANES: f64 = 4.0;
/// Loads that the store starts a second.
const RATE: f64 = 7.0;
/// The mean time from the opening to the first request of a model.
const FIRST: f64 = 60.0;
/// Urgent wakes of other models a second.
const URGENT: f64 = 0.05;
/// The slack that the agents plan with, in the ways that are tried.
const SLACKS: [f64; 3] = [1.0, 1.5, 2.5];

/// When the models of the window start to load.
#[derive(Debug, Clone, Copy)]
enum Way {
    /// At their first request.
    OnDemand,
    /// All at once, so many seconds before the opening.
    Lead(f64),
    /// At their latest start, computed with this slack.
    Latest(f64),
}

/// One load in the replay; times are seconds from the start of the replay.
#[derive(Debug, Clone)]
struct Run {
    asked: f64,
    urgent: bool,
    left: f64,
    running: bool,
    fetched: Option<f64>,
}

impl Run {
    fn new(asked: f64, urgent: bool, gib: f64) -> Self {
        Self { asked, urgent, left: gib, running: false, fetched: None }
    }

    fn ready(&self) -> f64 {
        self.fetched.map_or(f64::INFINITY, |at| at + ENGINE)
    }
}

/// Serves all loads: urgent first, so many starts a second, all that run share the lanes.
fn serve(runs: &mut [Run], slow: f64) {
    let (mut now, mut turn) = (0.0, 0.0);
    while now < BEFORE + AFTER {
        while turn <= now {
            let waiting = runs
                .iter_mut()
                .filter(|run| run.asked <= now && !run.running && run.fetched.is_none());
            let next =
                waiting.min_by(|a, b| b.urgent.cmp(&a.urgent).then(a.asked.total_cmp(&b.asked)));
            let Some(next) = next else { break };
            next.running = true;
            turn = now + 1.0 / RATE;
        }
        #[expect(clippy::cast_precision_loss, reason = "few loads run")]
        let count = runs.iter().filter(|run| run.running).count() as f64;
        let speed = LANE / slow * (LANES / count.max(1.0)).min(1.0);
        for run in runs.iter_mut().filter(|run| run.running) {
            run.left -= speed * STEP;
            if run.left <= 0.0 {
                run.running = false;
                run.fetched = Some(now);
            }
        }
        now += STEP;
    }
}

/// The starts of the window's loads, in seconds from the start of the replay.
fn starts(sizes: &[u64], first: &[f64], way: Way) -> Vec<f64> {
    match way {
        Way::OnDemand => first.iter().map(|first| BEFORE + first).collect(),
        Way::Lead(lead) => sizes.iter().map(|_| BEFORE - lead).collect(),
        Way::Latest(slack) => {
            let opens = Timestamp::from_second(1_800_000_000).expect("a time");
            let load = |(i, gib): (usize, &u64)| Load {
                model: format!("m{i}").parse().expect("a model"),
                index: ReplicaIndex(0),
                endpoint: format!("engine-{i}").parse().expect("an endpoint"),
                weights: Size::gib(*gib),
                opens,
            };
            let loads = sizes.iter().enumerate().map(load).collect();
            let store = Store {
                rate: Rate(RATE),
                lanes: 4,
                speed: Size::gib(1),
                fixed: Duration::from_secs_f64(ENGINE),
                slack,
            };
            let mut starts = vec![0.0; sizes.len()];
            for slot in schedule(loads, &store) {
                let i: usize = slot.model.as_str()[1..].parse().expect("a number");
                let before = opens.duration_since(slot.starts).as_secs_f64();
                starts[i] = BEFORE - before;
            }
            starts
        }
    }
}

#[derive(Debug, Default)]
struct Tally {
    waits: Vec<f64>,
    late: u32,
    idle: f64,
    urgent: Vec<f64>,
}

fn replay(models: usize, slow: f64, way: Way, seed: u64, tally: &mut Tally) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let sizes: Vec<u64> = (0..models).map(|_| rng.random_range(6..=16)).collect();
    let first: Vec<f64> = (0..models).map(|_| -FIRST * (1.0 - rng.random::<f64>()).ln()).collect();
    let mut runs: Vec<Run> = starts(&sizes, &first, way)
        .iter()
        .zip(&sizes)
        .map(|(at, gib)| {
            #[expect(clippy::cast_precision_loss, reason = "a few GiB")]
            Run::new(*at, matches!(way, Way::OnDemand), *gib as f64)
        })
        .collect();
    let mut at = 0.0;
    while at < BEFORE + AFTER / 2.0 {
        at += -(1.0 - rng.random::<f64>()).ln() / URGENT;
        runs.push(Run::new(at, true, 8.0));
    }
    // A request that comes before its model has begun to load makes the load urgent.
    serve(&mut runs, slow);
    let (window, urgent) = runs.split_at(models);
    for (run, first) in window.iter().zip(&first) {
        let asked = BEFORE + first;
        tally.waits.push((run.ready() - asked).max(0.0));
        tally.late += u32::from(run.ready() > BEFORE);
        tally.idle += (asked - run.ready()).max(0.0);
    }
    tally.urgent.extend(
        urgent.iter().filter(|run| run.asked < BEFORE + 300.0).map(|run| run.ready() - run.asked),
    );
}

fn quantile(values: &mut [f64], part: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "an index into a list"
    )]
    let at = (values.len() as f64 * part) as usize;
    values.get(at).or(values.last()).copied().unwrap_or_default()
}

fn main() {
    let seeds = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(10);
    println!(
        "| models | store | way | not ready at opening % | first wait p95 s | p99 s | idle before use, h a site | urgent wake p95 s |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    let mut ways = vec![
        ("on demand".to_owned(), Way::OnDemand),
        ("all 120 s before".to_owned(), Way::Lead(120.0)),
        ("all 600 s before".to_owned(), Way::Lead(600.0)),
    ];
    ways.extend(SLACKS.map(|slack| (format!("latest start, slack {slack}"), Way::Latest(slack))));
    for models in [70, 100] {
        for slow in [1.0, 2.0] {
            for (name, way) in &ways {
                let mut tally = Tally::default();
                (0..seeds).for_each(|seed| replay(models, slow, *way, seed, &mut tally));
                #[expect(clippy::cast_precision_loss, reason = "few replays")]
                let (count, sites) = (tally.waits.len() as f64, seeds as f64);
                println!(
                    "| {models} | {} | {name} | {:.0} | {:.0} | {:.0} | {:.1} | {:.0} |",
                    if slow > 1.0 { "half speed" } else { "full speed" },
                    100.0 * f64::from(tally.late) / count,
                    quantile(&mut tally.waits, 0.95),
                    quantile(&mut tally.waits, 0.99),
                    tally.idle / 3600.0 / sites,
                    quantile(&mut tally.urgent, 0.95),
                );
            }
        }
    }
}
