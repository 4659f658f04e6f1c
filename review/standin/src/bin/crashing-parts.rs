//! Several parts of prompts crash each server that begins to write an answer on them. Sound requests share their other parts.

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
/// How many parts crash servers.
const CRASHING: usize = 10;
/// How long only sound requests come.
const CALM: Duration = Duration::from_secs(12);
/// How long clients send.
const TIME: Duration = Duration::from_secs(60);
/// The pause of a client between two tries, and the time after which a crashed server is back.
const PAUSE: Duration = Duration::from_millis(1_000);
const DOWNTIME: Duration = Duration::from_millis(2_000);
const CONTACT: Duration = Duration::from_millis(3_000);

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
    let part = body.strip_prefix("crash page ").map(|n| format!("bad{}:300,", n.split(' ').next().unwrap_or(""))).unwrap_or_default();
    let text = format!(
        "POST /puxa403/2f HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: {id}\r\nAuthorization: Bearer {caller}\r\nPrompt-Prefix: 5c1e07a2:198,{part}91bd3f06:410,{id}:250\r\n\
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
    let begin = Instant::now();
    let until = begin + TIME;
    let addrs: Vec<_> = fronts.iter().map(|front| front.callers).collect();
    let mut callers = Vec::new();
    for number in 0..crashing {
        let (addrs, record) = (addrs.clone(), record.clone());
        callers.push(tokio::spawn(async move {
            let body = format!("crash page {number}");
            sleep(CALM + Duration::from_millis(100 * number as u64)).await;
            let mut refused = 0;
            for turn in 0.. {
                if Instant::now() >= until {
                    break;
                }
                let id = format!("batch{number}-{turn}");
                refused += usize::from(send(addrs[(number + turn) % addrs.len()], &id, "kiosk", &format!("{body} {turn}"), &record).await == 400);
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
            let sent = Instant::now();
            (sent, send(addr, &format!("kiosk-{turn}"), "kiosk", &format!("line {turn}"), &record).await)
        }));
        turn += 1;
        sleep(Duration::from_millis(50)).await;
    }
    let mut refused = 0;
    for caller in callers {
        refused += caller.await.expect("no panic");
    }
    let mut crashes: Vec<Instant> = (0..crashing).flat_map(|number| seen.crashes(&format!("crash bad{number}"))).collect();
    crashes.sort_unstable();
    let from = crashes.get(4).or(crashes.last()).map(|at| *at + 2 * CONTACT);
    let (mut before, mut after, mut denied) = ((0, 0), (0, 0), 0);
    for other in others {
        let (sent, status) = other.await.expect("no panic");
        denied += usize::from(status == 400);
        let place = if sent < begin + CALM {
            &mut before
        } else if from.is_some_and(|from| sent > from) && sent < until {
            &mut after
        } else {
            continue;
        };
        place.0 += usize::from(status == 200);
        place.1 += 1;
    }
    record.say(&format!(
        "{} crashes by {crashing} parts; {refused} requests with them refused with 400; of the sound requests {} of {} began before, {} of {} from 2 x \
         contactMs after the fifth crash on; {denied} of them were refused with 400",
        crashes.len(), before.0, before.1, after.0, after.1
    ));
    if crashing > 0 && (before.1 < 20 || after.1 < 20) || crashing == 0 && denied > 0 {
        record.say("the case did not come about");
        return 2;
    }
    i32::from(2 * after.0 * before.1 < before.0 * after.1)
}
