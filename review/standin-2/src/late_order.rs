//! An order to load a model gets no answer, its server restarts under its id, and the order is carried out after that.

use std::time::Duration;

use standin_platform::{Behavior, Engine, Server, address, config, exchange};
use tokio::time::Instant;

use crate::Outcome;
use crate::proxy::OrderProxy;
use crate::world::{CONTACT, Record, World};

/// The memory of the server, in megabytes.
const MEMORY: u64 = 90;
/// The models, with their sizes in megabytes.
const MODELS: [(&str, u64); 3] = [("a", 10), ("b", 40), ("c", 80)];
/// How much later the order is carried out that got no answer: between 2 and 12 s.
const DELAY: Duration = Duration::from_millis(6_000);
/// How long the server is down.
const DOWNTIME: Duration = Duration::from_millis(1_000);

fn request(id: &str, model: &str) -> String {
    format!(
        "POST /stream/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 5000\r\nModel: {model}\r\n\
         Content-Length: 4\r\nConnection: close\r\n\r\nbody"
    )
}

pub async fn play(record: &Record, trouble: bool) -> Outcome {
    let mut world = World::start().await?;
    let engine = Engine::new(&MODELS, MEMORY, Duration::from_millis(100), &[]);
    let server = Server::engine("i-1", address(), engine).await;
    server.set_default_behavior(Behavior::Paced(6, Duration::from_millis(40)));
    server.register(&world.store, "llm");
    // The second order is the one.
    let late = trouble.then_some((2, DELAY));
    let proxy = OrderProxy::start(server.addr.ip(), server.addr, late).await?;
    world.start_loader_of(&server, proxy.addr)?;
    let mut config = config(1, &["stream"]);
    let spec = config["services"][1]["engine"]["models"][0].clone();
    config["services"][1]["engine"]["weightsMegabytes"] = MEMORY.into();
    config["services"][1]["engine"]["models"] = MODELS
        .iter()
        .map(|(model, size)| {
            let mut spec = spec.clone();
            spec["name"] = (*model).into();
            spec["weightsMegabytes"] = (*size).into();
            spec
        })
        .collect();
    world.store.put("keyed.op", "config", &config);
    world.start_routers(1).await?;
    tokio::time::sleep(CONTACT).await;
    let front = world.routers[0].front;
    let call = async |id: &str, model: &str| {
        let sent = Instant::now();
        let answer = exchange(front, request(id, model).as_bytes()).await;
        let text = answer.map_or("no answer".to_owned(), |answer| {
            format!("{}, whole {}", answer.status, answer.whole)
        });
        record.note_at(sent, &format!("{id} sent, for {model}: {text}"));
    };
    call("r-1", "a").await;
    call("r-2", "b").await;
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    if trouble {
        record.note("i-1 crashes");
        server.terminate(DOWNTIME);
    }
    tokio::time::sleep(DOWNTIME + Duration::from_millis(1_500)).await;
    for number in 3..20 {
        call(&format!("r-{number}"), "c").await;
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    for order in proxy.orders() {
        let kept =
            if order.kept_back { "gets no answer and is delivered later" } else { &order.answer };
        record.note_at(order.at, &format!("order {}: {kept}", order.body));
    }
    let state = server.engine_state();
    record.note(&format!("i-1 held {} MB of {} MB at most", state.peak_memory, state.memory));
    Ok((state.peak_memory > state.memory).then(|| {
        format!(
            "LIMIT: i-1 was ordered to load {} MB, and holds {} MB",
            state.peak_memory, state.memory
        )
    }))
}
