//! Serves seeded overnight series in several orders, and prints how many miss their deadlines.
//!
//! `cargo run --release -p policy --example series [SEEDS]`

use std::time::Duration;

use policy::{Series, SeriesOrder};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Requests that one replica runs at the same time.
const SLOTS: usize = 8;
/// The usual time of one request.
const REQUEST_TIME: Duration = Duration::from_secs(20);
/// The time in which series are queued and served, in seconds.
const NIGHT_SECS: f64 = 10.0 * 3600.0;
/// The number of series in one night.
const SERIES_PER_NIGHT: u32 = 40;
/// The amounts of work that are compared, as fractions of what fits into the night.
const LOAD_FACTORS: [f64; 5] = [0.6, 0.75, 0.85, 0.95, 1.1];

/// The totals over several nights.
#[derive(Debug, Default)]
struct Totals {
    series: u32,
    missed: u32,
    tardy_secs: f64,
    worst_secs: f64,
    requests: u32,
    late: u32,
}

/// The series of one night. A few are large, and the deadlines lie between midnight and the morning.
fn night(load: f64, rng: &mut ChaCha8Rng) -> Vec<Series> {
    let shares: Vec<f64> =
        (0..SERIES_PER_NIGHT).map(|_| rng.random::<f64>().powi(3) + 0.05).collect();
    let total_share: f64 = shares.iter().sum();
    #[expect(clippy::cast_precision_loss, reason = "few slots")]
    let capacity = NIGHT_SECS / REQUEST_TIME.as_secs_f64() * SLOTS as f64 * load;
    let mut all: Vec<Series> =
        shares.iter().map(|share| series(capacity * share / total_share, rng)).collect();
    all.sort_by_key(|series| series.queued);
    all
}

fn series(requests: f64, rng: &mut ChaCha8Rng) -> Series {
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a small count")]
    let total = requests.ceil() as u32;
    let queued = NIGHT_SECS * 0.5 * rng.random::<f64>().powi(2);
    #[expect(clippy::cast_precision_loss, reason = "few slots")]
    let alone = requests * REQUEST_TIME.as_secs_f64() / SLOTS as f64;
    let due = NIGHT_SECS * (0.5 + 0.5 * rng.random::<f64>());
    let deadline = due.max(queued + alone * 1.5).min(NIGHT_SECS);
    Series {
        queued: Duration::from_secs_f64(queued),
        deadline: Duration::from_secs_f64(deadline),
        total,
        started: 0,
    }
}

fn serve(mut all: Vec<Series>, order: SeriesOrder, rng: &mut ChaCha8Rng, totals: &mut Totals) {
    let mut slots = [Duration::ZERO; SLOTS];
    let mut done = vec![Duration::ZERO; all.len()];
    while let Some(slot) = (0..SLOTS).min_by_key(|i| slots[*i]) {
        let now = slots[slot];
        let known = all.iter().take_while(|series| series.queued <= now).count();
        if let Some(i) = order.next(&all[..known], now, REQUEST_TIME) {
            let took = REQUEST_TIME.mul_f64(rng.random_range(0.5..1.5));
            all[i].started += 1;
            slots[slot] = now + took;
            done[i] = done[i].max(now + took);
            totals.requests += 1;
            totals.late += u32::from(now + took > all[i].deadline);
        } else if let Some(next) = all.get(known) {
            slots[slot] = next.queued;
        } else {
            break;
        }
    }
    for (series, done) in all.iter().zip(done) {
        let tardy_secs = done.saturating_sub(series.deadline).as_secs_f64();
        totals.series += 1;
        totals.missed += u32::from(tardy_secs > 0.0);
        totals.tardy_secs += tardy_secs;
        totals.worst_secs = totals.worst_secs.max(tardy_secs);
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
    for load in LOAD_FACTORS {
        for (name, order) in orders {
            let mut totals = Totals::default();
            for seed in 0..seeds {
                let mut rng = ChaCha8Rng::seed_from_u64(seed);
                let all = night(load, &mut rng);
                serve(all, order, &mut rng, &mut totals);
            }
            println!(
                "| {load} | {name} | {} | {:.1} | {:.1} | {:.0} | {:.0} |",
                totals.series,
                100.0 * f64::from(totals.missed) / f64::from(totals.series),
                100.0 * f64::from(totals.late) / f64::from(totals.requests),
                totals.tardy_secs / f64::from(totals.series),
                totals.worst_secs,
            );
        }
    }
}
