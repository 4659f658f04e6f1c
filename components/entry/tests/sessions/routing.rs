//! Where requests go.

use std::time::Duration;

use wire::Report;

use crate::kit::{Act, World, ask, id, report, service_call};

#[tokio::test(start_paused = true)]
async fn can_join_a_burst_through_several_entries_at_one_replica() {
    let mut world = World::new().await;
    let agents = [
        world.replica(0, "korangi").await,
        world.replica(1, "saddar").await,
        world.replica(2, "clifton").await,
    ];
    let twin = world.twin("entry-1").await;
    agents[0].script((0..40).map(|_| Act::After(Duration::from_secs(2), "warm now")));
    let calls: Vec<_> =
        (0..20).flat_map(|_| [world.call_later(ask(&[])), twin.call_later(ask(&[]))]).collect();
    for call in calls {
        assert_eq!(call.await.expect("the call ends").outcome(), "served");
    }
    let runs: Vec<usize> = agents.iter().map(|agent| agent.runs().len()).collect();
    assert_eq!(runs, [40, 0, 0]);
    assert_eq!(world.net.dials(), 2, "one connection for each entry");
}

#[tokio::test(start_paused = true)]
async fn can_spread_over_the_replicas_that_are_awake() {
    let mut world = World::new().await;
    let agents = [
        world.replica(0, "saddar").await,
        world.replica(1, "saddar").await,
        world.replica(2, "saddar").await,
    ];
    agents[0].set_report(report(0, 7, 2));
    agents[1].set_report(report(0, 7, 2));
    for _ in 0..40 {
        world.call(ask(&[])).await;
    }
    assert!(agents[0].runs().len() > 5);
    assert!(agents[1].runs().len() > 5);
    assert!(agents[2].runs().is_empty());
}

#[tokio::test(start_paused = true)]
async fn can_let_replicas_fall_idle_that_are_not_needed() {
    let mut world = World::new().await;
    let agents = [world.replica(0, "korangi").await, world.replica(1, "saddar").await];
    agents.iter().for_each(|agent| agent.set_report(report(0, 2, 2)));
    for _ in 0..40 {
        world.call(ask(&[])).await;
    }
    assert_eq!((agents[0].runs().len(), agents[1].runs().len()), (40, 0));
}

