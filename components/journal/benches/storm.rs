//! How long it takes until all of many processes have appended a record at the same moment, such as the
//! agents of a failure domain that comes back, while the service refuses what is over its rate.
//!
//! Time is virtual and the log is in memory. The rate shrinks with the number of processes, so that each
//! line stands for the same fleet: 2,600 agents before a service that takes 300 appends a second.
//! `cargo bench -p journal --bench storm -- 350 700 1400`

use std::sync::Arc;
use std::time::Duration;

use fake::Log;
use journal::{Journal, Options};
use record::Body;
use timeline::Recorder;
use tokio::runtime::Builder;
use tokio::time::{Instant, sleep};
use units::{Epoch, InstanceId};

/// The sizes that are measured when none is given.
const SIZES: [u32; 3] = [350, 700, 1400];
/// The fleet that each line stands for.
const AGENTS: u32 = 2600;
/// The appends a second that its service takes.
const RATE: u32 = 300;
/// How long a writer waits.
const LIMIT: Duration = Duration::from_secs(600);

fn main() {
    let sizes: Vec<u32> = std::env::args().filter_map(|arg| arg.parse().ok()).collect();
    let sizes = if sizes.is_empty() { SIZES.to_vec() } else { sizes };
    println!("agents  rate/s  half s  99% s  all s  appends/agent  most/s asked");
    for size in sizes {
        let mut builder = Builder::new_current_thread();
        let runtime = builder.enable_all().start_paused(true).build();
        println!("{}", runtime.expect("threads can start").block_on(measure(size)));
    }
}

fn start(number: u32, log: &Log) -> Journal {
    let instance: InstanceId = format!("likhari-{number}").parse().expect("a right id");
    let recorder = Recorder::new(instance.clone());
    journal::start(Arc::new(log.clone()), instance, recorder, Options::default())
}

async fn measure(size: u32) -> String {
    let rate = (RATE * size / AGENTS).max(1);
    let log = Log::default();
    let nodes: Vec<Journal> = (0..size).map(|number| start(number, &log)).collect();
    for node in &nodes {
        node.ready().await;
    }
    sleep(Duration::from_secs(5)).await;
    log.set(|faults| faults.rate = Some(rate));
    let began = Instant::now();
    let before = log.counters().appends;
    let appends: Vec<_> = nodes
        .iter()
        .map(|node| {
            let node = node.clone();
            tokio::spawn(async move {
                let body = Body::Renew { epoch: Epoch(0) };
                node.append(body, LIMIT).await.expect("it is read back in time");
                began.elapsed()
            })
        })
        .collect();
    let watched = log.clone();
    let watch = tokio::spawn(async move {
        let mut most = 0;
        let mut last = watched.counters().appends;
        loop {
            sleep(Duration::from_secs(1)).await;
            let now = watched.counters().appends;
            most = most.max(now - last);
            last = now;
            if watched.counters().records == u64::from(size) {
                return most;
            }
        }
    });
    let mut times = Vec::new();
    for append in appends {
        times.push(append.await.expect("the task ended"));
    }
    times.sort();
    let most = watch.await.expect("the task ended");
    let at = |part: usize| times[(times.len() * part / 100).min(times.len() - 1)].as_secs_f64();
    let each = (log.counters().appends - before) as f64 / f64::from(size);
    format!(
        "{size:6}  {rate:6}  {:6.1}  {:5.1}  {:5.1}  {each:13.1}  {most:12}",
        at(50),
        at(99),
        at(100)
    )
}
