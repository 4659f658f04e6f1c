//! A key is taken away, the store comes back from a copy from before that, and a router is added.

use std::collections::BTreeMap;
use std::time::Duration;

use standin_platform::{
    Behavior, Server, StoreFault, Workspace, config, exchange, with_workspaces,
};
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::Outcome;
use crate::world::{CONTACT, Record, World};

/// The bound of the sheet on keys that were taken away.
const REVOKE: Duration = Duration::from_millis(5_000);
/// How long the deployment runs before the key is taken away.
const LEAD: Duration = Duration::from_millis(8_000);
/// The time from the acknowledgement to the loss of the store, and how long the store is away.
const BEFORE: Duration = Duration::from_millis(3_000);
const AWAY: Duration = Duration::from_millis(1_000);
/// The age of the copy from which the store comes back: some seconds.
const COPY_AGE: Duration = Duration::from_millis(6_000);
/// The operator writes its configuration again so long after the return of the store, as servers do.
const REWRITE: Duration = Duration::from_millis(2_000);
/// The router is added so long after the return of the store.
const ADDED: Duration = Duration::from_millis(300);
/// How long clients go on after the acknowledgement, and the pause between their requests.
const TIME: Duration = Duration::from_millis(10_000);
const PAUSE: Duration = Duration::from_millis(100);

/// What happens after the acknowledgement.
#[derive(Debug, Clone, Copy)]
enum Step {
    Away,
    Back,
    Add,
    Rewrite,
}

impl Step {
    fn at(self) -> Duration {
        match self {
            Self::Away => BEFORE,
            Self::Back => BEFORE + AWAY,
            Self::Add => BEFORE + AWAY + ADDED,
            Self::Rewrite => BEFORE + AWAY + REWRITE,
        }
    }
}

fn request(id: &str, key: &str) -> String {
    format!(
        "POST /unsafe/order HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 1000\r\n\
         Authorization: Bearer {key}\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody"
    )
}

pub async fn play(record: &Record, trouble: bool) -> Outcome {
    let mut world = World::start().await?;
    world.revoke = Some(REVOKE);
    let mut servers = Vec::new();
    for number in 1..=3 {
        let server = Server::plain(&format!("i-{number}")).await;
        server.set_default_behavior(Behavior::Slow(Duration::from_millis(15)));
        server.register(&world.store, "app");
        servers.push(server);
    }
    let tenants = |keys| [Workspace { name: "press", keys, rate: None }];
    let version =
        |number, keys| with_workspaces(config(number, &["safe", "unsafe"]), &tenants(keys));
    world.store.put("keyed.op", "config", &version(1, &["kept-key", "lost-key"]));
    world.start_routers(2).await?;
    tokio::time::sleep(LEAD.max(CONTACT)).await;
    let newer = version(4, &["kept-key"]);
    world.store.put("keyed.op", "config", &newer);
    let acknowledged = Instant::now();
    record.note("version 4 is acknowledged, which takes `lost-key` away");
    let mut calls = JoinSet::new();
    let mut fronts: Vec<_> = world.routers.iter().map(|router| router.front).collect();
    let mut steps = vec![Step::Away, Step::Back, Step::Add, Step::Rewrite];
    let mut turn = 0;
    while acknowledged.elapsed() < TIME {
        if let Some(step) = steps.first().copied()
            && acknowledged.elapsed() >= step.at()
        {
            steps.remove(0);
            match step {
                Step::Away if trouble => {
                    world.store.set_fault(StoreFault::Unavailable);
                    record.note("the store is away");
                }
                Step::Back if trouble => {
                    // What the servers wrote is older than the copy.
                    world.store.restore_backup(COPY_AGE);
                    world.store.set_fault(StoreFault::None);
                    record.note("the store is back from a copy");
                }
                Step::Add => {
                    world.start_routers(1).await?;
                    fronts = world.routers.iter().map(|router| router.front).collect();
                    record.note("front-hall-3 has been added and is ready");
                }
                Step::Rewrite if trouble => {
                    world.store.put("keyed.op", "config", &newer);
                    record.note("the operator has written version 4 again");
                }
                Step::Away | Step::Back | Step::Rewrite => {}
            }
        }
        turn += 1;
        for (index, front) in fronts.clone().into_iter().enumerate() {
            for key in ["kept-key", "lost-key"] {
                let id = format!("{}-{turn}-r{}", &key[..4], index + 1);
                calls.spawn(async move {
                    let sent = Instant::now();
                    let answer = exchange(front, request(&id, key).as_bytes()).await;
                    (id, sent, answer.map(|answer| answer.status))
                });
            }
        }
        tokio::time::sleep(PAUSE).await;
    }
    let calls = calls.join_all().await;
    let mut sent: BTreeMap<String, (Instant, Option<u16>)> = BTreeMap::new();
    for (id, at, status) in calls {
        record.note_at(at, &format!("{id} sent: {status:?}"));
        sent.insert(id, (at, status));
    }
    let run: Vec<String> = servers.iter().flat_map(Server::executed_requests).collect();
    let late: Vec<&String> = run
        .iter()
        .filter(|id| id.starts_with("lost"))
        .filter(|id| sent.get(*id).is_some_and(|(at, _)| *at > acknowledged + REVOKE))
        .collect();
    for id in &late {
        record.note(&format!("{id} has run"));
    }
    let count = late.len();
    Ok(late.first().map(|first| {
        format!("CONFIG: {count} requests whose key had been taken away were sent later than {REVOKE:?} after the acknowledgement and have run, first {first}")
    }))
}
