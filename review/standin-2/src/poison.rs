//! A request that crashes the servers that run it, each after the first event of an answer with neither a length nor chunks.

use std::time::Duration;

use standin_platform::{
    Behavior, Server, address, engine, exchange, nth_crash, requests_after_crashes,
};
use tokio::time::Instant;

use crate::Outcome;
use crate::world::{CONTACT, Record, World};

/// The body of the request that crashes servers.
const POISON: &str = "poison";
/// How long a server is down after a crash: some seconds.
const DOWNTIME: Duration = Duration::from_millis(3_000);
/// The pause between two such requests.
const PAUSE: Duration = Duration::from_millis(1_500);
/// How many of them are sent.
const REQUESTS: usize = 20;
/// The rule allows so many of them to reach servers later than `CONTACT` after the third crash.
const ALLOWED: usize = 3;

fn request(id: &str, body: &str) -> String {
    format!(
        "POST /stream/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 5000\r\nModel: a\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    )
}

pub async fn play(record: &Record, trouble: bool) -> Outcome {
    let mut world = World::start().await?;
    let mut servers = Vec::new();
    for number in 1..=6 {
        let server = Server::engine(&format!("i-{number}"), address(), engine(&["a"])).await;
        server.set_default_behavior(Behavior::Paced(6, Duration::from_millis(40)));
        if trouble {
            server.crash_on(POISON.as_bytes(), DOWNTIME);
            server.answer_before_crash("id: 1\ndata: piece 1\n\n");
        }
        server.register(&world.store, "llm");
        world.start_loader(&server)?;
        servers.push(server);
    }
    world.store.configure(1, &["stream"]);
    world.start_routers(2).await?;
    tokio::time::sleep(CONTACT).await;
    for turn in 0..REQUESTS {
        let router = &world.routers[turn % world.routers.len()];
        for (id, body) in [
            (format!("s-{turn}"), format!("sound {turn}")),
            (format!("p-{turn}"), POISON.to_owned()),
        ] {
            let sent = Instant::now();
            let answer = exchange(router.front, request(&id, &body).as_bytes()).await;
            let answer = answer.map_or("no answer".to_owned(), |answer| {
                format!("{}, {} bytes, whole {}", answer.status, answer.body.len(), answer.whole)
            });
            record.note_at(sent, &format!("{id} ({body}) sent to {}: {answer}", router.name));
        }
        tokio::time::sleep(PAUSE).await;
    }
    let mut reached = 0;
    for server in &servers {
        for at in server.crash_times() {
            record.note_at(at, &format!("{} crashes", server.id));
        }
        for seen in server.received_requests().iter().filter(|seen| seen.body == POISON.as_bytes())
        {
            reached += 1;
            let id = seen.header("request-id").unwrap_or("");
            record.note_at(seen.at, &format!("{id} reaches {}", server.id));
        }
    }
    record.note(&format!("{reached} poisoned requests reached servers"));
    let Some(third) = nth_crash(&servers, 3) else {
        return if trouble { Err("fewer than three crashes".to_owned()) } else { Ok(None) };
    };
    let late = requests_after_crashes(&servers, POISON.as_bytes(), CONTACT).unwrap_or(0);
    let third = record.seconds(third);
    Ok((late > ALLOWED).then(|| {
        format!("BUDGET: {late} requests reached servers later than {CONTACT:?} after the third crash, at {third:.3} s; {ALLOWED} are allowed")
    }))
}
