//! Serves seeded overnight series in several orders and prints how many miss their deadline.
//!
//! `cargo run --release -p policy --example series [SEEDS]`

use std::time::Duration;

use policy::{Series, SeriesOrder};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Requests that one replica runs at the same time.
const SLOTS: usize = 8;
/// The usual time of one request.
const EACH: Duration = Duration::from_secs(20);
/// The time in which series are queued and served.
const NIGHT: f64 = 10.0 * 3600.0;
/// Series of one night.
const COUNT: u32 = 40;
/// How much work there is, as a part of what fits into the night.
const LOADS: [f64; 5] = [0.6, 0.75, 0.85, 0.95, 1.1];

/// The outcome of some nights.
#[derive(Debug, Default)]
struct Tally {
    series: u32,
    missed: u32,
    tardy: f64,
    worst: f64,
    requests: u32,
    late: u32,
}

/// Series of one night: a few are large, and deadlines lie between midnight and the morning.
fn night(load: f64, rng: &mut ChaCha8Rng) -> Vec<Series> {
    let shares: Vec<f64> = (0..COUNT).map(|_| rng.random::<f64>().powi(3) + 0.05).collect();
    let whole: f64 = shares.iter().sum();
    #[expect(clippy::cast_precision_loss, reason = "few slots")]
    let room = NIGHT / EACH.as_secs_f64() * SLOTS as f64 * load;
    let mut all: Vec<Series> =
        shares.iter().map(|share| series(room * share / whole, rng)).collect();
    all.sort_by_key(|one| one.queued);
    all
}

fn series(requests: f64, rng: &mut ChaCha8Rng) -> Series {
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a small count")]
    let total = requests.ceil() as u32;
    let queued = NIGHT * 0.5 * rng.random::<f64>().powi(2);
    #[expect(clippy::cast_precision_loss, reason = "few slots")]
    let alone = requests * EACH.as_secs_f64() / SLOTS as f64;
    let due = NIGHT * (0.5 + 0.5 * rng.random::<f64>());
    let deadline = due.max(queued + alone * 1.5).min(NIGHT);
    Series {
        queued: Duration::from_secs_f64(queued),
        deadline: Duration::from_secs_f64(deadline),
        total,
        started: 0,
    }
}

fn serve(mut all: Vec<Series>, order: SeriesOrder, rng: &mut ChaCha8Rng, tally: &mut Tally) {
    let mut slots = [Duration::ZERO; SLOTS];
    let mut done = vec![Duration::ZERO; all.len()];
    while let Some(slot) = (0..SLOTS).min_by_key(|i| slots[*i]) {
        let now = slots[slot];
        let known = all.iter().take_while(|one| one.queued <= now).count();
        if let Some(i) = order.next(&all[..known], now, EACH) {
            let took = EACH.mul_f64(rng.random_range(0.5..1.5));
            all[i].started += 1;
            slots[slot] = now + took;
            done[i] = done[i].max(now + took);
            tally.requests += 1;
            tally.late += u32::from(now + took > all[i].deadline);
        } else if let Some(next) = all.get(known) {
            slots[slot] = next.queued;
        } else {
            break;
        }
    }
    for (one, done) in all.iter().zip(done) {
        let tardy = done.saturating_sub(one.deadline).as_secs_f64();
        tally.series += 1;
        tally.missed += u32::from(tardy > 0.0);
        tally.tardy += tardy;
        tally.worst = tally.worst.max(tardy);
    }
}

fn main() {
    let seeds = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(40);
    println!(
        "| load | order | series | missed % | late requests % | mean tardiness s | worst tardiness s |"
    );
    println!("|---|---|---|---|---|---|---|");
    let orders =
        [("arrival", SeriesOrder::Arrival), ("edf", SeriesOrder::Edf), ("lag", SeriesOrder::Lag)];
    for load in LOADS {
        for (name, order) in orders {
            let mut tally = Tally::default();
            for seed in 0..seeds {
                let mut rng = ChaCha8Rng::seed_from_u64(seed);
                let all = night(load, &mut rng);
                serve(all, order, &mut rng, &mut tally);
            }
            println!(
                "| {load} | {name} | {} | {:.1} | {:.1} | {:.0} | {:.0} |",
                tally.series,
                100.0 * f64::from(tally.missed) / f64::from(tally.series),
                100.0 * f64::from(tally.late) / f64::from(tally.requests),
                tally.tardy / f64::from(tally.series),
                tally.worst,
            );
        }
    }
}
