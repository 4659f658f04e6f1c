//! Tests of the lives of an endpoint.

use fleet::LoadedModel;
use units::Revision;

use super::*;

fn entry(life: u64) -> Endpoint {
    Endpoint {
        id: "i-1".parse().expect("an id"),
        incarnation: Some(EndpointIncarnation(life)),
        service: "llm".parse().expect("a service"),
        addr: ([10, 0, 0, 1], 80).into(),
        domain: "near".parse().expect("a domain"),
        slots: 16,
        stage: EndpointStage::Ready,
        holdings: Some(holding(&["a"])),
    }
}

fn holding(models: &[&str]) -> Holdings {
    let held =
        |name: &&str| LoadedModel { model: name.parse().expect("a name"), adapters: Vec::new() };
    Holdings { models: models.iter().map(held).collect(), ..Holdings::default() }
}

fn state(life: u64, models: &[&str]) -> EndpointState {
    EndpointState {
        version: 1,
        endpoint: None,
        incarnation: Some(EndpointIncarnation(life)),
        holdings: holding(models),
        load: EndpointLoad { waiting: 0, running: 7, routers: 2 },
        room_wait: Duration::ZERO,
        can_order: true,
        draining: false,
        engine_version: Revision(1),
    }
}

/// An endpoint in its first life of which bad things are known.
fn troubled(now: Instant) -> TrackedEndpoint {
    let mut peer = TrackedEndpoint::new(entry(100), now);
    peer.apply_state(state(100, &["a", "b"]), now);
    peer.running = 5;
    peer.consecutive_failures = 3;
    peer.paused_until = Some(now + Duration::from_secs(4));
    peer.refused_until.insert("b".parse().expect("a model"), now + Duration::from_secs(4));
    peer.open_loads.entry("b".parse().expect("a model")).or_default().open = 1;
    peer
}

fn assert_new(peer: &TrackedEndpoint, now: Instant) {
    assert!(peer.usable(now));
    assert_eq!((peer.running, peer.consecutive_failures, peer.total_running()), (0, 0, 0));
    assert!(peer.refused_until.is_empty() && peer.open_loads.is_empty());
}

#[tokio::test(start_paused = true)]
async fn nothing_of_an_earlier_life_is_left_when_the_list_tells_of_a_new_one() {
    let now = Instant::now();
    let mut peer = troubled(now);
    let pool = peer.pool.clone();
    assert!(peer.apply_entry(Endpoint { holdings: Some(holding(&[])), ..entry(200) }, now));
    assert_new(&peer, now);
    assert!(!Arc::ptr_eq(&pool, &peer.pool), "its connections are gone");
    assert!(!peer.holdings(now).expect("models").holds(&"a".parse().expect("a name")));
}

#[tokio::test(start_paused = true)]
async fn a_loader_tells_of_a_new_life_before_the_list_does() {
    let now = Instant::now();
    let mut peer = troubled(now);
    assert!(
        peer.apply_state(
            EndpointState { load: EndpointLoad::default(), ..state(200, &["c"]) },
            now
        )
    );
    assert_new(&peer, now);
    assert!(peer.holdings(now).expect("models").holds(&"c".parse().expect("a name")));
    // The list still shows the earlier life, and then the new one.
    assert!(!peer.apply_entry(entry(100), now));
    assert_eq!(peer.endpoint.incarnation, Some(EndpointIncarnation(200)));
    assert!(!peer.apply_entry(entry(200), now));
    assert!(peer.holdings(now).expect("models").holds(&"c".parse().expect("a name")));
}

#[tokio::test(start_paused = true)]
async fn a_loader_that_still_speaks_of_the_earlier_life_changes_nothing() {
    let now = Instant::now();
    let mut peer = troubled(now);
    peer.apply_entry(entry(200), now);
    assert!(!peer.apply_state(state(100, &["a", "b"]), now));
    assert!(peer.state.is_none());
    assert!(!peer.can_load(now));
}

