//! Tests of workspaces.

use super::*;

fn workspace(name: &str, keys: &[&str]) -> Workspace {
    Workspace {
        name: name.parse().expect("a name"),
        keys: keys.iter().map(|key| KeyDigest::of(key.as_bytes())).collect(),
        priority: None,
        unit: Unit::Tokens { default_cost: 200 },
        limit: None,
    }
}

#[test]
fn finds_the_holder_of_a_key() {
    let all = Workspaces::from(vec![workspace("a", &["k1", "k2"]), workspace("b", &["k3"])]);
    let holder = |key: &str| all.holder(&KeyDigest::of(key.as_bytes())).map(|w| w.name.to_string());
    assert_eq!(holder("k2").as_deref(), Some("a"));
    assert_eq!(holder("k3").as_deref(), Some("b"));
    assert_eq!(holder("k4"), None);
    assert_eq!(holder(""), None);
}

#[test]
fn shows_no_key_and_only_the_beginning_of_its_digest() {
    let digest = KeyDigest::of(b"a-very-secret-key");
    assert_eq!(digest.to_string().len(), 2 * SHOWN);
    let all = Workspaces::from(vec![workspace("a", &["a-very-secret-key"])]);
    let told = format!("{all:?} {digest:?} {}", serde_json::to_string(&all).expect("JSON"));
    assert!(!told.contains("secret"));
}

#[test]
fn is_told_to_another_router_and_back() {
    let all = Workspaces::from(vec![workspace("a", &["k1", "k2"]), workspace("b", &["k3"])]);
    let text = serde_json::to_string(&all).expect("JSON");
    assert_eq!(serde_json::from_str::<Workspaces>(&text).expect("workspaces"), all);
}

#[test]
fn counts_a_request_by_both_of_its_numbers() {
    let unit = Unit::Tokens { default_cost: 200 };
    assert_eq!(unit.cost(Some((1_460, 80))), 1_540);
    assert_eq!(unit.cost(Some((u32::MAX, 1))), u32::MAX);
    assert_eq!(unit.cost(None), 200);
    assert_eq!(Unit::Requests.cost(Some((1_460, 80))), 1);
}
