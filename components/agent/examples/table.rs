//! Measures the request table: operations a second and memory for each request remembered.
//!
//! `cargo run --release -p agent --example table`

use std::hint::black_box;
use std::time::{Duration, Instant};

use agent::{Begin, RequestTable, TableLimits};
use units::{ModelName, RequestId, Size};

const COUNT: usize = 1_000_000;
const ROUNDS: usize = 5;
const BUDGET: Duration = Duration::from_secs(30);

fn table() -> RequestTable {
    let grace = Duration::from_secs(60);
    RequestTable::new(TableLimits { count: 2 * COUNT, bytes: Size::gib(1), grace })
}

fn resident() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = text.split(' ').nth(1).and_then(|n| n.parse().ok()).unwrap_or_default();
    pages * 4096
}

fn best(name: &str, mut work: impl FnMut() -> Duration) {
    let shortest = (0..ROUNDS).map(|_| work()).min().unwrap_or_default();
    let rate = COUNT as f64 / shortest.as_secs_f64();
    println!("{name:<32} {rate:>12.0} a second");
}

fn main() {
    let ids: Vec<RequestId> =
        (0..COUNT).map(|n| format!("entry-1-{n}").parse().expect("an id")).collect();
    let model: ModelName = "page-text".parse().expect("a name");
    let before = resident();
    let mut known = table();
    for id in &ids {
        assert!(matches!(known.find(id), Begin::New(_)));
    }
    let each = (resident() - before) / COUNT as u64;
    best("dispatch of a new request", || {
        let mut table = table();
        let began = Instant::now();
        for id in &ids {
            black_box(table.begin(id, &model, true, BUDGET));
        }
        began.elapsed()
    });
    best("resume of a request never seen", || {
        let mut table = table();
        let began = Instant::now();
        for id in &ids {
            black_box(table.find(id));
        }
        began.elapsed()
    });
    best("resume of a known request", || {
        let began = Instant::now();
        for id in &ids {
            black_box(known.find(id));
        }
        began.elapsed()
    });
    println!("{:<32} {each:>12} bytes", "memory of a remembered request");
    let began = Instant::now();
    while !known.is_empty() {
        known.sweep();
    }
    let rate = COUNT as f64 / began.elapsed().as_secs_f64();
    println!("{:<32} {rate:>12.0} a second", "requests forgotten");
}
