//! The processes and stand-ins of a soak.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use nix::sys::signal::Signal;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use standin_platform::{
    Act, Call, Connection, Fault, Harm, Link, Server, Store, broken, engine, exchange, unheeded,
};
use tokio::time::{Instant, sleep};

use super::keys::{Keys, OVERSHOOT, REVOKE, SLACK, WINDOW, Whose};
use crate::children::{ChildError, Launch, Process};

const KINDS: [&str; 4] = ["safe", "unsafe", "stream", "resumable"];
const MODELS: [&str; 3] = ["a", "b", "c"];
/// Loaders, which are started before the routers.
const LOADERS: usize = 2;
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
/// Between two sends of a caller that insists.
const INSIST: Duration = Duration::from_millis(120);
/// A connection is used for this many requests at most.
const KEPT: u32 = 40;

/// What the callers share with the faults.
pub(super) struct Shared {
    pub(super) store: Store,
    pub(super) plain: Vec<Server>,
    pub(super) engines: Vec<Server>,
    routers: Vec<SocketAddr>,
    calls: Mutex<Vec<Call>>,
    keys: Keys,
    next: AtomicU64,
    /// What disturbed routers, all of them where none is named, and until when.
    disturbed: Mutex<Vec<Disturbed>>,
}

/// A router was kept from the store or from others, stood still or started again.
#[derive(Debug, Clone, Copy)]
struct Disturbed {
    router: Option<usize>,
    from: Instant,
    /// Not yet over if none.
    until: Option<Instant>,
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
    /// Starts three routers, two loaders and what is around them.
    pub(super) async fn start(bin: &Path, out: &Path) -> Result<Self, ChildError> {
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
            store.list(&server, "app", Some("ready"));
            plain.push(server);
        }
        for (index, loaded) in (0_u8..).zip([["a", "b"], ["b", "c"]]) {
            let (near, behind) = (addresses.ip(50 + index), addresses.ip(80 + index));
            let server = Server::engine(&format!("e-{index}"), near, engine(&loaded)).await;
            server.always(Act::Events(1, 6, true));
            store.list(&server, "llm", Some("ready"));
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
        let shared = Shared {
            store,
            plain,
            engines,
            routers,
            calls: Mutex::default(),
            keys,
            next: AtomicU64::new(1),
            disturbed: Mutex::default(),
        };
        let mut world = Self { shared: Arc::new(shared), links, children, version: 1 };
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
        let now = Instant::now();
        store.restore(age);
        store.put("keyed.op", "config", &keys.configuration(self.version, &KINDS));
        for (servers, service) in [(plain, "app"), (engines, "llm")] {
            for server in servers {
                let state = if server.leaves() { "draining" } else { "ready" };
                store.list(server, service, Some(state));
            }
        }
        self.shared.disturbances().push(Disturbed { router: None, from: now, until: Some(now) });
    }

    /// Sends a signal to a process that runs; it is started again once it has ended.
    pub(super) fn signal(&mut self, index: usize, signal: Signal) -> Result<(), ChildError> {
        self.shared.disturb(index.checked_sub(LOADERS));
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
        for server in servers.filter(|server| server.leaves()) {
            // What leaves serves on for a while, and another life follows.
            let said = server.announced();
            let mut said = said.iter().filter(|said| said.life == server.life());
            if said.any(|said| said.until.is_none() && now - said.at > LEAVING) {
                server.restart();
            }
        }
        for (index, child) in self.children.iter_mut().enumerate() {
            if child.wakes.is_some_and(|wakes| wakes <= now) {
                child.wake()?;
                self.shared.settle(index.checked_sub(LOADERS));
            }
            if child.process.as_mut().is_none_or(Process::over) {
                child.process = Some(child.launch.clone().start()?);
                (child.wakes, child.ending) = (None, false);
                self.shared.settle(index.checked_sub(LOADERS));
            }
        }
        Ok(())
    }

