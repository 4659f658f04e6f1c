use std::path::Path;

use rstest::rstest;

use super::Tree;
use crate::{Leaf, NodeKind, file};

const TEXT: &str = r#"{
    "settings": { "deadline": "30s", "weights": "6GiB" },
    "children": {
        "likhari": {
            "settings": { "service": "likhari", "weights": "8GiB" },
            "children": {
                "page-text": {
                    "kind": "model",
                    "settings": { "version": "v2", "deadline": "9s" },
                    "children": {
                        "v1": { "kind": "version" },
                        "v2": { "kind": "version", "settings": { "weights": "10GiB" } },
                        "urdu": { "kind": "adapter", "settings": { "deadline": "7s" } },
                    },
                },
                "page-rhymes": { "kind": "model" },
            },
        },
        "darwaza": { "kind": "service", "settings": { "service": "darwaza" } },
    },
}"#;

fn tree() -> Tree {
    file::parse(Path::new("tree.jsonc"), TEXT).expect("a tree").tree
}

fn show(leaf: &Leaf) -> String {
    let Leaf { kind, artifact, settings, .. } = leaf;
    format!("{kind} {} {artifact} {} {}", leaf.name(), settings.weights, settings.deadline)
}

#[rstest]
#[case("page-text", "model page-text page-text@v2 10GiB 9s")]
#[case("page-text:urdu", "adapter page-text:urdu page-text@v2 10GiB 7s")]
#[case("page-rhymes", "model page-rhymes page-rhymes 8GiB 30s")]
fn can_resolve_names_with_the_settings_in_force(#[case] name: &str, #[case] expected: &str) {
    assert_eq!(show(&tree().resolve(name).expect("a leaf")), expected);
}

#[rstest]
#[case("page-txt", "no model `page-txt`; did you mean `page-text`?")]
#[case("page-text:urd", "no model `page-text:urd`; did you mean `page-text:urdu`?")]
#[case("page-text@v1", "no model `page-text@v1`; did you mean `page-text`?")]
#[case("darwaza", "no model `darwaza`")]
#[case("zzz", "no model `zzz`")]
fn errors_on_an_unknown_name_with_the_nearest(#[case] name: &str, #[case] expected: &str) {
    let message = tree().resolve(name).expect_err("no leaf").to_string();
    assert!(message.starts_with(expected), "{message}");
}

#[test]
fn can_find_a_service_and_name_the_nearest() {
    let tree = tree();
    let leaf = tree.service(&"darwaza".parse().expect("a name")).expect("a service");
    assert_eq!(leaf.kind, NodeKind::Service);
    let message = tree.unknown_service("darwasa").to_string();
    assert_eq!(message, "no service `darwasa`; did you mean `darwaza`?");
}

#[test]
fn can_list_the_leaves_by_path() {
    let names: Vec<String> = tree().leaves().iter().map(|leaf| leaf.name()).collect();
    assert_eq!(names, ["darwaza", "page-rhymes", "page-text", "page-text:urdu"]);
}

#[test]
fn can_read_itself_back_with_its_index() {
    let tree = tree();
    let text = serde_json::to_string(&tree).expect("JSON");
    let back: Tree = serde_json::from_str(&text).expect("a tree");
    assert_eq!(back, tree);
    assert_eq!(back.leaves(), tree.leaves());
}
