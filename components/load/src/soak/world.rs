//! The processes and stand-ins of a soak.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use nix::sys::signal::Signal;
use serde_json::{Value, json};
use standin_platform::{
    Behavior, Call, Link, LinkFault, Server, Store, StoreFault, engine, find_violations,
    ignored_hints,
};
use tokio::time::{Instant, sleep};

use super::callers::name;
use super::disturbed::Disturbances;
use super::keys::{Keys, OVERSHOOT, REVOKE, SLACK, WINDOW};
use super::releases::{self, Releases, StreamLog};
use crate::children::{ChildError, Launch, Process};

pub(super) const KINDS: [&str; 4] = ["safe", "unsafe", "stream", "resumable"];
/// The models of the engines at the start. Each has a loader; loaders are started before the routers.
const HOLDINGS: [[&str; 2]; 4] = [["a", "b"], ["b", "c"], ["a", "c"], ["a", "b"]];
/// How many of them there are without releases.
const FEW_ENGINES: usize = 2;
/// The port of all loaders.
const LOADER: u16 = 7_400;
/// How long a process may take to end when it is asked to.
const ENDING: Duration = Duration::from_secs(10);
/// The body of a request that ends plain servers.
pub(super) const POISON: &str = "poison";
/// An endpoint that leaves must get nothing any more within this time.
const DRAIN: Duration = Duration::from_secs(2);
/// What has said in an answer that it leaves is replaced after this time.
const LEAVING: Duration = Duration::from_millis(3_500);
/// A router counts as in touch this long after what kept it from the store or from the others is over.
const CONTACT: Duration = Duration::from_secs(3);
/// So often may a request be sent on, by routers in touch, from `CONTACT` after it has ended a third server.
const SENT_ON: usize = 3;
/// What the callers share with the faults.
pub(super) struct Shared {
    pub(super) store: Store,
    pub(super) plain: Vec<Server>,
    pub(super) engines: Vec<Server>,
    pub(super) routers: Vec<SocketAddr>,
    calls: Mutex<Vec<Call>>,
    pub(super) keys: Keys,
    pub(super) next: AtomicU64,
    pub(super) disturbed: Disturbances,
    pub(super) streams: StreamLog,
}

/// A process and what is to happen to it.
struct Child {
    launch: Launch,
    process: Option<Process>,
    wakes: Option<Instant>,
    /// Whether it was asked to end; it serves a little longer.
    ending: bool,
}

/// Everything.
pub(super) struct World {
    pub(super) shared: Arc<Shared>,
    pub(super) links: Vec<Link>,
    children: Vec<Child>,
    version: u64,
    pub(super) releases: Releases,
}

/// The addresses of one world.
#[derive(Debug, Clone, Copy)]
struct Addresses {
    second: u8,
    third: u8,
}

impl Addresses {
    /// Addresses that no other world has, of this process or another one.
    fn free() -> Self {
        loop {
            let found = Self { second: 128 | rand::random::<u8>(), third: rand::random() };
            if TcpListener::bind((found.ip(50), LOADER)).is_ok() {
                return found;
            }
        }
    }

    fn ip(self, last: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.second, self.third, last))
    }
}

fn write(file: &Path, settings: &Value) -> Result<(), ChildError> {
    std::fs::write(file, settings.to_string())
        .map_err(|cause| ChildError::Start { program: file.to_owned(), cause })
}

