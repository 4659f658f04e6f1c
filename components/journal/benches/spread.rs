//! How long a record takes from one process to all while the log is down, over numbers of processes.
//!
//! Time is virtual and the network is in memory, so the figures depend on the protocol and its random
//! choices only. `cargo bench -p journal --bench spread -- 300 1000 2970`

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use edge::Stream;
use fake::{Log, Net};
use journal::{Journal, Options};
use rand::seq::IteratorRandom;
use record::{Body, Record};
use timeline::Recorder;
use tokio::runtime::Builder;
use tokio::time::{Instant, sleep};
use units::{Epoch, Offset};
use wire::Control;

/// The sizes that are measured when none is given.
const SIZES: [u16; 3] = [300, 1000, 2970];
/// How often each size is measured.
const ROUNDS: u32 = 5;
/// How many addresses each process knows.
const KNOWN: usize = 16;
/// In the runs with lost peers, one in this many is cut off.
const LOST: u16 = 10;
/// The delay of a message one way.
const DELAY: Duration = Duration::from_millis(1);
/// How often the spread is looked at.
const LOOK: Duration = Duration::from_millis(10);
/// Longer than any spread.
const PATIENCE: Duration = Duration::from_secs(120);

/// How the log fails.
#[derive(Debug, Clone, Copy)]
enum Failure {
    /// Calls fail at once.
    Refusing,
    /// Calls get no answer, so that processes believe for a while that the log is up.
    Silent,
    /// Calls get no answer, and some peers are lost at the same time.
    WithPeers,
}

fn main() {
    let sizes: Vec<u16> = std::env::args().filter_map(|arg| arg.parse().ok()).collect();
    let sizes = if sizes.is_empty() { SIZES.to_vec() } else { sizes };
    println!("nodes  failure    round  half ms  99% ms  all ms  bytes/node");
    for size in sizes {
        for failure in [Failure::Refusing, Failure::Silent, Failure::WithPeers] {
            for round in 1..=ROUNDS {
                let mut builder = Builder::new_current_thread();
                let runtime = builder.enable_all().start_paused(true).build();
                let runtime = runtime.expect("threads can start");
                let line = runtime.block_on(measure(size, failure));
                println!("{size:5}  {failure:9?}  {round:5}  {line}");
            }
        }
    }
}

fn addr(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10_000 + number))
}

fn start(size: u16, log: &Log, net: &Net) -> Vec<Journal> {
    (0..size).map(|number| start_one(number, size, log, net)).collect()
}

fn start_one(number: u16, size: u16, log: &Log, net: &Net) -> Journal {
    let known = (0..size).filter(|other| *other != number).map(addr);
    let options = Options {
        seeds: known.sample(&mut rand::rng(), KNOWN),
        network: Arc::new(net.port(addr(number))),
        ..Options::default()
    };
    let instance: units::InstanceId = format!("likhari-{number}").parse().expect("a right id");
    let recorder = Recorder::new(instance.clone());
    let journal = journal::start(Arc::new(log.clone()), instance, recorder, options);
    let answerer = journal.clone();
    net.serve(addr(number), move |message: Bytes| {
        let journal = answerer.clone();
        async move {
            let control = serde_json::from_slice(&message).expect("a control message");
            Bytes::from(serde_json::to_vec(&journal.answer(control).await).expect("text"))
        }
    });
    journal
}

fn claim(previous: u64, seen: u64) -> String {
    let body = Body::Claim { previous: Epoch(previous) };
    let id = format!("claim-{seen}");
    let from = "likhari-0".parse().expect("a right id");
    let record = Record::new(id, from, 0, Offset(seen), body);
    serde_json::to_string(&record).expect("records are text")
}

async fn measure(size: u16, failure: Failure) -> String {
    let (log, net) = (Log::default(), Net::default());
    net.set_delay(DELAY);
    log.put(Stream::Control, claim(0, 0));
    let nodes = start(size, &log, &net);
    for node in &nodes {
        node.ready().await;
    }
    sleep(Duration::from_secs(10)).await;
    match failure {
        Failure::Refusing => log.set(|faults| faults.outage = true),
        Failure::Silent | Failure::WithPeers => {
            log.set(|faults| faults.delay = Duration::from_secs(3600));
        }
    }
    let is_lost = |number: u16| matches!(failure, Failure::WithPeers) && number % LOST == 1;
    (0..size).filter(|number| is_lost(*number)).for_each(|number| net.cut(addr(number), true));
    let nodes: Vec<Journal> =
        (0..).zip(nodes).filter(|(number, _)| !is_lost(*number)).map(|(_, node)| node).collect();
    sleep(Duration::from_secs(2)).await;
    let (_, bytes) = net.counters();
    let began = Instant::now();
    let records = vec![(Offset(1), claim(0, 0)), (Offset(2), claim(1, 1))];
    let offer = Control::Offer { records };
    nodes[0].answer(offer).await;
    let mut half = None;
    let mut most = None;
    loop {
        sleep(LOOK).await;
        let reached = nodes.iter().filter(|node| node.read(state::State::offset) == Offset(2));
        let reached = reached.count();
        let now = began.elapsed().as_millis();
        half = half.or((2 * reached >= nodes.len()).then_some(now));
        most = most.or((100 * reached >= 99 * nodes.len()).then_some(now));
        if reached == nodes.len() || began.elapsed() > PATIENCE {
            let all = if reached == nodes.len() { now.to_string() } else { "never".to_owned() };
            let spent = (net.counters().1 - bytes) / u64::from(size);
            let show = |time: Option<u128>| time.map_or("-".to_owned(), |ms| ms.to_string());
            return format!("{:>7}  {:>6}  {all:>6}  {spent:>10}", show(half), show(most));
        }
    }
}
