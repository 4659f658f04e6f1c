use units::EndpointId;
use wire::PrefixList;

use super::*;

fn model() -> ModelName {
    "page-text".parse().expect("a model name")
}

fn place(number: usize) -> Place {
    let endpoint: EndpointId = format!("likhari-{number}").parse().expect("an endpoint id");
    Place { endpoint, model: model() }
}

fn of(prompt: &str) -> Option<Prefix> {
    let body = serde_json::json!({ "model": "page-text", "prompt": prompt }).to_string();
    Prefix::of(&model(), body.as_bytes())
}

fn news(upto: u64, gaps: u64, changes: &str) -> Report {
    let changes = PrefixList::try_from(changes.to_owned()).expect("a list");
    let news =
        PrefixUpdate { epoch: 1, upto, gaps, changes, saved: 400, ..PrefixUpdate::default() };
    Report { warm: true, prefixes: Some(news), ..Report::default() }
}

/// What the prefix saves at the first place, in thousandths.
fn saves(prefixes: &Prefixes, prefix: u32) -> u32 {
    (prefixes.saves(Prefix::new(&model(), prefix), &place(0)) * 1000.0).round() as u32
}

#[test]
fn can_see_equal_starts() {
    let start = "once upon a time ".repeat(30);
    let first = of(&format!("{start} a fox"));
    let second = of(&format!("{start} a hen"));
    let other = of(&format!("not {start}"));
    assert!(first.is_some());
    assert_eq!(first, second);
    assert_ne!(first, other);
}

#[test]
fn can_leave_short_prompts_alone() {
    assert_eq!(of("hello"), None);
    assert_eq!(Prefix::of(&model(), b"no json"), None);
}

#[test]
fn can_stay_bounded() {
    let prefixes = Prefixes::default();
    for digest in 0..5 * KEPT as u64 {
        prefixes.note_own(Prefix(digest), &place(0));
    }
    let kept = prefixes.lock();
    assert!(kept.young.len() + kept.old.len() <= 2 * KEPT);
    drop(kept);
    assert!(prefixes.saves(Prefix(5 * KEPT as u64 - 1), &place(0)) > 0.0);
    assert!(prefixes.saves(Prefix(0), &place(0)) == 0.0);
}

#[tokio::test(start_paused = true)]
async fn can_weigh_news_by_its_age_its_gaps_and_what_was_missed() {
    let prefixes = Prefixes::default();
    prefixes.note(&place(0), &news(2, 0, "+00000001+00000002"));
    assert_eq!((saves(&prefixes, 1), saves(&prefixes, 3)), (400, 0));
    prefixes.note(&place(0), &news(3, 0, "+00000002-00000001"));
    assert_eq!((saves(&prefixes, 1), saves(&prefixes, 2)), (0, 400), "evicted");
    prefixes.note(&place(0), &news(2, 0, "+00000001"));
    assert_eq!(saves(&prefixes, 1), 0, "an answer that was overtaken says nothing");
    prefixes.note(&place(0), &news(4, 1, "+00000004"));
    assert_eq!((saves(&prefixes, 2), saves(&prefixes, 4)), (200, 400), "the engine lost events");
    prefixes.note(&place(0), &news(9, 1, "+00000009"));
    assert_eq!((saves(&prefixes, 4), saves(&prefixes, 9)), (200, 400), "answers went elsewhere");
    tokio::time::advance(HALF_LIFE).await;
    assert_eq!((saves(&prefixes, 9), saves(&prefixes, 2)), (200, 50));
}

#[test]
fn can_agree_with_other_entries_on_one_copy() {
    let entries = [Prefixes::default(), Prefixes::default()];
    let prefix = Prefix::new(&model(), 1);
    for at in 0..3 {
        entries[0].note_own(prefix, &place(at));
        entries[1].note_own(prefix, &place(2 - at));
    }
    let shares = entries.map(|entry| [0, 1, 2].map(|at| entry.saves(prefix, &place(at)) / SAVED));
    assert!(shares[0].iter().zip(&shares[1]).all(|(one, other)| (one - other).abs() < 0.01));
    let mut sorted = shares[0].map(|share| (share * 100.0).round() as u32);
    sorted.sort_unstable();
    assert_eq!(sorted, [25, 50, 100]);
}

#[test]
fn can_forget_a_model_that_was_unloaded() {
    let prefixes = Prefixes::default();
    let own = Prefix::new(&model(), 7);
    prefixes.note(&place(0), &news(1, 0, "+00000001"));
    prefixes.note_own(own, &place(0));
    assert_eq!((saves(&prefixes, 1), saves(&prefixes, 7)), (400, 400));
    let mut again = news(1, 0, "+00000002");
    again.prefixes.as_mut().expect("news").epoch = 2;
    prefixes.note(&place(0), &again);
    assert_eq!([1, 2, 7].map(|prefix| saves(&prefixes, prefix)), [0, 400, 0]);
    prefixes.note(&place(0), &Report::default());
    assert_eq!(saves(&prefixes, 2), 0);
}
