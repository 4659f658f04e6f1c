//! An entry process over a log that knows one service with one endpoint.

use std::net::SocketAddr;
use std::process::{Child, Command};
use std::str::FromStr;
use std::time::Duration;

use edge::Stream;
use record::{Attach, Body, Record};
use serde_json::json;
use tree::{Change, Edit, NodeKind};
use units::{Incarnation, Offset, Revision, Size};
use web::Protocol;

use crate::endpoint;
use crate::load::Route;

/// What is measured.
pub(crate) struct Fixture {
    entry: Child,
    direct: SocketAddr,
    callers: SocketAddr,
    _log: standin::Running,
    _list: standin::Running,
}

impl Fixture {
    /// Starts the log, the endpoint and the entry, and waits until it serves.
    pub(crate) async fn start() -> Self {
        let free = || SocketAddr::from(([127, 0, 0, 1], 0));
        let log = fake::Log::default();
        let settings = standin::LogSettings::default();
        let log_server = standin::Log::serve(free(), settings, log.clone()).await;
        let log_server = log_server.expect("a free port");
        let list = standin::List::start(free(), standin::ListSettings::default()).await;
        let list = list.expect("a free port");
        let direct = endpoint::start(Protocol::Http1).await;
        let agent = endpoint::start(Protocol::Http2).await;
        put(&log, tree());
        put(&log, Body::Attach(attach(agent)));
        let (entry, callers) = start_entry(log_server.addr, list.addr);
        wait_for(callers).await;
        Self { entry, direct, callers, _log: log_server, _list: list }
    }

    /// The entry's process id.
    pub(crate) fn pid(&self) -> u32 {
        self.entry.id()
    }

    /// Where a way begins, and what its paths begin with.
    pub(crate) fn route(&self, route: Route) -> (SocketAddr, &'static str) {
        match route {
            Route::Direct => (self.direct, ""),
            Route::Entry => (self.callers, "/services/darwaza"),
        }
    }

    /// Ends the entry.
    pub(crate) fn stop(mut self) {
        self.entry.kill().expect("the entry runs");
        let _ = self.entry.wait();
    }
}

fn start_entry(log: SocketAddr, list: SocketAddr) -> (Child, SocketAddr) {
    let [callers, control, admin] = [free_addr(), free_addr(), free_addr()];
    let settings = json!({
        "identity": {"instance": "entry-0", "domain": "saddar", "admin": admin, "log": "error"},
        "listen": callers, "control": control, "seeds": [], "log": log, "list": list,
    });
    let file = std::env::temp_dir().join(format!("bench-entry-{}.jsonc", std::process::id()));
    std::fs::write(&file, settings.to_string()).expect("the temporary directory can be written");
    let own = std::env::current_exe().expect("the program has a path");
    let program = own.with_file_name("../hyssop-entry");
    let entry = Command::new(&program).arg(&file).spawn();
    (entry.expect("build hyssop-entry first: make bench-entry does"), callers)
}

/// An address that was free a moment ago.
fn free_addr() -> SocketAddr {
    let socket = std::net::TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    socket.local_addr().expect("a bound socket")
}

async fn wait_for(addr: SocketAddr) {
    while tokio::net::TcpStream::connect(addr).await.is_err() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
}

fn id<T: FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("a fixed id")
}

fn put(log: &fake::Log, body: Body) {
    let seen = log.records(Stream::Control).last;
    let name = format!("bench-{}", seen.0);
    let record = Record::new(name, id("bench"), 0, Offset(seen.0), body);
    log.put(Stream::Control, serde_json::to_vec(&record).expect("a record can be written"));
}

fn tree() -> Body {
    let path = id("/darwaza");
    let set =
        |setting: &str, value| Change::Set { path: id("/darwaza"), setting: id(setting), value };
    let changes = vec![
        Change::Add { path, kind: NodeKind::Service },
        set("service", json!("darwaza")),
        set("group-share", json!(1.0)),
    ];
    Body::Edit(Edit { id: id("tree"), author: "bench".to_owned(), base: Revision(0), changes })
}

fn attach(agent: SocketAddr) -> Attach {
    Attach {
        endpoint: id("darwaza-0"),
        instance: id("darwaza-0"),
        domain: id("saddar"),
        service: id("darwaza"),
        dispatch: agent,
        control: agent,
        admin: agent,
        memory: Size(0),
        cached: Vec::new(),
        fenced: false,
        previous: Incarnation(0),
    }
}
