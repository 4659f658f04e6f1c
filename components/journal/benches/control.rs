//! What following the log and keeping in touch with peers costs a node, over numbers of nodes.
//!
//! All nodes run in this process, over loopback: nng between them, HTTP to a stand-in of the log service.
//! The bytes are those of the sockets as `ss` shows them, with headers computed from the segments.
//! `cargo bench -p journal --bench control -- 50 150 300`; `50:2600` runs 50 nodes with 2,600 members.
//! Memory is exact only for the first size of a run, since the allocator keeps what later ones use again.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::process::Command;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use edge::HttpLog;
use journal::{Journal, Options};
use record::Body;
use timeline::Recorder;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};
use units::Epoch;

/// The sizes that are measured when none is given.
const SIZES: [Scale; 3] = [Scale::plain(50), Scale::plain(150), Scale::plain(300)];
/// How long each size runs before it is measured.
const SETTLE: Duration = Duration::from_secs(20);
/// How long each size is measured.
const MEASURED: Duration = Duration::from_secs(60);
/// The pause between two renewals of the planner lease.
const RENEWAL: Duration = Duration::from_millis(1670);
/// How many renewals come between two other records: 2,700 changes a day.
const OTHERS: u32 = 19;
/// The bytes of IP and TCP headers of a segment, with time stamps.
const HEADERS: u64 = 52;
/// The kernel's clock ticks a second, in which it counts processor time.
const TICKS: f64 = 100.0;
const LIMIT: Duration = Duration::from_secs(60);

/// How many nodes run, and how many members their state has.
#[derive(Debug, Clone, Copy)]
struct Scale {
    nodes: u16,
    members: u16,
}

impl Scale {
    const fn plain(nodes: u16) -> Self {
        Self { nodes, members: nodes }
    }

    fn parse(text: &str) -> Option<Self> {
        match text.split_once(':') {
            None => text.parse().ok().map(Self::plain),
            Some((nodes, members)) => {
                Some(Self { nodes: nodes.parse().ok()?, members: members.parse().ok()? })
            }
        }
    }
}

struct Node {
    journal: Journal,
    addr: SocketAddr,
}

/// What sockets have carried.
#[derive(Debug, Clone, Copy, Default)]
struct Traffic {
    bytes: u64,
    segments: u64,
}

fn main() {
    let sizes: Vec<Scale> = std::env::args().filter_map(|arg| Scale::parse(&arg)).collect();
    let sizes = if sizes.is_empty() { SIZES.to_vec() } else { sizes };
    println!("nodes  members  log B/s  peers B/s  all B/s  core %  KiB/node  state KiB  spread ms");
    for size in sizes {
        let nodes = runtime("node");
        let log = runtime("log");
        nodes.block_on(measure(size, &log));
        log.shutdown_background();
        nodes.shutdown_background();
    }
}

fn runtime(name: &str) -> Runtime {
    let mut builder = Builder::new_multi_thread();
    builder.worker_threads(2).thread_name(name).enable_all().build().expect("threads can start")
}

async fn measure(scale: Scale, log_runtime: &Runtime) {
    let size = scale.nodes;
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let settings = standin::LogSettings { rate: 100_000, ..standin::LogSettings::default() };
    let log = log_runtime.spawn(standin::Log::start(any, settings)).await;
    let log = log.expect("the task ends").expect("a port is free");
    let memory = resident();
    let (stop, stopped) = watch::channel(false);
    let nodes = start(scale, log.addr, &stopped).await;
    let state_size = nodes[0].journal.read(state::to_text).len();
    let writer = nodes[0].journal.clone();
    let records = tokio::spawn(write(writer));
    sleep(SETTLE).await;
    let (before, cpu) = (sockets(), processor_time());
    let began = Instant::now();
    sleep(MEASURED).await;
    let seconds = began.elapsed().as_secs_f64();
    let used = processor_time() - cpu;
    let after = sockets();
    let grown = resident().saturating_sub(memory);
    let spread = spread(&nodes).await;
    let is_log = |ends: &(SocketAddr, SocketAddr)| ends.0 == log.addr || ends.1 == log.addr;
    let to_log = carried(&before, &after, is_log) / seconds / f64::from(size);
    // What one node sends to a peer, another gets.
    let to_peers = 2.0 * carried(&before, &after, |ends| !is_log(ends)) / seconds / f64::from(size);
    println!(
        "{size:5}  {:7}  {to_log:7.0}  {to_peers:9.0}  {:7.0}  {:6.2}  {:8}  {:9}  {spread:9}",
        scale.members,
        to_log + to_peers,
        100.0 * used / seconds / f64::from(size),
        grown / u64::from(size),
        state_size >> 10,
    );
    records.abort();
    stop.send_replace(true);
    drop(nodes);
    sleep(Duration::from_secs(2)).await;
}

