//! Measures what an open stream costs the agent in memory, and what it adds to a small call.
//!
//! `cargo run --release -p agent --example streams`; the callers are a second process of the same program.

mod callers;
mod service;

use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::Duration;

use agent::{Edges, EndpointKind, Settings};
use edge::Stream;
use policy::Calendar;
use process::Shutdown;
use record::{Body, Record};
use serde_json::json;
use service::Service;
use timeline::Recorder;
use tree::{Change, Edit};
use units::{Offset, Revision, Size, Span};

/// How many streams are held open.
const HELD: usize = 4000;

fn id<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("a valid id")
}

async fn free_port() -> SocketAddr {
    let listener = web::bind(id("127.0.0.1:0")).await.expect("a free port");
    listener.local_addr().expect("an address")
}

/// A record that lets the agent run and queue as much as is asked for.
fn limits() -> Vec<u8> {
    let set = |setting: &str, value| Change::Set {
        path: units::NodePath::root(),
        setting: id(setting),
        value,
    };
    let changes = vec![
        set("batch", json!(4096)),
        set("queue", json!(65536)),
        set("group-share", json!(1.0)),
        set("service", json!("likhari")),
        Change::Add { path: id("/likhari"), kind: tree::NodeKind::Service },
    ];
    let edit = Edit { id: id("e-1"), author: "bench".to_owned(), base: Revision(0), changes };
    let record = Record::new("r-1".to_owned(), id("entry-1"), 0, Offset(0), Body::Edit(edit));
    let applied = state::State::default().apply(Offset(1), &record);
    assert_eq!(applied.verdicts, [state::Verdict::Done]);
    serde_json::to_vec(&record).expect("a record")
}

fn settings(dispatch: SocketAddr, control: SocketAddr) -> Settings {
    let text = json!({
        "identity": {
            "instance": "instance-1", "domain": "saddar", "admin": "127.0.0.1:0", "log": "warn"
        },
        "endpoint": "likhari-1", "kind": "service", "service": "likhari",
        "address": "127.0.0.1:0", "fenced": true, "memory": "0B",
        "dispatch": dispatch, "control": control, "seeds": [],
        "log": "127.0.0.1:0", "list": "127.0.0.1:0", "table": 2_000_000
    });
    let settings: Settings = serde_json::from_value(text).expect("right settings");
    assert_eq!(settings.kind, EndpointKind::Service);
    Settings { table_bytes: Size::gib(4), grace: Span::secs(60), ..settings }
}

fn resident() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = text.split(' ').nth(1).and_then(|n| n.parse().ok()).unwrap_or_default();
    pages * 4096
}

/// The processor time that this process has used.
fn spent() -> Duration {
    let text = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after = text.rsplit(')').next().unwrap_or_default();
    let ticks: u64 = after.split(' ').skip(12).take(2).filter_map(|n| n.parse::<u64>().ok()).sum();
    Duration::from_millis(ticks * 10)
}

fn start_callers(work: &str, addr: SocketAddr, count: usize) -> Child {
    let program = std::env::current_exe().expect("this program");
    let mut command = Command::new(program);
    command.args([work, &addr.to_string(), &count.to_string()]);
    command.stdin(Stdio::piped()).spawn().expect("a second process")
}

#[tokio::main]
async fn main() {
    let args: Vec<String> = std::env::args().collect();
    if let [_, work, addr, count] = args.as_slice() {
        let count = count.parse().expect("a count");
        return callers::run(work, id(addr), count).await;
    }
    let (dispatch, control) = (free_port().await, free_port().await);
    let service = Service::default();
    let log = fake::Log::default();
    log.put(Stream::Control, limits());
    let edges = Edges {
        log: Arc::new(log),
        list: Arc::new(fake::List::default()),
        endpoint: Arc::new(service.clone()),
        network: Arc::new(peer::Client::default()),
        calendar: Calendar::system(),
    };
    let (_phase, shutdown) = Shutdown::manual();
    let settings = settings(dispatch, control);
    tokio::spawn(agent::run_with(settings, edges, Recorder::new(id("instance-1")), shutdown));
    tokio::time::sleep(Duration::from_secs(2)).await;

    for width in [1, 64] {
        let (before, calls) = (spent(), service.calls());
        let mut callers = start_callers("calls", dispatch, width);
        callers.wait().expect("callers that end");
        let calls = service.calls() - calls;
        let each = (spent() - before).as_micros() as f64 / calls as f64;
        println!("{width} at once: {each:.1} µs of the agent's processor time a call");
    }
    let before = resident();
    let mut callers = start_callers("hold", dispatch, HELD);
    while service.open() < HELD {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    let each = (resident() - before) / HELD as u64;
    println!("{HELD} open streams: {each} bytes of the agent's memory each");
    callers.kill().expect("callers to end");
    callers.wait().expect("callers that end");
}
