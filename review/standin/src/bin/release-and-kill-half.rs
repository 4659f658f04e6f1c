//! A release has replaced one of three servers of a service, so that two software versions serve. All machines of the system are
//! killed at the same moment and start again. The clients take their streams up once the routers are in touch again.

use std::path::PathBuf;
use std::time::Duration;

use review_standin::client::{End, StreamClient};
use review_standin::record::Record;
use review_standin::server::{Server, Setup};
use review_standin::site::{Block, Folder, Process, config, loader, routers};
use review_standin::store::Store;
use tokio::time::{Instant, sleep, sleep_until};

const ZONES: [&str; 3] = ["saddar-hall", "clifton-hall", "lyari-hall"];
const STREAMS: usize = 16;
/// Events of a stream, and the time between two: a stream takes 12 s.
const EVENTS: u64 = 60;
const GAP: Duration = Duration::from_millis(200);
/// How long the system is down, and how long a client waits before its retry.
const DOWN: Duration = Duration::from_millis(500);
const RETRY_PAUSE: Duration = Duration::from_millis(4_500);
/// New streams that begin at the same time.
const NEW: usize = 24;
/// The rule counts from this number of streams on.
const LEAST: usize = 12;

#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn main() {
    let record = Record::create(&PathBuf::from(std::env::args().nth(1).expect("a path for the record")));
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let code = play(&record, trouble).await;
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
        gap: Duration::from_secs(2),
        first: None,
        events: Vec::new(),
        attempts: 0,
        record: record.clone(),
    }
}

async fn play(record: &Record, trouble: bool) -> i32 {
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
    sleep(Duration::from_secs(2)).await;
    let begin = Instant::now();
    let addrs: Vec<_> = fronts.iter().map(|front| front.callers).collect();
    let mut clients = Vec::new();
    for number in 0..STREAMS {
        let (addrs, record) = (addrs.clone(), record.clone());
        clients.push(tokio::spawn(async move {
            let mut client = client(format!("stream{number}"), number, &record);
            let mut gone_on = false;
            if client.attempt(addrs[number % addrs.len()]).await != End::Complete {
                // The one retry that the sheet allows, at another node.
                sleep(RETRY_PAUSE).await;
                let had = client.last_event();
                client.attempt(addrs[(number + 1) % addrs.len()]).await;
                gone_on = client.last_event() > had;
            }
            (client, gone_on)
        }));
    }
    // The release: a new server starts, an old one drains. Two of the old version go on.
    sleep_until(begin + Duration::from_millis(1_000)).await;
    let server = start("i-new-0", block, 60, "3.2.0", ZONES[0], record).await;
    let mut process = loader(&folder.0, &server, store.addr);
    process.start(record);
    loaders.push(process);
    store.put("keyed.servers", &server.id, &server.entry("likhari"));
    record.line("release i-new-0 is there");
    sleep(Duration::from_millis(300)).await;
    old[0].leave();
    store.put("keyed.servers", &old[0].id, &old[0].entry("likhari"));
    record.line("release i-old-0 drains");
    sleep_until(begin + Duration::from_millis(4_000)).await;
    if trouble {
        record.line("trouble all processes of the system are killed");
        // LOADERS=0 spares the loaders, which then still know where the streams began.
        if std::env::var("LOADERS").as_deref() != Ok("0") {
            loaders.iter_mut().for_each(|process| process.kill(record));
        }
        fronts.iter_mut().for_each(|front| front.process.kill(record));
        sleep(DOWN).await;
        for process in &mut loaders {
            if !process.runs() {
                process.start(record);
            }
        }
        fronts.iter_mut().for_each(|front| front.process.start(record));
    }
    sleep_until(begin + Duration::from_millis(4_000) + RETRY_PAUSE).await;
    let mut others = Vec::new();
    for number in 0..NEW {
        let (addr, mut client) = (addrs[number % addrs.len()], client(format!("new{number}"), number, record));
        others.push(tokio::spawn(async move {
            client.attempt(addr).await;
            client
        }));
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
    let mut begun = 0;
    for other in others {
        begun += usize::from(other.await.expect("no panic").last_event() > 0);
    }
    record.say(&format!(
        "{taken_up} of {STREAMS} streams taken up at routers in touch, {gone_on} went on, {complete} are complete, {mixed} mixed; \
         {begun} of {NEW} new streams began"
    ));
    if taken_up >= LEAST && 2 * gone_on * NEW < taken_up * begun {
        return 1;
    }
    if begun < NEW || trouble && taken_up < LEAST || !trouble && complete < STREAMS {
        record.say("the case did not come about");
        return 2;
    }
    0
}
