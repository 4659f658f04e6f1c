//! Guards against routers and loaders that run out of memory when servers, other processes or the store send bytes without an
//! end in place of answers.

mod processes;

use std::net::SocketAddr;
use std::time::Duration;

use processes::{MAX_GROWTH_KB, Process, RouterProcess, START_TIMEOUT};
use rstest::rstest;
use serde_json::json;
use standin_platform::{
    Behavior, Garbage, GarbageKind, Link, LinkFault, Server, Store, address, config, engine,
    exchange,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinSet;
use tokio::time::Instant;

/// How many endpoints send garbage at once, and how many requests there are at once.
const ENDPOINTS: usize = 50;
const CALLERS: usize = 100;
/// The deadline of requests, and how long their callers read.
const DEADLINE: Duration = Duration::from_millis(500);
const READ_TIMEOUT: Duration = Duration::from_millis(650);
/// How long processes may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// How many requests must reach endpoints in time on a busy machine, so that memory is needed at all.
const MIN_SENT: usize = 25;
/// How many requests there are at once where each holds as much memory as it can, and their deadline.
const MANY_CALLERS: usize = 400;
const LONG_DEADLINE: Duration = Duration::from_millis(4_000);
/// How long callers that read nothing hold their connections, so that all buffers fill up.
const STALL_TIME: Duration = Duration::from_millis(3_000);
/// The receive buffer of a caller that reads nothing, in bytes.
const SMALL_RECEIVE_BUFFER: u32 = 4 << 10;
/// How many of these requests must reach endpoints.
const MIN_MANY_SENT: usize = 300;
/// How many callers read endless bodies beside sound requests, and how many sound requests are measured.
const ENDLESS_CALLERS: usize = 100;
const SOUND_REQUESTS: usize = 40;
/// How long loaders, health checks and the store are kept busy with garbage of one kind.
const GARBAGE_TIME: Duration = Duration::from_millis(600);

/// A router process with its store behind a link.
struct Router {
    process: Process,
    callers: SocketAddr,
    ready: SocketAddr,
    store: Store,
    link: Link,
    _folder: tempfile::TempDir,
}

impl Router {
    /// Starts a router; its services are `app` with routes `safe` and `unsafe`, and `feed` or, with models, `llm`, whose
    /// routes stream.
    async fn start(servers: &[(Server, &str)]) -> Self {
        Self::start_with_store(servers, Store::start().await, json!(null)).await
    }

    /// Like [`Router::start`], with a store that has records already, and this section on quotas.
    async fn start_with_store(
        servers: &[(Server, &str)],
        store: Store,
        quota: serde_json::Value,
    ) -> Self {
        let mut config = config(1, &["safe", "unsafe", "stream", "resumable"]);
        if servers.iter().all(|(_, service)| *service != "llm") {
            for route in 2..4 {
                config["routes"][route]["service"] = json!("feed");
            }
            config["services"] = json!([
                {"name": "app", "healthPath": "/health", "connectionLimit": 400},
                {"name": "feed", "healthPath": "/health", "connectionLimit": 400}]);
        }
        store.put("keyed.op", "config", &config);
        for (server, service) in servers {
            store.list_server(server, service, Some("ready"));
        }
        let link = Link::start((address(), 0).into(), store.addr).await;
        let router = RouterProcess::start("front-1", link.addr, &quota);
        let start = Instant::now();
        while !router.is_ready().await {
            assert!(start.elapsed() < START_TIMEOUT, "the router did not become ready");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let RouterProcess { process, callers, ready, _folder } = router;
        Self { process, callers, ready, store, link, _folder }
    }
}

/// Sends a request and reads what comes, without keeping it.
async fn call(router: SocketAddr, kind: &str, id: &str) -> u64 {
    let text = format!(
        "POST /{kind}/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\n\
         Content-Length: 4\r\nConnection: close\r\n\r\nbody",
        DEADLINE.as_millis()
    );
    let mut count = 0;
    let exchange = async {
        let mut stream = TcpStream::connect(router).await.ok()?;
        stream.write_all(text.as_bytes()).await.ok()?;
        let mut bytes = vec![0; 16 << 10];
        while let Ok(read @ 1..) = stream.read(&mut bytes).await {
            count += read as u64;
        }
        Some(())
    };
    let _ = tokio::time::timeout(READ_TIMEOUT, exchange).await;
    count
}

/// Checks that the process did not need more memory than allowed, and still answers at `addr`.
async fn check_process(process: &Process, idle_kb: u64, addr: SocketAddr, what: &str) {
    let request = "GET /-/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    let answer = exchange(addr, request.as_bytes());
    let answer = tokio::time::timeout(ANSWER_TIMEOUT, answer).await;
    let peak_kb = process.peak_kb();
    println!("{what}: {idle_kb} kB idle, {} kB now, {peak_kb} kB at most", process.resident_kb());
    assert!(matches!(answer, Ok(Some(_))), "{what}: no answer within {ANSWER_TIMEOUT:?}");
    assert!(peak_kb <= idle_kb + MAX_GROWTH_KB, "{what}: {peak_kb} kB, {idle_kb} kB idle");
}

/// Starts servers that send garbage of this kind.
async fn garbage_servers(kind: GarbageKind) -> Vec<Server> {
    servers(&format!("{kind:?}"), &Behavior::Garbage(Garbage::fast(kind))).await
}

/// Starts servers that behave like this.
async fn servers(name: &str, behavior: &Behavior) -> Vec<Server> {
    let mut servers = Vec::new();
    for number in 0..ENDPOINTS {
        let server = Server::plain(&format!("i-{name}-{number}")).await;
        server.set_default_behavior(behavior.clone());
        servers.push(server);
    }
    servers
}

#[rstest]
#[case::plain("safe", "app")]
#[case::streams("resumable", "feed")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_router_whose_endpoints_send_garbage_needs_little_memory(
    #[case] kind: &str,
    #[case] service: &str,
) {
    let other = if service == "app" { "feed" } else { "app" };
    let sound = Server::plain("i-sound").await;
    let router = Router::start(&[(sound, other)]).await;
    let idle_kb = router.process.resident_kb();
    for garbage in GarbageKind::ALL {
        // Endpoints that have sent garbage are avoided for a while, so that each kind needs new ones.
        let servers = garbage_servers(garbage).await;
        for server in &servers {
            router.store.list_server(server, service, Some("ready"));
        }
        let sent = || servers.iter().map(|server| server.received_requests().len()).sum::<usize>();
        let start = Instant::now();
        while sent() == 0 {
            assert!(start.elapsed() < START_TIMEOUT, "the router does not use new endpoints");
            call(router.callers, kind, &format!("{garbage:?}")).await;
        }
        let mut calls = JoinSet::new();
        for number in 0..CALLERS {
            let (callers, kind) = (router.callers, kind.to_owned());
            let id = format!("{garbage:?}-{number}");
            calls.spawn(async move { call(callers, &kind, &id).await });
        }
        let bytes: u64 = calls.join_all().await.into_iter().sum();
        let sent = sent();
        println!("{sent} requests sent, {bytes} bytes passed on");
        check_process(&router.process, idle_kb, router.ready, &format!("{garbage:?}")).await;
        assert!(sent >= MIN_SENT, "{garbage:?}: only {sent} requests were sent");
        for server in &servers {
            router.store.list_server(server, service, None);
        }
    }
}

/// Sends a request and reads nothing of the answer.
async fn stall(router: SocketAddr, kind: &str, id: &str) {
    let text = format!(
        "POST /{kind}/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\n\
         Content-Length: 4\r\nConnection: close\r\n\r\nbody",
        LONG_DEADLINE.as_millis()
    );
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(SMALL_RECEIVE_BUFFER).expect("a small buffer");
    let Ok(mut stream) = socket.connect(router).await else { return };
    if stream.write_all(text.as_bytes()).await.is_ok() {
        tokio::time::sleep(STALL_TIME).await;
    }
}

/// Sends many requests at once to servers that are listed meanwhile, and returns how many requests reached them.
async fn call_many(
    router: &Router,
    (kind, service): (&str, &str),
    name: &str,
    behavior: &Behavior,
    unread: bool,
) -> usize {
    let servers = servers(name, behavior).await;
    for server in &servers {
        router.store.list_server(server, service, Some("ready"));
    }
    let sent = || servers.iter().map(|server| server.received_requests().len()).sum::<usize>();
    let start = Instant::now();
    while sent() == 0 {
        assert!(start.elapsed() < START_TIMEOUT, "the router does not use new endpoints");
        call(router.callers, kind, &format!("{name}-first")).await;
    }
    let mut calls = JoinSet::new();
    for number in 0..MANY_CALLERS {
        let (callers, kind, id) = (router.callers, kind.to_owned(), format!("{name}-{number}"));
        calls.spawn(async move {
            if unread {
                stall(callers, &kind, &id).await;
            } else {
                call(callers, &kind, &id).await;
            }
        });
    }
    calls.join_all().await;
    for server in &servers {
        router.store.list_server(server, service, None);
    }
    println!("{name}: {} requests sent", sent());
    sent()
}

/// Several hundred answers without an end at once, whose callers read nothing or as fast as they can, take little memory beyond that
/// of as many requests without any answer.
#[rstest]
#[case::plain_unread("safe", "app", true)]
#[case::plain_read("safe", "app", false)]
#[case::streams_unread("resumable", "feed", true)]
#[case::streams_read("resumable", "feed", false)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn several_hundred_answers_without_an_end_need_little_memory(
    #[case] kind: &str,
    #[case] service: &str,
    #[case] unread: bool,
) {
    use GarbageKind::{Chunks, Event, HeaderLine, SmallChunks, Unframed};
    let other = if service == "app" { "feed" } else { "app" };
    let sound = Server::plain("i-sound").await;
    let router = Router::start(&[(sound, other)]).await;
    let idle_kb = router.process.resident_kb();
    let target = (kind, service);
    call_many(&router, target, "silent", &Behavior::Hang, true).await;
    let silent_kb = router.process.peak_kb();
    println!("{idle_kb} kB idle");
    for garbage in [Unframed, Event, Chunks, SmallChunks, HeaderLine] {
        let name = format!("{garbage:?}");
        let behavior = Behavior::Garbage(Garbage::fast(garbage));
        let sent = call_many(&router, target, &name, &behavior, unread).await;
        check_process(&router.process, silent_kb, router.ready, &name).await;
        // Endpoints whose heads have no end fail at once, and are avoided.
        let min_sent = if unread && garbage != HeaderLine { MIN_MANY_SENT } else { MIN_SENT };
        assert!(sent >= min_sent, "{name}: only {sent} requests were sent");
    }
}

