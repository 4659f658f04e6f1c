//! One router stands still for four seconds while a release brings a second software version into the service. Its clients leave it,
//! and take up their streams at the other routers, where all is well.

use std::path::PathBuf;
use std::time::Duration;

use review_standin::client::{End, StreamClient};
use review_standin::record::Record;
use review_standin::server::{Server, Setup};
use review_standin::site::{Block, Folder, Process, config, loader, routers};
use review_standin::store::Store;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, sleep_until};

const ZONES: [&str; 3] = ["saddar-hall", "clifton-hall", "lyari-hall"];
/// Streams at the router that stands still.
const STREAMS: usize = 16;
/// Events of a stream, and the time between two.
const EVENTS: u64 = 60;
const GAP: Duration = Duration::from_millis(200);
/// When the router stands still, for how long, and when the release begins.
const FREEZE: Duration = Duration::from_millis(2_000);
const FROZEN: Duration = Duration::from_millis(4_000);
const RELEASE: Duration = Duration::from_millis(2_500);
/// The rule counts from this number of streams on.
const LEAST: usize = 12;

#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn main() {
    let record = Record::create(&PathBuf::from(std::env::args().nth(1).expect("a path for the record")));
    let set = |name: &str| std::env::var(name).as_deref() != Ok("0");
    let code = play(&record, set("TROUBLE"), set("RELEASE")).await;
    record.say(&format!("exit {code}"));
    std::process::exit(code);
}

async fn start(id: &str, block: Block, last: u8, version: &str, zone: &str, record: &Record) -> Server {
    let models = ["m0", "m1"];
    let setup = Setup { id, ip: block.ip(last), version, zone, models: &models, events: EVENTS, gap: GAP };
    Server::start(setup, record).await
}

fn client(name: String, number: usize, record: &Record) -> StreamClient {
    StreamClient {
        name,
        path: "/lohu930/2f".to_owned(),
        model: format!("m{}", number % 2),
        deadline: Instant::now() + Duration::from_secs(20),
        // Two seconds, four times the objective of 400 ms or eight times the pause of 250 ms, whichever is longest.
        gap: Duration::from_secs(2),
        first: None,
        events: Vec::new(),
        attempts: 0,
        record: record.clone(),
    }
}

async fn play(record: &Record, trouble: bool, release: bool) -> i32 {
    let (folder, block) = (Folder::new(), Block::free());
    let store = Store::start((block.ip(1), 8_142).into()).await;
    store.put("keyed.op", "config", &config(7));
    let (mut old, mut loaders): (Vec<Server>, Vec<Process>) = Default::default();
    for (index, zone) in ZONES.iter().enumerate() {
        let server = start(&format!("i-old-{index}"), block, 50 + index as u8, "3.1.0", zone, record).await;
        store.put("keyed.servers", &server.id, &server.entry("likhari"));
        loaders.push(loader(&folder.0, &server, store.addr));
        old.push(server);
    }
    let mut fronts = routers(&folder.0, block, store.addr, &ZONES);
    loaders.iter_mut().for_each(|process| process.start(record));
    fronts.iter_mut().for_each(|front| front.process.start(record));
    for front in &fronts {
        if !front.until_ready().await {
            record.say("a router did not become ready");
            return 2;
        }
    }
    sleep(Duration::from_secs(5)).await;
    let begin = Instant::now();
    let addrs: Vec<_> = fronts.iter().map(|front| front.callers).collect();
    let mut clients: Vec<JoinHandle<(StreamClient, bool)>> = Vec::new();
    for number in 0..STREAMS {
        let (addrs, mut client) = (addrs.clone(), client(format!("stream{number}"), number, record));
        clients.push(tokio::spawn(async move {
            let mut gone_on = false;
            if client.attempt(addrs[0]).await != End::Complete && client.last_event() > 0 {
                // The one retry that the sheet allows, at another node.
                let had = client.last_event();
                client.attempt(addrs[1 + number % 2]).await;
                gone_on = client.last_event() > had;
            }
            (client, gone_on)
        }));
    }
    // Other clients begin streams at the other routers all the while.
    let mut others: Vec<JoinHandle<StreamClient>> = Vec::new();
    let beginning = {
        let (addrs, record) = (addrs.clone(), record.clone());
        tokio::spawn(async move {
            for number in 0..32 {
                let (addr, mut client) = (addrs[1 + number % 2], client(format!("new{number}"), number, &record));
                others.push(tokio::spawn(async move {
                    client.attempt(addr).await;
                    client
                }));
                sleep(Duration::from_millis(250)).await;
            }
            others
        })
    };
    // With KILL_MS the router is killed instead, that long after the release has begun.
    let kill: Option<u64> = std::env::var("KILL_MS").ok().and_then(|text| text.parse().ok());
    sleep_until(begin + FREEZE).await;
    if trouble && kill.is_none() {
        fronts[0].process.signal(libc::SIGSTOP, record);
    }
    sleep_until(begin + RELEASE).await;
    let mut new = Vec::new();
    if release {
        // One of the three is replaced: the new one starts first, the old one drains.
        let server = start("i-new-0", block, 60, "3.2.0", ZONES[0], record).await;
        let mut process = loader(&folder.0, &server, store.addr);
        process.start(record);
        loaders.push(process);
        store.put("keyed.servers", &server.id, &server.entry("likhari"));
        record.line("release i-new-0 is there");
        new.push(server);
        if let Some(kill) = kill.filter(|_| trouble) {
            sleep(Duration::from_millis(kill)).await;
            fronts[0].process.kill(record);
        }
        sleep(Duration::from_millis(300)).await;
        old[0].leave();
        store.put("keyed.servers", &old[0].id, &old[0].entry("likhari"));
        record.line("release i-old-0 drains");
    }
    sleep_until(begin + FREEZE + FROZEN).await;
    if trouble && kill.is_none() {
        fronts[0].process.signal(libc::SIGCONT, record);
    }
    let (mut taken_up, mut gone_on, mut mixed, mut complete) = (0, 0, 0, 0);
    for client in clients {
        let (client, went_on) = client.await.expect("no panic");
        record.line(&format!("stream  {}: {} of {EVENTS} events in {} tries", client.name, client.last_event(), client.attempts));
        taken_up += usize::from(client.attempts > 1);
        gone_on += usize::from(went_on);
        mixed += usize::from(client.versions().len() > 1);
        complete += usize::from(client.last_event() == EVENTS && client.in_order());
    }
    let others = beginning.await.expect("no panic");
    let (begins, mut begun) = (others.len(), 0);
    for client in others {
        begun += usize::from(client.await.expect("no panic").last_event() > 0);
    }
    record.say(&format!(
        "{taken_up} of {STREAMS} streams taken up at routers in touch, {gone_on} went on, {complete} are complete, {mixed} mixed; \
         {begun} of {begins} new streams began"
    ));
    if taken_up >= LEAST && 2 * gone_on * begins < taken_up * begun {
        return 1;
    }
    if begun < begins || trouble && taken_up < LEAST || !trouble && complete < STREAMS {
        record.say("the case did not come about");
        return 2;
    }
    0
}
