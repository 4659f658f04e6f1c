//! Measures what an entry adds to a call: latency, requests a second, processor time and memory.
//!
//! One run drives the same load at an endpoint directly and through a `hyssop-entry` process in turn, so
//! that the figures can be compared as ratios. Run it with `make bench-entry`.

mod endpoint;
mod fixture;
mod load;
mod usage;

use std::time::Duration;

use fixture::Fixture;
use load::{Load, Route, hold, measure};
use usage::Usage;

/// How long each load runs.
const SPAN: Duration = Duration::from_secs(5);
/// How often each pair of loads runs; the medians are printed.
const ROUNDS: usize = 3;
/// Streams that are held open to see what one costs.
const HELD: usize = 4000;

#[tokio::main]
async fn main() {
    let fixture = Fixture::start().await;
    println!("{:<34} {:>10} {:>10} {:>7}", "", "direct", "entry", "ratio");
    for (name, path, width) in [
        ("one caller, small answer", "/small", 1),
        ("64 callers, small answer", "/small", 64),
        ("1 caller, 200 events", "/events/200", 1),
        ("64 callers, 200 events", "/events/200", 64),
    ] {
        compare(&fixture, name, path, width).await;
    }
    memory(&fixture).await;
    fixture.stop();
}

async fn compare(fixture: &Fixture, name: &str, path: &str, width: usize) {
    let mut direct = Vec::new();
    let mut entry = Vec::new();
    let before = Usage::of(fixture.pid());
    for _ in 0..ROUNDS {
        direct.push(measure(fixture.route(Route::Direct), path, width, SPAN).await);
        entry.push(measure(fixture.route(Route::Entry), path, width, SPAN).await);
    }
    let spent = Usage::of(fixture.pid()).since(&before);
    let count: u64 = entry.iter().map(|load| load.count).sum();
    println!("{name}");
    row("  requests/s", &direct, &entry, |load| load.rate);
    row("  p50 ms", &direct, &entry, |load| load.p50);
    row("  p99 ms", &direct, &entry, |load| load.p99);
    row("  first byte p50 ms", &direct, &entry, |load| load.first_p50);
    println!("  {:<43} {:>10.1}", "entry processor µs a request", spent.micros() / count as f64);
}

fn row(name: &str, direct: &[Load], entry: &[Load], value: impl Fn(&Load) -> f64) {
    let (direct, entry) = (median(direct, &value), median(entry, &value));
    println!("{name:<34} {direct:>10.3} {entry:>10.3} {:>7.2}", entry / direct);
}

fn median(loads: &[Load], value: impl Fn(&Load) -> f64) -> f64 {
    let mut values: Vec<f64> = loads.iter().map(value).collect();
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

async fn memory(fixture: &Fixture) {
    let before = Usage::of(fixture.pid());
    let held = hold(fixture.route(Route::Entry), HELD).await;
    let after = Usage::of(fixture.pid());
    let each = after.resident.saturating_sub(before.resident) / HELD as u64;
    println!(
        "memory: {} KiB before, {each} bytes for each of {HELD} open streams",
        before.resident >> 10
    );
    drop(held);
}