#[tokio::test(start_paused = true)]
async fn can_leave_an_endpoint_out_that_refuses_for_a_lasting_cause() {
    let mut world = World::new().await;
    let agents = [world.replica(0, "saddar").await, world.replica(1, "saddar").await];
    let failed = wire::Refusal::LoadFailed { cause: "the store is down".to_owned() };
    agents[0].script(vec![Act::Refuse(failed); 300]);
    for _ in 0..300 {
        assert_eq!(world.call(ask(&[])).await.outcome(), "served");
    }
    assert_eq!(agents[0].dispatches().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn can_fail_all_who_wait_for_one_connection_together() {
    let mut world = World::new().await;
    let agents = [world.replica(0, "saddar").await, world.replica(1, "saddar").await];
    world.net.swallow(&agents[0]);
    let began = tokio::time::Instant::now();
    let calls: Vec<_> = (0..20).map(|_| world.call_later(ask(&[]))).collect();
    for call in calls {
        assert_eq!(call.await.expect("the call ends").outcome(), "served");
    }
    assert!(began.elapsed() < Duration::from_secs(2), "{:?}", began.elapsed());
    assert_eq!(agents[1].runs().len(), 20);
}

#[tokio::test(start_paused = true)]
async fn can_eject_an_endpoint_that_fails_fast() {
    let mut world = World::new().await;
    let bad = world.attach("darwaza-0", "darwaza", "saddar").await;
    let good = world.attach("darwaza-1", "darwaza", "korangi").await;
    let broken = Act::Status { status: 500, content: "text/plain", body: "no" };
    bad.script(vec![broken; 100]);
    let mut failed = 0;
    for _ in 0..50 {
        let answer = world.call(service_call("GET", "/doors", &[])).await;
        failed += usize::from(answer.status == 500);
    }
    assert_eq!((failed, good.runs().len()), (3, 47));
}

#[tokio::test(start_paused = true)]
async fn can_prefer_the_less_busy_of_two() {
    let mut world = World::new().await;
    let agents = [world.replica(0, "saddar").await, world.replica(1, "saddar").await];
    agents[0].set_report(report(20, 8, 2));
    agents[1].set_report(report(0, 7, 2));
    for _ in 0..20 {
        world.call(ask(&[])).await;
    }
    assert!(agents[0].runs().len() <= 2, "only until its load is known");
}

#[tokio::test(start_paused = true)]
async fn can_send_nothing_to_a_leaving_endpoint() {
    let mut world = World::new().await;
    let agents = [world.replica(0, "saddar").await, world.replica(1, "saddar").await];
    world.leave("likhari-0", &agents[0]).await;
    for _ in 0..10 {
        assert_eq!(world.call(ask(&[])).await.outcome(), "served");
    }
    assert_eq!(agents[0].dispatches().len(), 0);
    assert_eq!(agents[1].runs().len(), 10);
}

#[tokio::test(start_paused = true)]
async fn can_eject_a_dead_endpoint_and_take_it_back() {
    let mut world = World::new().await;
    let agents = [world.replica(0, "saddar").await, world.replica(1, "saddar").await];
    agents[0].set_dead(true);
    for _ in 0..10 {
        assert_eq!(world.call(ask(&[])).await.outcome(), "served");
    }
    assert_eq!(world.net.dials(), 3 + 1, "three failures eject it, one connection to the other");
    agents[0].set_dead(false);
    tokio::time::sleep(Duration::from_secs(2)).await;
    world.call(ask(&[])).await;
    assert_eq!(agents[0].runs().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn can_take_an_endpoint_back_with_calls_that_must_not_run_twice() {
    let mut world = World::new().await;
    let first = world.attach("darwaza-0", "darwaza", "saddar").await;
    let _second = world.attach("darwaza-1", "darwaza", "korangi").await;
    first.set_dead(true);
    for _ in 0..5 {
        let answer = world.call(service_call("POST", "/badges", &[])).await;
        assert_eq!(answer.outcome(), "served");
    }
    first.set_dead(false);
    tokio::time::sleep(Duration::from_secs(10)).await;
    world.call(service_call("POST", "/badges", &[])).await;
    world.call(service_call("POST", "/badges", &[])).await;
    assert_eq!(first.runs().len(), 2);
}

/// A request whose prompt starts like those of other pages.
fn page(start: &str, page: usize) -> http::Request<http_body_util::Full<bytes::Bytes>> {
    let prompt = format!("{}{page}", start.repeat(8));
    let body = serde_json::json!({"model": "page-text", "prompt": prompt}).to_string();
    let body = http_body_util::Full::from(body);
    http::Request::post("/v1/completions").body(body).expect("a request")
}

#[tokio::test(start_paused = true)]
async fn can_follow_a_prompts_prefix_to_its_cache() {
    let mut world = World::new().await;
    let agents = [world.replica(0, "saddar").await, world.replica(1, "saddar").await];
    agents.iter().for_each(|agent| agent.set_report(report(0, 1, 2)));
    for number in 0..20 {
        world
            .call(page("the same long start of a picture book about a fox and a hen ", number))
            .await;
    }
    let mut runs: Vec<usize> = agents.iter().map(|agent| agent.runs().len()).collect();
    runs.sort_unstable();
    assert_eq!(runs, [0, 20]);
}

#[tokio::test(start_paused = true)]
async fn can_follow_a_prefix_that_another_entry_has_had_cached_unless_it_is_too_busy_there() {
    let start = "a start that only the engine knows of ";
    let prefix = edge::PrefixHash::of(&start.repeat(8)).short();
    let changes = wire::PrefixList(vec![wire::PrefixChange { prefix, stored: true }]);
    let news = wire::PrefixUpdate { epoch: 1, upto: 1, saved: 500, changes, ..Default::default() };
    let mut world = World::new().await;
    let agents = [world.replica(0, "saddar").await, world.replica(1, "saddar").await];
    let cached = |running| Report { prefixes: Some(news.clone()), ..report(0, running, 2) };
    agents[0].set_report(report(0, 6, 2));
    agents[1].set_report(cached(8));
    let runs = || agents[1].runs().len();
    for _ in 0..20 {
        world.call(ask(&[])).await;
    }
    let plain = runs();
    assert!(plain < 5, "the other one is less busy");
    for number in 0..5 {
        world.call(page(start, number)).await;
    }
    assert_eq!(runs(), plain + 5);
    agents[1].set_report(cached(16));
    for number in 0..5 {
        world.call(page(start, number)).await;
    }
    assert_eq!(runs(), plain + 6, "one more, whose answer tells of the load");
}

#[tokio::test(start_paused = true)]
async fn can_spread_service_calls_over_all_members() {
    let mut world = World::new().await;
    let near = world.attach("darwaza-0", "darwaza", "saddar").await;
    let far = world.attach("darwaza-1", "darwaza", "korangi").await;
    let other = world.attach("likhari-9", "likhari", "saddar").await;
    near.script(vec![Act::After(Duration::from_secs(1), "ok"); 100]);
    far.script(vec![Act::After(Duration::from_secs(1), "ok"); 100]);
    let calls: Vec<_> =
        (0..20).map(|_| world.call_later(service_call("GET", "/doors", &[]))).collect();
    for call in calls {
        assert_eq!(call.await.expect("the call ends").outcome(), "served");
    }
    assert_eq!(near.runs().len() + far.runs().len(), 20);
    assert!(near.runs().len() > far.runs().len(), "the near one goes first");
    assert!(far.runs().len() > 5, "and spills");
    assert!(other.runs().is_empty());
}

#[tokio::test(start_paused = true)]
async fn can_give_each_request_an_id_of_its_own() {
    let mut world = World::new().await;
    let agent = world.replica(0, "saddar").await;
    let twin = world.twin("entry-0").await;
    for _ in 0..5 {
        world.call(ask(&[])).await;
        twin.call(ask(&[])).await;
    }
    let mut runs = agent.runs();
    runs.sort();
    runs.dedup();
    assert_eq!(runs.len(), 10, "even from a process that was restarted");
    assert_eq!(agent.dispatches()[0].entry, id("entry-0"));
}