#[tokio::test(start_paused = true)]
async fn a_life_that_seems_to_have_begun_earlier_is_believed_if_the_list_tells_of_it() {
    let now = Instant::now();
    let mut peer = troubled(now);
    // The endpoint's clock was set back between its lives.
    assert!(peer.apply_entry(entry(50), now));
    assert_new(&peer, now);
    assert!(
        !peer
            .apply_state(EndpointState { load: EndpointLoad::default(), ..state(50, &["c"]) }, now)
    );
    assert!(peer.can_load(now));
}

#[tokio::test(start_paused = true)]
async fn an_endpoint_that_does_not_tell_its_lives_apart_is_one() {
    let now = Instant::now();
    let mut peer = troubled(now);
    assert!(!peer.apply_entry(Endpoint { incarnation: None, ..entry(0) }, now));
    assert!(!peer.apply_state(EndpointState { incarnation: None, ..state(0, &["a"]) }, now));
    assert_eq!((peer.endpoint.incarnation, peer.running), (Some(EndpointIncarnation(100)), 5));
}

#[tokio::test(start_paused = true)]
async fn a_loader_without_news_renews_what_it_said_but_not_of_an_earlier_life() {
    let now = Instant::now();
    let mut peer = troubled(now);
    let later = now + FRESH;
    let load = EndpointLoad { waiting: 1, running: 9, routers: 3 };
    assert!(peer.refresh_load(load, later));
    assert!(peer.can_load(later));
    assert_eq!((peer.routers(), peer.candidate(true, later).queued_models), (3, 1));
    peer.apply_entry(entry(200), later);
    assert!(!peer.refresh_load(load, later));
    assert!(peer.state.is_none());
}

#[tokio::test(start_paused = true)]
async fn what_an_endpoint_said_of_its_leaving_holds_for_its_life_whatever_else_is_heard() {
    let now = Instant::now();
    let mut peer = troubled(now);
    peer.hints.leaving = true;
    peer.apply_entry(entry(100), now);
    assert!(!peer.accepts_work(), "an older entry");
    peer.apply_state(state(100, &["a"]), now);
    assert!(!peer.accepts_work(), "a loader that knows less");
    peer.apply_entry(Endpoint { addr: ([10, 0, 0, 2], 80).into(), ..entry(100) }, now);
    assert!(!peer.accepts_work(), "it has moved");
    assert_eq!(peer.announced_entry().stage, EndpointStage::Draining(None));
    peer.apply_entry(entry(200), now);
    assert!(peer.accepts_work(), "another life");
}

/// It started again at 200, said at 300 that it leaves and wants nothing, and then the list told of its life.
#[tokio::test(start_paused = true)]
async fn what_an_endpoint_said_before_its_life_was_known_holds_for_that_life() {
    let now = Instant::now();
    let until = Some(now + Duration::from_secs(9));
    for by_loader in [false, true] {
        let mut peer = troubled(now);
        peer.hints = ReceivedHints { leaving: true, until, heard: UnixMillis(300) };
        if by_loader {
            peer.apply_state(state(200, &[]), now);
        } else {
            peer.apply_entry(entry(200), now);
        }
        assert!(!peer.accepts_work());
        assert!(peer.backoff_left(now).is_some());
        peer.apply_entry(entry(400), now);
        assert!(peer.accepts_work() && peer.backoff_left(now).is_none());
    }
}

#[tokio::test(start_paused = true)]
async fn a_loader_that_no_longer_says_that_its_endpoint_leaves_does_not_take_it_back() {
    let now = Instant::now();
    let mut peer = troubled(now);
    peer.apply_state(EndpointState { draining: true, ..state(100, &["a"]) }, now);
    peer.apply_state(state(100, &["a"]), now);
    assert!(!peer.accepts_work());
    peer.apply_state(state(200, &[]), now);
    assert!(peer.accepts_work());
}
