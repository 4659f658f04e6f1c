//! Several requests of a batch crash each server that begins to run them, and come again.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use review_standin::http::Wire;
use review_standin::plain::{Plain, Seen, Setup};
use review_standin::record::Record;
use review_standin::site::{Block, Folder, config, routers};
use review_standin::store::Store;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

const ZONES: [&str; 4] = ["saddar-hall", "clifton-hall", "lyari-hall", "korangi-hall"];
/// How many requests of the batch crash servers.
const CRASHING: usize = 8;
/// How long clients send.
const TIME: Duration = Duration::from_secs(60);
/// The pause of a client between two tries, and the time after which a crashed server is back.
const PAUSE: Duration = Duration::from_millis(1_000);
const DOWNTIME: Duration = Duration::from_millis(2_000);
/// The bound of the rule: from contactMs after the third crash, three more at most.
const CONTACT: Duration = Duration::from_millis(3_000);
const ALLOWED: usize = 3;

#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn main() {
    let record = Record::create(&PathBuf::from(std::env::args().nth(1).expect("a path for the record")));
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<usize>().ok());
    let crashing = if number("TROUBLE") == Some(0) { 0 } else { number("CRASHING").unwrap_or(CRASHING) };
    let code = play(&record, crashing).await;
    record.say(&format!("exit {code}"));
    std::process::exit(code);
}

/// Sends one request; returns the status, 0 if there is none.
async fn send(router: SocketAddr, id: &str, caller: &str, body: &str, record: &Record) -> u16 {
    let text = format!(
        "POST /puxa403/2f HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: {id}\r\nAuthorization: Bearer {caller}\r\n\
         Deadline-Ms: 1500\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let call = async {
        let mut wire = Wire::new(TcpStream::connect(router).await.ok()?);
        wire.stream.write_all(text.as_bytes()).await.ok()?;
        Some(wire.message().await.ok()?.status())
    };
    let status = timeout(Duration::from_millis(1_500), call).await.ok().flatten().unwrap_or(0);
    record.line(&format!("answer  {id} ({body}) from {router}: {status}"));
    status
}

async fn play(record: &Record, crashing: usize) -> i32 {
    let (folder, block) = (Folder::new(), Block::free());
    let store = Store::start((block.ip(1), 8_142).into()).await;
    let mut config = config(7);
    let route = json!({"name": "kiosk-line", "host": "ficu95.example", "pathPrefix": "/puxa403/", "kind": "unsafe",
        "timeoutMs": 1_500, "targetLatencyMs": 100, "priority": 2, "service": "darwaza", "maxAttempts": 2});
    let service = json!({"name": "darwaza", "healthPath": "/health", "connectionLimit": 110});
    config["routes"].as_array_mut().expect("routes").push(route);
    config["services"].as_array_mut().expect("services").push(service);
    store.put("keyed.op", "config", &config);
    let seen = Seen::default();
    for (index, zone) in ZONES.iter().enumerate() {
        let name = format!("i-app{index}");
        let setup = Setup { name: &name, ip: block.ip(70 + index as u8), zone, work: Duration::from_millis(15), downtime: DOWNTIME };
        Plain::start(setup, &store, &seen, record).await;
    }
    let mut fronts = routers(&folder.0, block, store.addr, &ZONES);
    fronts.iter_mut().for_each(|front| front.process.start(record));
    for front in &fronts {
        if !front.until_ready().await {
            record.say("a router did not become ready");
            return 2;
        }
    }
    sleep(Duration::from_secs(5)).await;
    let until = Instant::now() + TIME;
    let addrs: Vec<_> = fronts.iter().map(|front| front.callers).collect();
    let mut callers = Vec::new();
    for number in 0..crashing {
        let (addrs, record) = (addrs.clone(), record.clone());
        callers.push(tokio::spawn(async move {
            let body = format!("crash page {number}");
            sleep(Duration::from_millis(100 * number as u64)).await;
            let mut refused = 0;
            for turn in 0.. {
                if Instant::now() >= until {
                    break;
                }
                let id = format!("batch{number}-{turn}");
                refused += usize::from(send(addrs[(number + turn) % addrs.len()], &id, "press", &body, &record).await == 400);
                sleep(PAUSE).await;
            }
            refused
        }));
    }
    // Other clients of the service, 20 requests a second.
    let mut others = Vec::new();
    let mut turn = 0;
    while Instant::now() < until {
        let (addr, record) = (addrs[turn % addrs.len()], record.clone());
        others.push(tokio::spawn(async move {
            send(addr, &format!("kiosk-{turn}"), "kiosk", &format!("line {turn}"), &record).await
        }));
        turn += 1;
        sleep(Duration::from_millis(50)).await;
    }
    let mut refused = 0;
    for caller in callers {
        refused += caller.await.expect("no panic");
    }
    let (mut served, mut lost, sent) = (0, 0, others.len());
    for other in others {
        match other.await.expect("no panic") {
            200 => served += 1,
            502 | 504 | 0 => lost += 1,
            _ => {}
        }
    }
    let (mut broken, mut third) = (0, 0);
    for number in 0..crashing {
        let body = format!("crash page {number}");
        let crashes = seen.crashes(&body);
        let late = crashes.get(2).map_or(0, |at| seen.runs(&body).iter().filter(|run| **run > *at + CONTACT).count());
        record.say(&format!("{body}: {} crashes, {late} runs later than contactMs after the third one", crashes.len()));
        third += usize::from(crashes.len() >= 3);
        broken += usize::from(late > ALLOWED);
    }
    record.say(&format!(
        "{broken} of {crashing} requests ran more than {ALLOWED} times too late; {refused} refusals with 400; of {sent} other requests {served} \
         were served, {lost} were lost after they had been sent on"
    ));
    if broken > 0 {
        return 1;
    }
    if third < crashing || sent < 600 {
        record.say("the case did not come about");
        return 2;
    }
    0
}
