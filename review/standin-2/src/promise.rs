//! A server runs requests and answers part of them with a bare 503, which does not say that they have not run.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use standin_platform::{Behavior, Connection, Server};
use tokio::time::Instant;

use crate::Outcome;
use crate::world::{CONTACT, Record, World};

/// The servers; one of them fails, which is less than the share of 0.15.
const SERVERS: usize = 7;
/// How many orders clients place. The server that fails does so on two requests in five, which is a share of 0.4.
const ORDERS: usize = 210;
/// The statuses that promise that a request has not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

fn request(id: &str, order: usize) -> String {
    let body = format!("order {order}");
    format!(
        "POST /unsafe/order HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 1000\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

pub async fn play(record: &Record, trouble: bool) -> Outcome {
    let mut world = World::start().await?;
    let mut servers = Vec::new();
    for number in 1..=SERVERS {
        let server = Server::plain(&format!("i-{number}")).await;
        server.set_default_behavior(Behavior::Slow(Duration::from_millis(15)));
        server.register(&world.store, "app");
        servers.push(server);
    }
    if trouble {
        // The answer has the signature of the server, and no `Not-Executed`.
        let failing = "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {id}\r\nResponse-Signature: s.1\r\nContent-Length: 0\r\n\r\n";
        let sound = || Behavior::Slow(Duration::from_millis(15));
        let bare = || Behavior::Bytes(failing.to_owned(), false);
        let five = || [sound(), bare(), sound(), bare(), sound()];
        servers[0].queue_behaviors((0..ORDERS).flat_map(|_| five()));
    }
    world.store.configure(1, &["safe", "unsafe"]);
    world.start_routers(1).await?;
    tokio::time::sleep(CONTACT).await;
    let front = world.routers[0].front;
    let mut answers = Vec::new();
    for order in 0..ORDERS {
        // A client sends an unsafe request once more after a promise that it has not run.
        for attempt in 1..=2 {
            let id = format!("o-{order}-{attempt}");
            let sent = Instant::now();
            let Some(mut connection) = Connection::open(front).await else {
                return Err("no connection".to_owned());
            };
            let answer = connection.call(&request(&id, order)).await;
            let status = answer.as_ref().map(|answer| answer.status);
            record.note_at(sent, &format!("{id} sent: {status:?}"));
            answers.push((id, status));
            if !status.is_some_and(|status| PROMISES.contains(&status)) {
                break;
            }
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let mut run: BTreeSet<String> = BTreeSet::new();
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for server in &servers {
        for id in server.executed_requests() {
            record.note(&format!("{id} has run at {}", server.id));
            let order = id.rsplit_once('-').map_or("", |(order, _)| order).to_owned();
            *runs.entry(order).or_default() += 1;
            run.insert(id);
        }
    }
    let twice = runs.values().filter(|count| **count > 1).count();
    record.note(&format!(
        "{twice} of {ORDERS} orders have run twice, since their clients sent them again"
    ));
    let refused: Vec<&String> = answers
        .iter()
        .filter(|(id, status)| status.is_some_and(|s| PROMISES.contains(&s)) && run.contains(id))
        .map(|(id, _)| id)
        .collect();
    let (count, first) = (refused.len(), refused.first());
    Ok(first.map(|first| {
        format!("REFUSED: {count} unsafe requests were answered 503 and have run, first {first}; {twice} orders have run twice")
    }))
}
