//! What a claim of an idempotency key costs, over numbers of entries and rates of claims.
//!
//! Time is virtual and the log is in memory; it answers after a while and refuses what is over its rate.
//! `cargo bench -p journal --bench claims`

use std::sync::Arc;
use std::time::Duration;

use fake::Log;
use journal::{KeyOutcome, Keys};
use record::KeyClaim;
use tokio::runtime::Builder;
use tokio::time::{Instant, sleep};

/// Entries and the claims a second of all together.
const LOADS: [(u32, u32); 6] = [(4, 20), (4, 200), (4, 2000), (40, 200), (370, 70), (370, 700)];
/// The appends a second that the service takes from all streams.
const RATE: u32 = 300;
/// How long the service takes for a call.
const DELAY: Duration = Duration::from_millis(5);
/// How long each load lasts.
const SPAN: Duration = Duration::from_secs(20);
const WINDOW: Duration = Duration::from_secs(3600);
const LIMIT: Duration = Duration::from_secs(10);

fn main() {
    println!("entries  claims/s  won  undecided  p50 ms  p99 ms  appends/s  refused/s");
    for (entries, rate) in LOADS {
        let mut builder = Builder::new_current_thread();
        let runtime = builder.enable_all().start_paused(true).build();
        let line = runtime.expect("threads can start").block_on(measure(entries, rate));
        println!("{entries:7}  {rate:8}  {line}");
    }
}

fn claim(number: u32) -> KeyClaim {
    KeyClaim {
        key: format!("{number:032x}").parse().expect("a right key"),
        request: format!("request-{number}").parse().expect("a right id"),
        entry: "entry-1".parse().expect("a right id"),
        digest: "body".to_owned(),
    }
}

async fn measure(entries: u32, rate: u32) -> String {
    let log = Log::default();
    let start = |_| Keys::start(Arc::new(log.clone()), WINDOW);
    let all: Vec<Keys> = (0..entries).map(start).collect();
    sleep(Duration::from_secs(2)).await;
    log.set(|faults| {
        faults.delay = DELAY;
        faults.rate = Some(RATE);
    });
    let before = log.counters();
    let began = Instant::now();
    let count = rate * u32::try_from(SPAN.as_secs()).expect("a short span");
    let mut claims = Vec::new();
    for number in 0..count {
        let keys = all[rand::random_range(0..all.len())].clone();
        claims.push(tokio::spawn(async move {
            let began = Instant::now();
            let won = keys.claim(claim(number), LIMIT).await == Ok(KeyOutcome::Won);
            won.then(|| began.elapsed())
        }));
        // Gaps like those of independent callers.
        let gap = -f64::ln(1.0 - rand::random::<f64>()) / f64::from(rate);
        sleep(Duration::from_secs_f64(gap)).await;
    }
    let seconds = began.elapsed().as_secs_f64();
    let after = log.counters();
    let mut times = Vec::new();
    for claim in claims {
        times.extend(claim.await.expect("the task ended"));
    }
    times.sort();
    let at = |part: usize| {
        times.get(times.len() * part / 100).map_or(0.0, |time| 1000.0 * time.as_secs_f64())
    };
    format!(
        "{:5}  {:9}  {:6.0}  {:6.0}  {:9.0}  {:9.0}",
        times.len(),
        count as usize - times.len(),
        at(50),
        at(99),
        (after.appends - before.appends) as f64 / seconds,
        (after.refused - before.refused) as f64 / seconds
    )
}