async fn start(scale: Scale, log: SocketAddr, stopped: &watch::Receiver<bool>) -> Vec<Node> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listeners: Vec<_> =
        (0..scale.nodes).map(|_| peer::listen(any).expect("a port is free")).collect();
    let seeds: Vec<SocketAddr> = listeners.iter().take(3).map(peer::Listener::addr).collect();
    let mut nodes = Vec::new();
    for (number, listener) in listeners.into_iter().enumerate() {
        let addr = listener.addr();
        let instance: units::InstanceId = format!("likhari-{number}").parse().expect("a right id");
        let options = Options { seeds: seeds.clone(), ..Options::default() };
        let recorder = Recorder::new(instance.clone());
        let journal = journal::start(Arc::new(HttpLog::new(log)), instance, recorder, options);
        let answerer = journal.clone();
        let answer = move |message: Bytes| answer(answerer.clone(), message);
        listener.serve(stopped.clone(), answer).expect("the socket is bound");
        nodes.push(Node { journal, addr });
    }
    for node in &nodes {
        node.journal.ready().await;
    }
    // Members beyond the nodes have the addresses of nodes, so that all neighbours answer.
    for number in 0..usize::from(scale.members) {
        let node = &nodes[number % nodes.len()];
        node.journal.append(attach(number, node.addr), LIMIT).await.expect("the log is up");
    }
    nodes
}

async fn answer(journal: Journal, message: Bytes) -> Bytes {
    let control = serde_json::from_slice(&message).expect("a control message");
    serde_json::to_vec(&journal.answer(control).await).expect("replies are text").into()
}

/// Writes what a fleet writes: renewals of the lease, and now and then another record.
async fn write(journal: Journal) {
    let claim = Body::Claim { previous: Epoch(0) };
    let epoch = journal.append(claim, LIMIT).await.expect("the log is up").offset.into();
    let mut count = 0;
    loop {
        sleep(RENEWAL).await;
        count += 1;
        let body = if count % OTHERS == 0 {
            attach(0, SocketAddr::from(([127, 0, 0, 1], 1)))
        } else {
            Body::Renew { epoch }
        };
        journal.append(body, LIMIT).await.expect("the log is up");
    }
}

/// How many milliseconds a record takes from its append until all nodes have folded it.
async fn spread(nodes: &[Node]) -> u128 {
    let began = Instant::now();
    let body = attach(0, nodes[0].addr);
    let applied = nodes[0].journal.append(body, LIMIT).await.expect("the log is up");
    for node in nodes {
        let mut changes = node.journal.changes();
        changes.wait_for(|now| *now >= applied.offset).await.expect("the journal lives");
    }
    began.elapsed().as_millis()
}

fn attach(number: usize, control: SocketAddr) -> Body {
    Body::Attach(sample::attach(&format!("likhari-{number}"), control))
}

type Sockets = HashMap<(SocketAddr, SocketAddr), Traffic>;

/// What each TCP socket of this process has sent.
fn sockets() -> Sockets {
    let output = Command::new("ss").args(["-tinHp"]).output().expect("`ss` is installed");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let own = format!("pid={},", std::process::id());
    let lines: Vec<&str> = text.lines().collect();
    let pairs = lines.windows(2).filter(|pair| pair[0].contains(&own));
    pairs.filter_map(|pair| Some((ends(pair[0])?, traffic(pair[1])))).collect()
}

fn ends(line: &str) -> Option<(SocketAddr, SocketAddr)> {
    let mut fields = line.split_whitespace().skip(3);
    Some((fields.next()?.parse().ok()?, fields.next()?.parse().ok()?))
}

fn traffic(line: &str) -> Traffic {
    let field = |name: &str| {
        let found = line.split_whitespace().find_map(|field| field.strip_prefix(name));
        found.and_then(|number| number.parse().ok()).unwrap_or_default()
    };
    Traffic { bytes: field("bytes_sent:"), segments: field("segs_out:") }
}

/// Bytes with headers that the chosen sockets sent between two looks.
fn carried(
    before: &Sockets,
    after: &Sockets,
    chosen: impl Fn(&(SocketAddr, SocketAddr)) -> bool,
) -> f64 {
    let sent = after.iter().filter(|(ends, _)| chosen(ends)).map(|(ends, now)| {
        let then = before.get(ends).copied().unwrap_or_default();
        now.bytes - then.bytes + HEADERS * (now.segments - then.segments)
    });
    sent.sum::<u64>() as f64
}

/// Seconds that the threads of the nodes have run: all but those of the log service.
fn processor_time() -> f64 {
    let tasks = std::fs::read_dir("/proc/self/task").expect("there is a proc file system");
    let stats =
        tasks.flatten().filter_map(|task| std::fs::read_to_string(task.path().join("stat")).ok());
    let ticks = stats.filter(|stat| !stat.contains("(log)")).map(|stat| {
        let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace();
        fields.skip(11).take(2).filter_map(|field| field.parse::<u64>().ok()).sum::<u64>()
    });
    ticks.sum::<u64>() as f64 / TICKS
}

/// The process's resident memory in KiB.
fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|rest| rest.split_whitespace().next()?.parse().ok()).unwrap_or_default()
}
