//! Guards against routers that are never ready, do not follow the list of endpoints or run out of memory because of entries of other
//! writers in the list.

mod processes;

use std::net::SocketAddr;
use std::time::Duration;

use processes::{MAX_GROWTH_KB, Process, RouterProcess, START_TIMEOUT};
use rstest::rstest;
use serde_json::json;
use standin_platform::{Server, Store, StoreFault, address, config, engine, exchange};
use tokio::time::Instant;

const SERVERS: &str = "keyed.servers";
/// How many requests must be served by each sound server.
const REQUESTS: usize = 10;
/// How long a store that answers no requests is away, so that its history is lost to all routers.
const OUTAGE: Duration = Duration::from_millis(500);
/// How many entries come in a tenth of a second, and go in the next one.
const SHORT_LIVED_ENTRIES: usize = 500;
/// For how long they do.
const SHORT_LIVED_TIME: Duration = Duration::from_secs(6);
/// The most lines about invalid entries at once, and in each second beyond.
const MAX_LINES: usize = 512;
const MAX_LINES_PER_SECOND: usize = 10;
/// Enough routers in one failure domain for a mirror.
const ROUTERS: usize = 14;
/// How long routers may take to follow a mirror.
const MIRROR_TIMEOUT: Duration = Duration::from_secs(40);
/// How often a topic may be read in a second by a mirror and by a router that checks it, where all routers would read it more often.
const MIRRORED_READS: u32 = 4;
/// The records that are written while routers follow a mirror, their size and the time between two of them.
const MIRRORED_RECORDS: usize = 40;
const MIRRORED_RECORD_BYTES: usize = 1 << 20;
const MIRRORED_INTERVAL: Duration = Duration::from_millis(100);

/// Entries that no server wrote.
struct OddEntries {
    /// Their keys and values.
    entries: Vec<(Vec<u8>, Vec<u8>)>,
    /// How many pages a list with these entries has, with one more for each page that ends at a key that is no text.
    pages: u32,
}

impl OddEntries {
    fn new(keys: &[&[u8]], value: &[u8], pages: u32) -> Self {
        let entries = keys.iter().map(|key| (key.to_vec(), value.to_vec())).collect();
        Self { entries, pages }
    }

    /// More entries than a page has; the last key of the first page has a space.
    fn small() -> Self {
        let key = |number| format!("a{number:03}{}", if number == 499 { " x" } else { "" });
        let entries = (0..600).map(|number| (key(number).into_bytes(), b"{}".to_vec())).collect();
        Self { entries, pages: 2 }
    }

    /// Two entries fill a page; its last key is another one if it is not escaped.
    fn escaped() -> Self {
        let keys: [&[u8]; 4] = [b"a02%20", b"a02%21", b"a05%2f", b"a05+"];
        Self::new(&keys, &vec![b'x'; 400 << 10], 2)
    }

    /// Each entry fills a page.
    fn one_a_page() -> Self {
        let keys: [&[u8]; 5] = [b"a1+", b"a1#2", b"a2\xff", b"a3\xc3(", b"\xfe\xff"];
        // Two pages end at keys that are no text; the last one holds the sound server, too.
        Self::new(&keys, &vec![b'x'; 700 << 10], 5 + 2)
    }

    /// Many times the memory that a router may need.
    fn large() -> Self {
        Self::numbered(vec![b'x'; 700 << 10])
    }

    /// The same, as valid entries of a service that does not exist and whose name is as long.
    fn large_services() -> Self {
        let entry = json!({"service": "x".repeat(700 << 10), "address": "127.0.0.1:9", "zone": "hall",
            "version": "1", "slots": 8, "state": "ready", "sequence": 1});
        Self::numbered(entry.to_string().into_bytes())
    }

    fn numbered(value: Vec<u8>) -> Self {
        let key = |number| format!("a{number:03}").into_bytes();
        let entries = (0..200).map(|number| (key(number), value.clone())).collect();
        Self { entries, pages: 200 }
    }

    fn write(&self, store: &Store) {
        for (key, value) in &self.entries {
            store.put_raw(SERVERS, key, value.clone());
        }
    }
}

/// A router, and what it needs without odd entries.
struct Router {
    router: RouterProcess,
    idle_kb: u64,
}

impl Router {
    fn check_memory(&self) {
        let (idle_kb, peak_kb) = (self.idle_kb, self.router.process.peak_kb());
        assert!(peak_kb <= idle_kb + MAX_GROWTH_KB, "{peak_kb} kB, {idle_kb} kB without them");
    }

