//! A server states in `Keep-Alive` that it keeps idle connections for as long as a number can say.

use std::time::Duration;

use standin_platform::{Behavior, Connection, Server};
use tokio::time::Instant;

use crate::Outcome;
use crate::world::{CONTACT, Record, World};

/// How many requests are sent.
const REQUESTS: usize = 60;

fn request(id: &str) -> String {
    format!(
        "POST /unsafe/order HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 1000\r\n\
         Content-Length: 4\r\n\r\nbody"
    )
}

pub async fn play(record: &Record, trouble: bool) -> Outcome {
    let mut world = World::start().await?;
    let mut servers = Vec::new();
    for number in 1..=3 {
        let server = Server::plain(&format!("i-{number}")).await;
        let time = if trouble { u64::MAX } else { 10 };
        let answer = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {{id}}\r\nResponse-Signature: s.1\r\nKeep-Alive: timeout={time}\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\ndone"
        );
        server.set_default_behavior(Behavior::Bytes(answer, false));
        server.register(&world.store, "app");
        servers.push(server);
    }
    world.store.configure(1, &["safe", "unsafe"]);
    world.start_routers(1).await?;
    tokio::time::sleep(CONTACT).await;
    let front = world.routers[0].front;
    let mut lost = Vec::new();
    let mut connection = None;
    for turn in 0..REQUESTS {
        let id = format!("o-{turn}");
        let sent = Instant::now();
        if connection.is_none() {
            connection = Connection::open(front).await;
        }
        let Some(open) = &mut connection else { return Err("no connection".to_owned()) };
        let answer = open.call(&request(&id)).await;
        record.note_at(
            sent,
            &format!("{id} sent: {:?}", answer.as_ref().map(|answer| answer.status)),
        );
        if answer.is_none() {
            lost.push(id);
        }
        if answer
            .as_ref()
            .is_none_or(|answer| !answer.whole || answer.header("connection").is_some())
        {
            connection = None;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let run: Vec<String> = servers.iter().flat_map(Server::executed_requests).collect();
    for id in &run {
        record.note(&format!("{id} has run"));
    }
    let lost: Vec<&String> = lost.iter().filter(|id| run.contains(id)).collect();
    Ok((lost.len() > 3).then(|| {
        format!("LOST: {} requests ran at sound servers, and their connections were closed without an answer", lost.len())
    }))
}