    /// Mends links, store and servers.
    pub(super) fn mend(&self) {
        let Shared { store, plain, engines, .. } = &*self.shared;
        store.fail(Fault::None);
        self.links.iter().for_each(|link| link.harm(Harm::None));
        engines.iter().for_each(|server| server.freeze(false));
        plain.iter().for_each(|server| store.list(server, "app", Some("ready")));
        engines.iter().for_each(|server| store.list(server, "llm", Some("ready")));
        self.shared.settle(None);
    }

    /// Wakes all processes and starts those that have ended.
    pub(super) async fn revive(&mut self) -> Result<(), ChildError> {
        let servers = self.shared.plain.iter().chain(&self.shared.engines);
        servers.filter(|server| server.leaves()).for_each(Server::restart);
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
    fn calls(&self) -> MutexGuard<'_, Vec<Call>> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Calls so far.
    pub(super) fn count(&self) -> usize {
        self.calls().len()
    }

    /// The promises that were broken, a line each.
    pub(super) fn broken(&self) -> Vec<String> {
        let servers: Vec<Server> = self.plain.iter().chain(&self.engines).cloned().collect();
        let mut all = broken(&self.calls(), &servers);
        all.extend(unheeded(&servers, DRAIN, |router, from, to| self.stopped(router, from, to)));
        all.extend(self.sent_on());
        all.extend(self.keys.broken(&servers));
        all
    }

    /// Whether the poisoned request was sent on beyond what is allowed.
    fn sent_on(&self) -> Option<String> {
        let mut ends: Vec<Instant> = self.plain.iter().flat_map(Server::ends).collect();
        ends.sort_unstable();
        let from = *ends.get(2)? + CONTACT;
        let late = self.plain.iter().flat_map(Server::seen).filter(|seen| {
            let router = seen.header("request-id").and_then(|id| id.split_once('-'));
            let in_touch =
                router.is_some_and(|(name, _)| !self.apart(name, seen.at - CONTACT, seen.at));
            seen.body == POISON.as_bytes() && seen.at > from && in_touch
        });
        let count = late.count();
        (count > SENT_ON).then(|| format!("a request that ends servers was sent on {count} times"))
    }

    /// Something begins to disturb a router, or all.
    pub(super) fn disturb(&self, router: Option<usize>) {
        self.disturbances().push(Disturbed { router, from: Instant::now(), until: None });
    }

    fn disturbances(&self) -> MutexGuard<'_, Vec<Disturbed>> {
        self.disturbed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A link is cut or silenced, which disturbs the router whose way to the store it is.
    pub(super) fn disturb_link(&self, router: Option<usize>) {
        if router.is_some() {
            // Until all links are mended.
            self.disturb(None);
        }
    }

    /// What disturbs a router, or all, is over.
    fn settle(&self, router: Option<usize>) {
        let mut all = self.disturbances();
        for one in all.iter_mut().filter(|one| one.router == router) {
            one.until.get_or_insert_with(Instant::now);
        }
    }

    /// Whether a router stood still or started again between two moments.
    fn stopped(&self, router: &str, from: Instant, to: Instant) -> bool {
        self.any_disturbed(from, to, |one| one.is_some_and(|index| name(index) == router))
    }

    /// Whether a router was kept from the store or from others besides.
    fn apart(&self, router: &str, from: Instant, to: Instant) -> bool {
        self.any_disturbed(from, to, |one| one.is_none_or(|index| name(index) == router))
    }

    fn any_disturbed(
        &self,
        from: Instant,
        to: Instant,
        whom: impl Fn(Option<usize>) -> bool,
    ) -> bool {
        let all = self.disturbances();
        all.iter().any(|one| {
            whom(one.router) && one.from <= to && one.until.is_none_or(|until| until >= from)
        })
    }

    /// A caller that sends one request again and again, to one router after the other.
    pub(super) async fn insist(self: Arc<Self>, until: Instant) {
        for turn in 0.. {
            if Instant::now() >= until {
                return;
            }
            let index = turn % self.routers.len();
            if let Some(mut connection) = Connection::open(self.routers[index]).await {
                let body = Some(POISON);
                self.call(&mut connection, index, ("unsafe", MODELS[0]), body, Whose::School(0))
                    .await;
            }
            sleep(INSIST).await;
        }
    }

    /// One caller: it stays on its connection while that answers, and then goes to another router.
    pub(super) async fn caller(self: Arc<Self>, seed: u64, until: Instant) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        while Instant::now() < until {
            let index = rng.random_range(0..self.routers.len());
            let Some(mut connection) = Connection::open(self.routers[index]).await else {
                sleep(Duration::from_millis(20)).await;
                continue;
            };
            for _ in 0..rng.random_range(1..KEPT) {
                let kind = KINDS[rng.random_range(0..KINDS.len())];
                let model = MODELS[rng.random_range(0..MODELS.len())];
                // Some go on with a key that has been replaced, or taken away.
                let older = if rng.random_bool(0.2) { rng.random_range(1..4) } else { 0 };
                let whose = Whose::School(older);
                let goes_on = self.call(&mut connection, index, (kind, model), None, whose).await;
                if !goes_on || Instant::now() >= until {
                    break;
                }
                sleep(Duration::from_millis(rng.random_range(1..20))).await;
            }
        }
    }