    /// Waits until the router is ready.
    async fn wait_until_ready(&self) {
        let start = Instant::now();
        while !self.router.is_ready().await {
            self.check_memory();
            assert!(start.elapsed() < START_TIMEOUT, "the router did not become ready");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Waits until a server gets requests, and checks that all further requests are served.
    async fn check_serves(&self, id: &str) {
        let start = Instant::now();
        let expected = format!("answer of {id}");
        while call(self.router.callers).await != Some((200, expected.clone())) {
            self.check_memory();
            assert!(start.elapsed() < START_TIMEOUT, "the router does not use {id}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        for _ in 0..REQUESTS {
            assert_eq!(call(self.router.callers).await, Some((200, expected.clone())));
        }
    }

    /// Checks what the router needed.
    fn check(&self, store: &Store, pages_before: u32, odd: &OddEntries) {
        let pages = store.newest_pages(SERVERS) - pages_before;
        let (idle_kb, peak_kb) = (self.idle_kb, self.router.process.peak_kb());
        println!("{pages} pages read, {idle_kb} kB without odd entries, {peak_kb} kB at most");
        self.check_memory();
        assert!(pages <= odd.pages, "{pages} pages were read of {}", odd.pages);
    }
}

/// Sends a request, and returns the status and the body of the answer.
async fn call(router: SocketAddr) -> Option<(u16, String)> {
    let text = format!(
        "POST /safe/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {}\r\nDeadline-Ms: 5000\r\n\
         Content-Length: 4\r\nConnection: close\r\n\r\nbody",
        rand::random::<u64>()
    );
    let answer = exchange(router, text.as_bytes()).await?;
    Some((answer.status, answer.body))
}

/// A store in which one server is listed.
async fn store_with(server: &Server) -> Store {
    let store = Store::start().await;
    store.put("keyed.op", "config", &config(1, &["safe"]));
    store.list_server(server, "app", Some("ready"));
    store
}

/// A router that serves, beside no odd entries.
async fn start_router(store: &Store, server: &Server) -> Router {
    let mut router = Router {
        router: RouterProcess::start("front-1", store.addr, &json!(null)),
        idle_kb: u64::MAX / 2,
    };
    router.wait_until_ready().await;
    router.check_serves(&server.id).await;
    router.idle_kb = router.router.process.resident_kb();
    router
}

#[rstest]
#[case::small(OddEntries::small())]
#[case::escaped(OddEntries::escaped())]
#[case::one_a_page(OddEntries::one_a_page())]
#[case::large(OddEntries::large())]
#[case::large_services(OddEntries::large_services())]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_router_that_starts_beside_odd_entries_serves_with_little_memory(
    #[case] odd: OddEntries,
) {
    let server = Server::plain("i-1").await;
    let store = store_with(&server).await;
    let Router { idle_kb, .. } = start_router(&store, &server).await;
    odd.write(&store);
    let before = store.newest_pages(SERVERS);
    let router =
        Router { router: RouterProcess::start("front-2", store.addr, &json!(null)), idle_kb };
    router.wait_until_ready().await;
    router.check_serves(&server.id).await;
    router.check(&store, before, &odd);
}

#[rstest]
#[case::small(OddEntries::small())]
#[case::escaped(OddEntries::escaped())]
#[case::one_a_page(OddEntries::one_a_page())]
#[case::large(OddEntries::large())]
#[case::large_services(OddEntries::large_services())]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_router_that_reads_the_list_anew_beside_odd_entries_follows_it_with_little_memory(
    #[case] odd: OddEntries,
) {
    let old = Server::plain("i-1").await;
    let store = store_with(&old).await;
    let router = start_router(&store, &old).await;
    let before = store.newest_pages(SERVERS);
    store.set_fault(StoreFault::Unavailable);
    odd.write(&store);
    let new = Server::plain("i-2").await;
    store.list_server(&new, "app", Some("ready"));
    store.list_server(&old, "app", None);
    store.compact_config_and_servers();
    tokio::time::sleep(OUTAGE).await;
    store.set_fault(StoreFault::None);
    // Until the old server is known to be gone, it may get requests as well.
    let (start, expected) = (Instant::now(), Some((200, format!("answer of {}", new.id))));
    let mut in_a_row = 0;
    while in_a_row < REQUESTS {
        router.check_memory();
        assert!(start.elapsed() < START_TIMEOUT, "the router does not follow the list");
        in_a_row = if call(router.router.callers).await == expected { in_a_row + 1 } else { 0 };
    }
    router.check(&store, before, &odd);
}

impl Process {
    /// The lines that the process has logged and that contain a text.
    fn lines_with(&self, text: &str) -> usize {
        let log = std::fs::read_to_string(format!("/proc/{}/fd/1", self.0.id())).expect("a log");
        log.lines().filter(|line| line.contains(text)).count()
    }

    /// The processor time of the process, in clock ticks.
    fn cpu_ticks(&self) -> u64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.0.id())).expect("a state");
        let (_, fields) = stat.rsplit_once(") ").expect("the name of the program");
        let times = fields.split(' ').skip(11).take(2);
        times.map(|ticks| ticks.parse::<u64>().expect("a number")).sum()
    }
}

