//! Clients whose prompts have many parts, most of which leave before the answer.

use std::net::SocketAddr;
use std::time::Duration;

use standin_platform::{Behavior, Engine, Part, Server, address, config, exchange};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::Outcome;
use crate::world::{CONTACT, Record, World};

/// The memory of a router's machine, in kilobytes.
const MEMORY_KB: u64 = 260_000;
/// The servers with models, each of which holds one of its own.
const SERVERS: usize = 12;
/// The servers without models.
const PLAIN_SERVERS: usize = 4;
/// The parts of a prompt, and the length of the id of each. A head takes 31 KB; `maxHeaderBytes` is 16,384.
const PARTS: usize = 256;
const ID_BYTES: usize = 118;
/// How many clients leave for each server, and how many stay, each with a prompt of its own.
const LEAVING: usize = 300;
const STAYING: usize = 300;
/// How many of them there are at once.
const AT_ONCE: usize = 40;
/// How long a plain server takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(600);
/// When a client leaves that does not wait for its answer.
const PATIENCE: Duration = Duration::from_millis(150);

fn parts(name: &str) -> String {
    let part = |number: usize| format!("{:0<ID_BYTES$}:1", format!("{name}x{number:x}"));
    (0..PARTS).map(part).collect::<Vec<_>>().join(",")
}

/// What a client asks for: a model, or a plain service.
#[derive(Debug, Clone, Copy)]
enum Target {
    Model(usize),
    Plain,
}

impl Target {
    /// The head lines up to the parts.
    fn head(self) -> String {
        match self {
            Self::Model(number) => format!("POST /stream/x HTTP/1.1\r\nModel: m{number}\r\n"),
            Self::Plain => "POST /unsafe/x HTTP/1.1\r\n".to_owned(),
        }
    }

    /// The number of servers that it leads to.
    fn servers(self) -> usize {
        match self {
            Self::Model(_) => 1,
            Self::Plain => PLAIN_SERVERS,
        }
    }
}

fn request(id: &str, target: Target, parts: &str) -> String {
    format!(
        "{}Host: shop.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 4000\r\n\
         Prompt-Prefix: {parts}\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody",
        target.head()
    )
}

/// Sends a request, and leaves after a while. Returns whether an answer began.
async fn send_and_leave(front: SocketAddr, text: String, patience: Duration) -> bool {
    let Ok(mut stream) = TcpStream::connect(front).await else { return false };
    if stream.write_all(text.as_bytes()).await.is_err() {
        return false;
    }
    let mut bytes = [0; 512];
    matches!(tokio::time::timeout(patience, stream.read(&mut bytes)).await, Ok(Ok(1..)))
}

pub async fn play(record: &Record, trouble: bool) -> Outcome {
    let mut world = World::start().await?;
    let names: Vec<String> = (0..SERVERS).map(|number| format!("m{number}")).collect();
    let mut servers = Vec::new();
    for name in &names {
        // Its disk has a copy of its own model only.
        let engine = Engine::new(&[(name, 40)], 45, Duration::from_millis(100), &[name]);
        let server = Server::engine(&format!("i-{name}"), address(), engine).await;
        server.set_default_behavior(Behavior::Paced(40, Duration::from_millis(40)));
        server.register(&world.store, "llm");
        world.start_loader(&server)?;
        servers.push(server);
    }
    for number in 0..PLAIN_SERVERS {
        let server = Server::plain(&format!("i-p{number}")).await;
        let text = |text: &str| Part::Text(text.to_owned());
        let slow = vec![text("half an answer"), Part::Pause(ANSWER_TIME), text("the rest")];
        server.set_default_behavior(Behavior::Unframed(slow));
        server.register(&world.store, "app");
        servers.push(server);
    }
    let mut config = config(1, &["stream", "unsafe"]);
    config["services"][1]["engine"]["weightsMegabytes"] = 45.into();
    let spec = config["services"][1]["engine"]["models"][0].clone();
    config["services"][1]["engine"]["models"] = names
        .iter()
        .map(|name| {
            let mut spec = spec.clone();
            spec["name"] = name.as_str().into();
            spec
        })
        .collect();
    world.store.put("keyed.op", "config", &config);
    world.start_routers(1).await?;
    tokio::time::sleep(CONTACT).await;
    let front = world.routers[0].front;
    let resident = |what: &str| {
        let kb = world.routers[0].resident_kb().unwrap_or(0);
        let text = format!("{what}: the router holds {kb} KB");
        println!("{text}");
        record.note(&text);
        kb
    };
    let mut most = resident("at the start");
    let start = Instant::now();
    let targets = || (0..SERVERS).map(Target::Model).chain([Target::Plain]);
    // Without the disruption all prompts have one part.
    let own = |name: String| if trouble { parts(&name) } else { "aa:100".to_owned() };
    for (number, target) in targets().chain(targets()).enumerate() {
        for group in 0..(LEAVING * target.servers()).div_ceil(AT_ONCE) {
            let mut calls = JoinSet::new();
            for client in 0..AT_ONCE {
                let name = format!("l{number}x{group}x{client}");
                let text = request(&name, target, &own(name.clone()));
                calls.spawn(send_and_leave(front, text, PATIENCE));
            }
            calls.join_all().await;
        }
    }
    most = most.max(resident("after clients that left"));
    // The router is less busy again.
    tokio::time::sleep(Duration::from_secs(5)).await;
    servers.iter().for_each(|server| server.set_default_behavior(Behavior::Answer));
    for (number, target) in targets().enumerate() {
        let mut answers = Vec::new();
        for group in 0..(STAYING * target.servers()).div_ceil(AT_ONCE) {
            let mut calls = JoinSet::new();
            for client in 0..AT_ONCE {
                let name = format!("s{number}x{group}x{client}");
                let text = request(&name, target, &own(name.clone()));
                calls.spawn(async move { exchange(front, text.as_bytes()).await });
            }
            answers.extend(calls.join_all().await);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let served = answers.iter().flatten().filter(|answer| answer.status == 200).count();
        record.note(&format!("{target:?}: {served} of {} are served", answers.len()));
    }
    most = most.max(resident("after clients that stayed"));
    tokio::time::sleep(Duration::from_secs(10)).await;
    resident("10 s later, without any clients");
    for server in &servers {
        let all = server.received_requests();
        let of = |first: &str| {
            all.iter()
                .filter(|one| one.header("request-id").is_some_and(|id| id.starts_with(first)))
                .count()
        };
        record.note(&format!(
            "{} got {} requests whose clients left, and {} others",
            server.id,
            of("l"),
            of("s")
        ));
    }
    record.note(&format!("took {:?}", start.elapsed()));
    Ok((most > MEMORY_KB)
        .then(|| format!("Fault: the router holds {most} KB, and its machine has {MEMORY_KB} KB")))
}
