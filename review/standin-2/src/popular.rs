//! Servers crash now and then, a popular request is running on each of them, and a router starts after that.

use std::collections::BTreeMap;
use std::time::Duration;

use standin_platform::{Behavior, Server, exchange};
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::Outcome;
use crate::world::{CONTACT, Record, World};

/// When servers crash, one at a time, and how long each is down.
const CRASHES: [Duration; 4] = [
    Duration::from_secs(3),
    Duration::from_secs(9),
    Duration::from_secs(15),
    Duration::from_secs(21),
];
const DOWNTIME: Duration = Duration::from_millis(3_000);
/// When the router is added, and when the clients stop.
const ADDED: Duration = Duration::from_secs(26);
const END: Duration = Duration::from_secs(45);
/// The work of a request at a server.
const WORK: Duration = Duration::from_millis(15);
/// How many clients send the popular request through each router, and their pause after an answer.
const CLIENTS: usize = 24;
const PAUSE: Duration = Duration::from_millis(5);

fn request(id: &str) -> String {
    format!(
        "GET /safe/opening-hours HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 1000\r\nConnection: close\r\n\r\n"
    )
}

pub async fn play(record: &Record, trouble: bool) -> Outcome {
    let mut world = World::start().await?;
    let mut servers = Vec::new();
    for number in 1..=7 {
        let server = Server::plain(&format!("i-{number}")).await;
        server.set_domain(&format!("hall-{number}"));
        server.set_default_behavior(Behavior::Slow(WORK));
        server.register(&world.store, "app");
        servers.push(server);
    }
    world.store.configure(1, &["safe", "unsafe"]);
    world.start_routers(2).await?;
    tokio::time::sleep(CONTACT).await;
    let start = Instant::now();
    let mut clients = JoinSet::new();
    let mut run_clients = |front, router: usize| {
        for client in 0..CLIENTS {
            clients.spawn(async move {
                let mut answers = Vec::new();
                for turn in 0.. {
                    if start.elapsed() > END {
                        break;
                    }
                    let id = format!("r{router}-{client}-{turn}");
                    let sent = Instant::now();
                    let answer = exchange(front, request(&id).as_bytes()).await;
                    answers.push((sent, id, answer.map(|answer| answer.status)));
                    tokio::time::sleep(PAUSE).await;
                }
                answers
            });
        }
    };
    for (index, router) in world.routers.iter().enumerate() {
        run_clients(router.front, index + 1);
    }
    for (index, at) in CRASHES.iter().enumerate() {
        tokio::time::sleep_until(start + *at).await;
        if trouble {
            record.note(&format!("{} crashes", servers[index].id));
            servers[index].terminate(DOWNTIME);
        }
    }
    tokio::time::sleep_until(start + ADDED).await;
    world.start_routers(1).await?;
    let added = Instant::now();
    record.note("front-hall-3 is added and ready");
    run_clients(world.routers[2].front, 3);
    let mut answers: Vec<_> = clients.join_all().await.into_iter().flatten().collect();
    answers.sort_by_key(|(sent, ..)| *sent);
    // Of the answers, those that differ from the one before at their router.
    let mut counts: BTreeMap<(String, Option<u16>), usize> = BTreeMap::new();
    let mut denied = 0;
    for (sent, id, status) in &answers {
        let router = id.split('-').next().unwrap_or("").to_owned();
        let count = counts.entry((router, *status)).or_default();
        *count += 1;
        if *status != Some(200) && *count <= 20 {
            record.note_at(*sent, &format!("{id} sent: {status:?}"));
        }
        let in_touch = !id.starts_with("r3-") || *sent > added + CONTACT;
        denied += usize::from(status.is_some_and(|s| s == 400) && in_touch);
    }
    for ((router, status), count) in counts {
        record.note(&format!("{router}: {count} answers {status:?}"));
    }
    let allowed = 5 + answers.len() / 500;
    let total = answers.len();
    Ok((denied > allowed).then(|| {
        format!("DENIED: {denied} of {total} requests were ended with 400 by machines in touch; {allowed} are allowed")
    }))
}