impl World {
    /// Starts three routers, the loaders of the engines and what is around them. With releases there are more engines, and
    /// their streams name versions.
    pub(super) async fn start(
        bin: &Path,
        out: &Path,
        with_releases: bool,
    ) -> Result<Self, ChildError> {
        std::fs::create_dir_all(out)
            .map_err(|cause| ChildError::Start { program: out.to_owned(), cause })?;
        let addresses = Addresses::free();
        let store = Store::start().await;
        let keys = Keys::default();
        store.put("keyed.op", "config", &keys.configure(1, &KINDS));
        let (mut plain, mut engines) = (Vec::new(), Vec::new());
        let (mut links, mut children) = (Vec::new(), Vec::new());
        for index in 0..3 {
            let server = Server::plain(&format!("p-{index}")).await;
            store.list_server(&server, "app", Some("ready"));
            plain.push(server);
        }
        let engine_count = if with_releases { HOLDINGS.len() } else { FEW_ENGINES };
        for (index, loaded) in (0_u8..).zip(&HOLDINGS[..engine_count]) {
            let (near, behind) = (addresses.ip(50 + index), addresses.ip(80 + index));
            let server = Server::engine(&format!("e-{index}"), near, engine(loaded)).await;
            server.set_default_behavior(Behavior::Events(1, 6, true));
            if with_releases {
                releases::prepare(&server);
            }
            store.list_server(&server, "llm", Some("ready"));
            links.push(Link::start((near, LOADER).into(), (behind, LOADER).into()).await);
            let to_store = Link::start((behind, 0).into(), store.addr).await;
            let settings = json!({"instance": format!("side-{index}"), "listen": SocketAddr::from((behind, LOADER)),
                "endpoint": server.addr, "store": to_store.addr});
            links.push(to_store);
            children.push(Child::new("hyssop-loader", index, &settings, bin, out)?);
            engines.push(server);
        }
        let mut routers = Vec::new();
        let control: Vec<SocketAddr> =
            (0..3).map(|index| (addresses.ip(10 + index), 8_002).into()).collect();
        for index in 0..3 {
            let ip = addresses.ip(10 + index);
            let at = |port| SocketAddr::from((ip, port));
            let to_store = Link::start(at(0), store.addr).await;
            let settings = json!({"instance": format!("front-{index}"), "domain": "hall", "callers": at(8_000),
                "ready": at(8_001), "control": at(8_002), "peers": control, "store": to_store.addr,
                "loader-port": LOADER, "grace": "4s", "bounds": {"apply": "2s", "drain": "2s", "revoke": span(REVOKE)},
                "quota": {"window": span(WINDOW), "overshoot": OVERSHOOT, "slack": SLACK},
                "repeats": {"ratio": 0.2, "slack": 320.0, "window": "10s"}});
            links.push(to_store);
            children.push(Child::new("hyssop-router", index, &settings, bin, out)?);
            routers.push(at(8_000));
        }
        let shared = Arc::new(Shared::new(store, plain, engines, routers, keys));
        let releases = Releases::default();
        let mut world = Self { shared, links, children, version: 1, releases };
        world.tend()?;
        world.shared.clone().until_served().await;
        while !world.shared.all_share().await {
            sleep(Duration::from_millis(200)).await;
        }
        Ok(world)
    }

    /// How many links lead from loaders, or to them: these stand before those of routers.
    pub(super) fn beside_routers(&self) -> usize {
        self.links.len() - self.shared.routers.len()
    }

    /// The router whose way to the store a link is.
    pub(super) fn router_of(&self, link: usize) -> Option<usize> {
        link.checked_sub(self.beside_routers())
    }

    /// How many of the processes are loaders; these come first.
    fn loaders(&self) -> usize {
        self.shared.engines.len()
    }

    /// How many processes there are.
    pub(super) fn processes(&self) -> usize {
        self.children.len()
    }

    /// A new version of the configuration.
    pub(super) fn configure(&mut self) {
        self.version += 1;
        let config = self.shared.keys.configure(self.version, &KINDS);
        self.shared.store.put("keyed.op", "config", &config);
        self.shared.keys.written();
    }

    /// The store comes back from a copy that is so old, and the operator and the servers write again what they wrote.
    pub(super) fn restore(&self, age: Duration) {
        let Shared { store, plain, engines, keys, .. } = &*self.shared;
        store.restore_backup(age);
        store.put("keyed.op", "config", &keys.configuration(self.version, &KINDS));
        for (servers, service) in [(plain, "app"), (engines, "llm")] {
            for server in servers {
                let state = if server.is_draining() { "draining" } else { "ready" };
                store.list_server(server, service, Some(state));
            }
        }
        self.shared.disturbed.note_moment();
    }

    /// Sends a signal to a process that runs; it is started again once it has ended.
    pub(super) fn signal(&mut self, index: usize, signal: Signal) -> Result<(), ChildError> {
        self.shared.disturbed.begin(index.checked_sub(self.loaders()));
        let child = &mut self.children[index];
        let Some(process) = child.process.as_ref().filter(|process| process.id().is_some()) else {
            return Ok(());
        };
        if child.wakes.is_none() {
            process.signal(signal)?;
            child.ending |= signal == Signal::SIGTERM;
        }
        Ok(())
    }

    /// Lets a process stand still for a while.
    pub(super) fn pause(&mut self, index: usize, time: Duration) -> Result<(), ChildError> {
        self.signal(index, Signal::SIGSTOP)?;
        self.children[index].wakes.get_or_insert(Instant::now() + time);
        Ok(())
    }

    /// Wakes what has stood still for long enough, and starts what has ended.
    pub(super) fn tend(&mut self) -> Result<(), ChildError> {
        let now = Instant::now();
        let servers = self.shared.plain.iter().chain(&self.shared.engines);
        for server in servers.filter(|server| server.is_draining()) {
            // What leaves serves on for a while, and another life follows.
            let said = server.sent_hints();
            let mut said = said.iter().filter(|said| said.incarnation == server.incarnation());
            if said.any(|said| said.paused_until.is_none() && now - said.at > LEAVING) {
                server.restart();
            }
        }
        let loaders = self.loaders();
        for (index, child) in self.children.iter_mut().enumerate() {
            if child.wakes.is_some_and(|wakes| wakes <= now) {
                child.wake()?;
                self.shared.disturbed.end(index.checked_sub(loaders));
            }
            if child.process.as_mut().is_none_or(Process::over) {
                child.process = Some(child.launch.clone().start()?);
                (child.wakes, child.ending) = (None, false);
                self.shared.disturbed.end(index.checked_sub(loaders));
            }
        }
        Ok(())
    }

