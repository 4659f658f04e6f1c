//! A part of prompts that crashes the servers that begin to write an answer on it, in requests that come some at a time.

use std::time::Duration;

use standin_platform::{
    Answer, Behavior, Engine, Server, address, config, exchange, nth_crash,
    prompt_part_after_crashes,
};
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::Outcome;
use crate::world::{CONTACT, Record, World};

/// The part that crashes servers.
const BAD_PART: &str = "bad0c0de";
/// The first part of all prompts.
const FIRST_PART: &str = "5c1e07a2";
/// The models; each server holds one of them.
const MODELS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
/// How long a server is down after a crash: some seconds.
const DOWNTIME: Duration = Duration::from_millis(2_000);
/// The pause between two groups of such requests.
const PAUSE: Duration = Duration::from_millis(8_000);
/// How many groups are sent.
const GROUPS: usize = 4;
/// The pause between two sound requests.
const SOUND_PAUSE: Duration = Duration::from_millis(150);
/// The rule allows so many of them to reach servers later than `CONTACT` after the fifth crash.
const ALLOWED: usize = 3;

fn request(id: &str, model: &str, parts: &str) -> String {
    let own: String = id.bytes().map(|byte| format!("{byte:x}")).collect();
    format!(
        "POST /stream/{id} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 5000\r\nModel: {model}\r\n\
         Token-Count: 900,20\r\nPrompt-Prefix: {parts},{own}:20\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{id}",
        id.len()
    )
}

fn describe(answer: Option<&Answer>) -> String {
    answer.map_or("no answer".to_owned(), |answer| {
        format!("{}, {} bytes, whole {}", answer.status, answer.body.len(), answer.whole)
    })
}

pub async fn play(record: &Record, trouble: bool) -> Outcome {
    let mut world = World::start().await?;
    let mut servers = Vec::new();
    let sizes: Vec<(&str, u64)> = MODELS.iter().map(|model| (*model, 40)).collect();
    for (number, model) in MODELS.iter().enumerate() {
        let engine = Engine::new(&sizes, 90, Duration::from_millis(100), &[model]);
        let server = Server::engine(&format!("i-{}", number + 1), address(), engine).await;
        server.set_default_behavior(Behavior::Paced(20, Duration::from_millis(50)));
        server.set_domain(["hall-1", "hall-2", "hall-3", "hall-4"][number % 4]);
        if trouble {
            server.crash_on_prompt_part(BAD_PART, DOWNTIME);
        }
        server.register(&world.store, "llm");
        world.start_loader(&server)?;
        servers.push(server);
    }
    let mut config = config(1, &["stream"]);
    let spec = config["services"][1]["engine"]["models"][0].clone();
    config["services"][1]["engine"]["models"] = MODELS
        .iter()
        .map(|model| {
            let mut spec = spec.clone();
            spec["name"] = (*model).into();
            spec
        })
        .collect();
    world.store.put("keyed.op", "config", &config);
    world.start_routers(3).await?;
    let fronts: Vec<_> = world.routers.iter().map(|router| router.front).collect();
    let start = Instant::now();
    let end = start + CONTACT + PAUSE * u32::try_from(GROUPS).unwrap_or(u32::MAX);
    let sound = async {
        let mut calls = JoinSet::new();
        for turn in 0.. {
            if Instant::now() > end {
                break;
            }
            let (id, front) = (format!("s-{turn}"), fronts[turn % fronts.len()]);
            let text = request(&id, MODELS[turn % MODELS.len()], &format!("{FIRST_PART}:800"));
            calls.spawn(async move {
                let sent = Instant::now();
                (sent, id, exchange(front, text.as_bytes()).await)
            });
            tokio::time::sleep(SOUND_PAUSE).await;
        }
        calls.join_all().await
    };
    let bad = async {
        let mut calls = JoinSet::new();
        for group in 0..GROUPS {
            let pause = if group == 0 { CONTACT } else { PAUSE };
            tokio::time::sleep(pause).await;
            for (number, model) in MODELS.iter().enumerate() {
                let id = format!("p-{group}-{number}");
                let parts = format!("{FIRST_PART}:800,{BAD_PART}:400");
                let (text, front) = (request(&id, model, &parts), fronts[number % fronts.len()]);
                calls.spawn(async move {
                    let sent = Instant::now();
                    (sent, id, exchange(front, text.as_bytes()).await)
                });
            }
        }
        calls.join_all().await
    };
    let (sound, bad) = tokio::join!(sound, bad);
    for (sent, id, answer) in sound.iter().chain(&bad) {
        record.note_at(*sent, &format!("{id} sent: {}", describe(answer.as_ref())));
    }
    let mut reached = 0;
    for server in &servers {
        for at in server.crash_times() {
            record.note_at(at, &format!("{} crashes", server.id));
        }
        for seen in server.received_requests().iter().filter(|seen| seen.has_shared_part(BAD_PART))
        {
            reached += 1;
            let id = seen.header("request-id").unwrap_or("");
            record.note_at(seen.at, &format!("{id} reaches {}", server.id));
        }
    }
    record.note(&format!("{reached} requests with the part reached servers"));
    let Some(fifth) = nth_crash(&servers, 5) else {
        return if trouble { Err("fewer than five crashes".to_owned()) } else { Ok(None) };
    };
    let late = prompt_part_after_crashes(&servers, BAD_PART, CONTACT).unwrap_or(0);
    let fifth = record.seconds(fifth);
    Ok((late > ALLOWED).then(|| {
        format!("BUDGET: {late} requests with the part reached servers later than {CONTACT:?} after the fifth crash, at {fifth:.3} s; {ALLOWED} are allowed")
    }))
}
