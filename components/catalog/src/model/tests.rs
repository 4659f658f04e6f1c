//! Tests of the models of an engine.

use super::*;

fn models(names: &[&str]) -> Models {
    let spec = |name: &&str| ModelSpec {
        weights: Size(name.len() as u64),
        adapter: Size(1),
        store_load: Duration::from_secs(6),
        disk_load: Duration::from_millis(500),
        memory_load: Duration::from_millis(300),
    };
    names.iter().map(|name| (name.parse().expect("a name"), spec(name))).collect()
}

#[test]
fn models_are_found_by_name_and_listed_in_the_order_of_their_names() {
    let models = models(&["ccc", "a", "bb"]);
    let weights = |name: &str| models.get(&name.parse().expect("a name")).map(|spec| spec.weights);
    assert_eq!(
        [weights("a"), weights("bb"), weights("ccc"), weights("d")],
        [Some(Size(1)), Some(Size(2)), Some(Size(3)), None]
    );
    let names: Vec<&str> = models.iter().map(|(name, _)| name.as_str()).collect();
    assert_eq!(names, ["a", "bb", "ccc"]);
}

#[test]
fn models_are_serialized_as_a_list_of_pairs() {
    let models = models(&["b", "a"]);
    let text = serde_json::to_string(&models).expect("text");
    assert!(text.starts_with(r#"[["a",{"#), "{text}");
    let read: Models = serde_json::from_str(&text).expect("models");
    assert_eq!(read, models);
    assert_eq!(read.get(&"b".parse().expect("a name")), models.get(&"b".parse().expect("a name")));
}