    /// Mends links, store and servers.
    pub(super) fn mend(&self) {
        let Shared { store, plain, engines, .. } = &*self.shared;
        store.set_fault(StoreFault::None);
        self.links.iter().for_each(|link| link.set_fault(LinkFault::None));
        engines.iter().for_each(|server| server.freeze(false));
        plain.iter().for_each(|server| store.list_server(server, "app", Some("ready")));
        engines.iter().for_each(|server| store.list_server(server, "llm", Some("ready")));
        self.shared.disturbed.end(None);
    }

    /// Wakes all processes and starts those that have ended.
    pub(super) async fn revive(&mut self) -> Result<(), ChildError> {
        let servers = self.shared.plain.iter().chain(&self.shared.engines);
        servers.filter(|server| server.is_draining()).for_each(Server::restart);
        self.mend();
        for child in &mut self.children {
            child.wake()?;
        }
        // Those that were asked to end are given the time for it.
        let until = Instant::now() + ENDING;
        while Instant::now() < until {
            sleep(Duration::from_millis(100)).await;
            self.tend()?;
            if !self.children.iter().any(|child| child.ending) && self.shared.all_ready().await {
                break;
            }
        }
        Ok(())
    }
}

impl Child {
    fn new(
        program: &str,
        index: u8,
        settings: &Value,
        bin: &Path,
        out: &Path,
    ) -> Result<Self, ChildError> {
        let name = format!("{program}-{index}");
        let file: PathBuf = out.join(format!("{name}.jsonc"));
        write(&file, settings)?;
        let launch = Launch {
            program: bin.join(program),
            settings: file,
            log: out.join(format!("{name}.log")),
            // These programs have none.
            admin: (Ipv4Addr::LOCALHOST, 0).into(),
            name,
        };
        Ok(Self { launch, process: None, wakes: None, ending: false })
    }

    fn wake(&mut self) -> Result<(), ChildError> {
        match (&self.process, self.wakes.take()) {
            (Some(process), Some(_)) if process.id().is_some() => process.signal(Signal::SIGCONT),
            _ => Ok(()),
        }
    }
}

impl Shared {
    /// What the callers of these routers share.
    pub(super) fn new(
        store: Store,
        plain: Vec<Server>,
        engines: Vec<Server>,
        routers: Vec<SocketAddr>,
        keys: Keys,
    ) -> Self {
        Self {
            store,
            plain,
            engines,
            routers,
            calls: Mutex::default(),
            keys,
            next: AtomicU64::new(1),
            disturbed: Disturbances::default(),
            streams: StreamLog::default(),
        }
    }

    pub(super) fn calls(&self) -> MutexGuard<'_, Vec<Call>> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Calls so far.
    pub(super) fn count(&self) -> usize {
        self.calls().len()
    }

    /// The promises that were broken, a line each.
    pub(super) fn broken(&self) -> Vec<String> {
        let servers: Vec<Server> = self.plain.iter().chain(&self.engines).cloned().collect();
        let mut all = find_violations(&self.calls(), &servers);
        all.extend(ignored_hints(&servers, DRAIN, |router, from, to| {
            self.stopped(router, from, to)
        }));
        all.extend(self.sent_on());
        all.extend(self.streams.broken());
        all.extend(self.keys.broken(&servers));
        all
    }

    /// Whether the poisoned request was sent on beyond what is allowed.
    fn sent_on(&self) -> Option<String> {
        let mut ends: Vec<Instant> = self.plain.iter().flat_map(Server::crash_times).collect();
        ends.sort_unstable();
        let from = *ends.get(2)? + CONTACT;
        let late = self.plain.iter().flat_map(Server::received_requests).filter(|seen| {
            let router = seen.header("request-id").and_then(|id| id.split_once('-'));
            let in_touch =
                router.is_some_and(|(name, _)| !self.apart(name, seen.at - CONTACT, seen.at));
            seen.body == POISON.as_bytes() && seen.at > from && in_touch
        });
        let count = late.count();
        (count > SENT_ON).then(|| format!("a request that ends servers was sent on {count} times"))
    }

    /// A link is cut or silenced, which disturbs the router whose way to the store it is.
    pub(super) fn disturb_link(&self, router: Option<usize>) {
        if router.is_some() {
            // Until all links are mended.
            self.disturbed.begin(None);
        }
    }

    /// Whether a router stood still or started again between two moments.
    fn stopped(&self, router: &str, from: Instant, to: Instant) -> bool {
        self.disturbed.any(from, to, |one| one.is_some_and(|index| name(index) == router))
    }

    /// Whether a router was kept from the store or from others besides.
    fn apart(&self, router: &str, from: Instant, to: Instant) -> bool {
        self.disturbed.any(from, to, |one| one.is_none_or(|index| name(index) == router))
    }
}

/// A span as settings have it.
fn span(span: Duration) -> String {
    format!("{}ms", span.as_millis())
}