/// The times that sound requests take, one after the other, sorted; those that are not served are counted.
async fn sound_latencies(router: SocketAddr, kind: &str, what: &str) -> (Vec<Duration>, usize) {
    let (mut latencies, mut failed) = (Vec::new(), 0);
    for number in 0..SOUND_REQUESTS {
        let text = format!(
            "POST /{kind}/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {what}-{number}\r\n\
             Deadline-Ms: {}\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody",
            LONG_DEADLINE.as_millis()
        );
        let start = Instant::now();
        let answer = exchange(router, text.as_bytes()).await;
        if answer.is_some_and(|answer| answer.status == 200 && answer.whole) {
            latencies.push(start.elapsed());
        } else {
            failed += 1;
        }
    }
    latencies.sort_unstable();
    (latencies, failed)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sound_requests_are_served_beside_endless_bodies() {
    let sound = Server::plain("i-sound").await;
    let servers = garbage_servers(GarbageKind::Unframed).await;
    let mut listed = vec![(sound, "app")];
    listed.extend(servers.into_iter().map(|server| (server, "feed")));
    let router = Router::start(&listed).await;
    let (alone, failed_alone) = sound_latencies(router.callers, "safe", "alone").await;
    assert_eq!(failed_alone, 0);
    let (stop, stopped) = tokio::sync::watch::channel(false);
    let mut calls = JoinSet::new();
    for number in 0..ENDLESS_CALLERS {
        let (callers, stopped) = (router.callers, stopped.clone());
        calls.spawn(async move {
            let (mut bytes, mut round) = (0, 0);
            while !*stopped.borrow() {
                bytes += call(callers, "stream", &format!("endless-{number}-{round}")).await;
                round += 1;
            }
            bytes
        });
    }
    tokio::time::sleep(DEADLINE / 2).await;
    let (beside, failed) = sound_latencies(router.callers, "safe", "beside").await;
    stop.send_replace(true);
    let bytes: u64 = calls.join_all().await.into_iter().sum();
    let at = |all: &[Duration], share: usize| all.get((all.len() - 1) * share / 100).copied();
    for (what, all) in [("alone", &alone), ("beside", &beside)] {
        println!(
            "{what}: median {:?}, 95th {:?}, longest {:?}",
            at(all, 50),
            at(all, 95),
            at(all, 100)
        );
    }
    println!("{failed} of {SOUND_REQUESTS} failed, {bytes} bytes passed on");
    assert_eq!(failed, 0, "sound requests were not served beside {ENDLESS_CALLERS} endless bodies");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_router_needs_little_memory_whose_store_and_loaders_send_garbage() {
    let mut servers = Vec::new();
    let mut loaders = Vec::new();
    for number in 0..ENDPOINTS {
        let server = Server::engine(&format!("i-{number}"), address(), engine(&["a"])).await;
        let unused = (address(), 9).into();
        loaders.push(Link::start((server.addr.ip(), 7_400).into(), unused).await);
        servers.push((server, "llm"));
    }
    for loader in &loaders {
        loader.set_fault(LinkFault::Garbage(Garbage::fast(GarbageKind::Chunks)));
    }
    let router = Router::start(&servers).await;
    let idle_kb = router.process.resident_kb();
    for kind in GarbageKind::ALL {
        let garbage = Garbage::fast(kind);
        for loader in &loaders {
            loader.set_fault(LinkFault::Garbage(garbage));
        }
        for (server, _) in &servers {
            server.set_garbage(Some(("/", garbage)));
        }
        router.link.set_fault(LinkFault::Garbage(garbage));
        router.link.reset_connections();
        let mut calls = JoinSet::new();
        for number in 0..ENDPOINTS {
            let callers = router.callers;
            calls
                .spawn(async move { call(callers, "stream", &format!("{kind:?}-{number}")).await });
        }
        tokio::time::sleep(GARBAGE_TIME).await;
        calls.join_all().await;
        let open: u64 = loaders.iter().map(Link::open_connections).sum();
        println!("{open} connections to loaders are open");
        check_process(&router.process, idle_kb, router.ready, &format!("{kind:?}")).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_loader_whose_endpoint_and_store_send_garbage_needs_little_memory() {
    let ip = address();
    let server = Server::engine("i-1", ip, engine(&["a"])).await;
    let store = Store::start().await;
    store.configure(1, &["stream"]);
    store.list_server(&server, "llm", Some("ready"));
    let link = Link::start((address(), 0).into(), store.addr).await;
    let folder = tempfile::tempdir().expect("a folder");
    let settings = json!({"instance": "side-1", "listen": SocketAddr::from((ip, 7_400)),
        "endpoint": server.addr, "store": link.addr});
    let process = Process::start(env!("CARGO_BIN_EXE_hyssop-loader"), folder.path(), &settings);
    let start = Instant::now();
    while server.reports() == 0 {
        assert!(start.elapsed() < START_TIMEOUT, "the loader did not ask for a report");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let idle_kb = process.resident_kb();
    for kind in GarbageKind::ALL {
        let garbage = Garbage::fast(kind);
        server.set_garbage(Some(("/", garbage)));
        link.set_fault(LinkFault::Garbage(garbage));
        link.reset_connections();
        tokio::time::sleep(GARBAGE_TIME).await;
        check_process(&process, idle_kb, (ip, 7_400).into(), &format!("{kind:?}")).await;
    }
}

/// How much other writers leave in one topic, in bytes.
const FOREIGN_BYTES: usize = 60 << 20;

/// Records of other writers in a topic of the routers take no memory, whether they have keys of their own or such as routers write.
#[rstest]
#[case::crash_records("keyed.ends", "end i-N 7 front-2")]
#[case::streams("keyed.streams", "router/front-N")]
#[case::versions("keyed.streams", "service/app-N")]
#[case::roster("keyed.routers", "10.0.0.1:N")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_router_that_starts_beside_records_of_other_writers_needs_little_memory(
    #[case] topic: &str,
    #[case] own_key: &str,
    #[values("a-N", "")] foreign_key: &str,
    #[values(250 << 10, 3 << 10)] bytes: usize,
) {
    let sound = Server::plain("i-sound").await;
    let quota = json!({"window": "8s", "overshoot": 0.1, "slack": 17_000.0});
    let alone = [(sound.clone(), "app")];
    let alone = Router::start_with_store(&alone, Store::start().await, quota.clone()).await;
    tokio::time::sleep(GARBAGE_TIME).await;
    let alone_kb = alone.process.peak_kb();
    drop(alone);
    let store = Store::start().await;
    let key = if foreign_key.is_empty() { own_key } else { foreign_key };
    for number in 0..FOREIGN_BYTES / bytes {
        let key = key.replace('N', &number.to_string());
        store.put_raw(topic, key.as_bytes(), vec![b'x'; bytes]);
    }
    let router = Router::start_with_store(&[(sound, "app")], store, quota).await;
    let start = Instant::now();
    let pages = || router.store.newest_pages(topic);
    while pages() < u32::try_from(FOREIGN_BYTES >> 20).expect("few") {
        assert!(start.elapsed() < START_TIMEOUT, "only {} pages are read", pages());
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    tokio::time::sleep(GARBAGE_TIME).await;
    let what = format!("{topic}, {} pages of {key}", pages());
    check_process(&router.process, alone_kb, router.ready, &what).await;
}