    /// A caller of the workspace that asks for more than it may.
    pub(super) async fn press(self: Arc<Self>, until: Instant) {
        for turn in 0.. {
            if Instant::now() >= until {
                return;
            }
            let index = turn % self.routers.len();
            if let Some(mut connection) = Connection::open(self.routers[index]).await {
                self.call(&mut connection, index, ("safe", MODELS[0]), None, Whose::Hot).await;
            }
            sleep(Duration::from_millis(2)).await;
        }
    }

    /// One call; whether the connection can be used again.
    async fn call(
        &self,
        connection: &mut Connection,
        router: usize,
        (kind, model): (&'static str, &str),
        body: Option<&str>,
        whose: Whose,
    ) -> bool {
        let id = format!("{}-{}", name(router), self.next.fetch_add(1, Ordering::Relaxed));
        let start = Instant::now();
        let key = self.keys.sign(&id, whose);
        let answer = connection.call(&request(kind, &id, model, &key, body.unwrap_or(&id))).await;
        let goes_on = answer.as_ref().is_some_and(|answer| {
            answer.whole && answer.header("connection").is_none_or(|text| text != "close")
        });
        self.calls().push(Call { id, kind, answer, took: start.elapsed() });
        goes_on
    }

    /// Waits until each router serves each kind.
    pub(super) async fn until_served(self: Arc<Self>) {
        while !self.all_ready().await {
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Whether each router has a share in limits: it lets a request in, or refuses it as one too many.
    async fn all_share(&self) -> bool {
        for router in &self.routers {
            let id = format!("probe-{}", self.next.fetch_add(1, Ordering::Relaxed));
            let more = self.keys.sign(&id, Whose::Hot) + "Connection: close\r\n";
            let text = request("safe", &id, MODELS[0], &more, &id);
            let answer = exchange(*router, text.as_bytes()).await;
            if answer.is_none_or(|answer| answer.status == 503) {
                return false;
            }
        }
        true
    }

    async fn all_ready(&self) -> bool {
        for router in &self.routers {
            for kind in KINDS {
                let id = format!("probe-{}", self.next.fetch_add(1, Ordering::Relaxed));
                let more = self.keys.sign(&id, Whose::School(0)) + "Connection: close\r\n";
                let text = request(kind, &id, MODELS[0], &more, &id);
                let answer = exchange(*router, text.as_bytes()).await;
                if answer.is_none_or(|answer| answer.status != 200) {
                    return false;
                }
            }
        }
        true
    }
}

/// A span as settings have it.
fn span(span: Duration) -> String {
    format!("{}ms", span.as_millis())
}

/// What the ids of requests to a router begin with.
fn name(router: usize) -> String {
    format!("front{router}")
}

fn request(kind: &str, id: &str, model: &str, more: &str, body: &str) -> String {
    format!(
        "POST /{kind}/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 4000\r\n\
         Model: {model}\r\nContent-Length: {}\r\n{more}\r\n{body}",
        body.len()
    )
}
