use super::*;

fn body(prompt: &str) -> Bytes {
    serde_json::json!({ "model": "page-text", "prompt": prompt }).to_string().into()
}

fn leaf() -> NodePath {
    "/likhari/page-text".parse().expect("a path")
}

#[test]
fn can_see_equal_starts() {
    let start = "once upon a time ".repeat(30);
    let first = Prefix::of(&leaf(), &body(&format!("{start} a fox")));
    let second = Prefix::of(&leaf(), &body(&format!("{start} a hen")));
    let other = Prefix::of(&leaf(), &body(&format!("not {start}")));
    assert!(first.is_some());
    assert_eq!(first, second);
    assert_ne!(first, other);
}

#[test]
fn can_leave_short_prompts_alone() {
    assert_eq!(Prefix::of(&leaf(), &body("hello")), None);
    assert_eq!(Prefix::of(&leaf(), &Bytes::from("no json")), None);
}

#[test]
fn can_stay_bounded() {
    let prefixes = Prefixes::default();
    let endpoint: EndpointId = "likhari-0".parse().expect("an endpoint id");
    for digest in 0..5 * KEPT as u64 {
        prefixes.note(Prefix(digest), &endpoint);
    }
    let kept = prefixes.kept.lock().expect("unpoisoned");
    assert!(kept.young.len() + kept.old.len() <= 2 * KEPT);
    drop(kept);
    assert_eq!(prefixes.get(Prefix(5 * KEPT as u64 - 1)), Some(endpoint));
    assert_eq!(prefixes.get(Prefix(0)), None);
}
