use std::time::Duration;

use edge::{CacheTier, Order, OrderKind, ReplicaPhase};
use rstest::rstest;
use tokio::time::{Instant, timeout};
use units::{Incarnation, ModelName, Size};

use super::{Engine, EngineSettings, expected, word};

const LONG: Duration = Duration::from_secs(3600);

fn load(artifact: &ModelName) -> Order {
    let (weights, kv_room) = (Size::gib(8), Size::gib(2));
    let order = OrderKind::Load { artifact: artifact.clone(), weights, kv_room };
    Order { id: "load".to_owned(), fence: Incarnation(1), urgent: true, order }
}

#[rstest]
#[case::memory(CacheTier::Memory, 496)]
#[case::disk(CacheTier::Disk, 1496)]
#[case::remote(CacheTier::Remote, 2992)]
#[tokio::test(start_paused = true)]
async fn can_load_in_the_time_of_its_cache_tier(#[case] tier: CacheTier, #[case] millis: u64) {
    let artifact: ModelName = "page-text@v2".parse().expect("a name");
    let cached = vec![(artifact.clone(), tier)];
    let engine = Engine::new(EngineSettings { cached, ..EngineSettings::default() });
    let mut version = engine.0.version.subscribe();
    let began = Instant::now();
    engine.order(load(&artifact));
    let is_ready = || engine.core().is_ready(&artifact).is_some();
    while !is_ready() {
        timeout(LONG, version.changed()).await.expect("a change").expect("an engine");
    }
    let took = began.elapsed();
    assert!(took.abs_diff(Duration::from_millis(millis)) < Duration::from_millis(10), "{took:?}");
    let inventory = engine.core().inventory(Size::gib(40));
    assert_eq!(inventory.loaded[0].phase, ReplicaPhase::Ready);
    assert_eq!(inventory.cached[0].1, CacheTier::Memory);
}

#[test]
fn can_tell_answers_to_different_prompts_apart() {
    assert_eq!(word("once", 3), word("once", 3));
    assert_ne!(word("once", 3), word("twice", 3));
    assert_ne!(word("once", 3), word("once", 4));
}

#[test]
fn can_say_the_whole_answer_to_a_call() {
    let body = br#"{"model":"m","prompt":"once","max_tokens":2,"stream":true}"#;
    let text = expected("/v1/completions", body).map(String::from_utf8);
    let text = text.expect("a right body").expect("text");
    let events: Vec<&str> = text.split_terminator("\n\n").collect();
    assert_eq!(events.len(), 3);
    assert!(events[0].contains(&word("once", 0)));
    assert_eq!(events[2], "data: [DONE]");
    assert_eq!(expected("/v1/completions", b"no"), None);
}

#[test]
fn can_answer_a_chat_from_its_messages() {
    let body = br#"{"model":"m","messages":[{"role":"user","content":"once"}],"max_tokens":1}"#;
    let text = expected("/v1/chat/completions", body).map(String::from_utf8);
    let text = text.expect("a right body").expect("text");
    assert!(text.contains(&word("once", 0)) && text.contains("assistant"));
}