/// Writes other entries of other writers all the time, and removes each after a while.
async fn write_short_lived(store: Store) {
    let keys = |tick: usize| {
        let first = tick * SHORT_LIVED_ENTRIES;
        let numbers = first..first + SHORT_LIVED_ENTRIES;
        numbers.map(|number| format!("odd{}{number}", [" ", "-"][number % 2]))
    };
    let mut ticks = tokio::time::interval(Duration::from_millis(100));
    for tick in 1.. {
        ticks.tick().await;
        keys(tick).for_each(|key| store.put_raw(SERVERS, key.as_bytes(), "{}"));
        keys(tick - 1).for_each(|key| store.put_raw(SERVERS, key.as_bytes(), ""));
    }
}

/// The first 4,096 keys were remembered for ever, and invalid entries of others were never reported.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_router_follows_the_list_and_reports_entries_beside_thousands_that_come_and_go() {
    let (old, new) = (Server::plain("i-1").await, Server::plain("i-2").await);
    let store = store_with(&old).await;
    let router = start_router(&store, &old).await;
    let process = &router.router.process;
    let (start, ticks) = (Instant::now(), process.cpu_ticks());
    let writer = tokio::spawn(write_short_lived(store.clone()));
    tokio::time::sleep(SHORT_LIVED_TIME / 2).await;
    store.list_server(&new, "app", Some("ready"));
    store.list_server(&old, "app", None);
    let listed = Instant::now();
    router.check_serves(&new.id).await;
    let followed = listed.elapsed();
    tokio::time::sleep_until(start + SHORT_LIVED_TIME).await;
    writer.abort();
    let ticks = process.cpu_ticks() - ticks;
    let lines = process.lines_with("can't be read");
    println!("followed after {followed:?}, {ticks} ticks of processor time, {lines} lines");
    println!("{} kB idle, {} kB at most", router.idle_kb, process.peak_kb());
    router.check_memory();
    // Each second, as a server whose entry is invalid.
    while process.lines_with("`i-9`") == 0 {
        assert!(start.elapsed() < START_TIMEOUT, "an invalid entry is not reported");
        store.put(SERVERS, "i-9", &json!({}));
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    let seconds = usize::try_from(start.elapsed().as_secs()).expect("a short test") + 1;
    let lines = process.lines_with("can't be read");
    assert!(lines <= MAX_LINES + MAX_LINES_PER_SECOND * seconds, "{lines} lines");
}

/// Waits until routers read the store no more often than their mirror.
async fn wait_for_mirror(store: &Store) {
    let start = Instant::now();
    loop {
        let before = store.reads(SERVERS);
        tokio::time::sleep(Duration::from_secs(1)).await;
        if store.reads(SERVERS) - before <= MIRRORED_READS {
            return;
        }
        assert!(start.elapsed() < MIRROR_TIMEOUT, "the routers follow no mirror");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_loader_and_its_routers_need_little_memory_when_it_mirrors_large_records() {
    let (old, ip) = (Server::plain("i-1").await, address());
    let store = store_with(&old).await;
    store.put("keyed.op", "config", &config(2, &["safe", "stream"]));
    let model_server = Server::engine("m-1", ip, engine(&["a"])).await;
    store.list_server(&model_server, "llm", Some("ready"));
    let folder = tempfile::tempdir().expect("a folder");
    let settings = json!({"instance": "side-1", "listen": SocketAddr::from((ip, 7_400)),
        "endpoint": model_server.addr, "store": store.addr});
    let loader = Process::start(env!("CARGO_BIN_EXE_hyssop-loader"), folder.path(), &settings);
    let mut routers = Vec::new();
    for number in 0..ROUTERS {
        let router = RouterProcess::start(&format!("front-{number}"), store.addr, &json!(null));
        routers.push(Router { router, idle_kb: u64::MAX / 2 });
    }
    for router in &routers {
        router.wait_until_ready().await;
    }
    wait_for_mirror(&store).await;
    let loader_idle_kb = loader.resident_kb();
    for router in &mut routers {
        router.idle_kb = router.router.process.resident_kb();
    }
    for number in 0..MIRRORED_RECORDS {
        let key = [b"a%20 ", &[0xff; 2][..], number.to_string().as_bytes()].concat();
        store.put_raw(SERVERS, &key, vec![b'x'; MIRRORED_RECORD_BYTES]);
        tokio::time::sleep(MIRRORED_INTERVAL).await;
    }
    let new = Server::plain("i-2").await;
    store.list_server(&new, "app", Some("ready"));
    store.list_server(&old, "app", None);
    for router in &routers {
        router.check_serves(&new.id).await;
        router.check_memory();
    }
    let peak_kb = loader.peak_kb();
    println!("loader: {loader_idle_kb} kB idle, {peak_kb} kB at most");
    assert!(peak_kb <= loader_idle_kb + MAX_GROWTH_KB, "{peak_kb} kB, {loader_idle_kb} kB idle");
}
