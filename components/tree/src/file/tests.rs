use std::path::Path;

use rstest::rstest;
use serde_json::json;
use units::{ModelName, Revision};

use super::{FileError, TreeFile, parse, with_revision};

fn read(text: &str) -> Result<TreeFile, FileError> {
    parse(Path::new("tree.jsonc"), text)
}

#[test]
fn can_read_comments_nodes_and_the_revision_it_was_pulled_at() {
    let text = r#"{
        // Pulled.
        "revision": 41,
        "settings": { "service": "likhari", },
        "children": { "page-text": { "kind": "model", "settings": { "deadline": "9s" } } },
    }"#;
    let file = read(text).expect("a tree");
    assert_eq!(file.revision, Some(Revision(41)));
    let name: ModelName = "page-text".parse().expect("a name");
    let leaf = file.tree.model(&name).expect("a model");
    assert_eq!(leaf.settings.deadline.to_string(), "9s");
    let node = file.tree.nodes().get("/page-text").expect("a node");
    assert_eq!(node.settings.get("deadline").map(|value| &value.value), Some(&json!("9s")));
}

#[rstest]
#[case(
    r#"{"children": {"a": {"colour": 1}}}"#,
    "tree.jsonc:1: /a: unknown key `colour`; a node has"
)]
#[case(
    "{\n\"children\": {\n\"a\": {\"kind\": \"modle\"}}}",
    "tree.jsonc:3: /a: `kind`: unknown variant `modle`, expected one of"
)]
#[case(
    r#"{"settings": {"dead-line": "3s"}}"#,
    "tree.jsonc:1: /: there is no setting `dead-line`; did you mean `deadline`?"
)]
#[case(
    r#"{"settings": {"deadline": "3s", "deadline": "4s"}}"#,
    "`deadline` stands here twice; keep one"
)]
#[case(r#"{"children": {"a": {}, "a": {}}}"#, "`a` stands here twice")]
#[case(r#"{"settings": {"windows": [{"opens": "x", "opens": "y"}]}}"#, "`opens` stands here twice")]
#[case(
    r#"{"settings": {"version": "v1"}}"#,
    "`version` can't be set on a branch; it belongs on a model"
)]
#[case(r#"{"children": {"a/b": {}}}"#, "`a/b` has a `/`; nest the nodes instead")]
#[case(r#"{"children": {"a b": {}}}"#, "use letters, digits and")]
#[case(r#"{"children": {"a@b": {}}}"#, "`@` is kept for versions")]
#[case(r#"{"children": {"a": 3}}"#, "tree.jsonc:1: /a: `a` is not an object")]
#[case(r#"{"children": {"a": {"revision": 3}}}"#, "unknown key `revision`")]
#[case(r#"{"revision": "3"}"#, "`revision` is not a whole number")]
#[case(
    r#"{"children": {"a": {"kind": "adapter"}}}"#,
    "tree.jsonc: /a: a adapter can only be below a model"
)]
#[case("{\"settings\" {}}", "tree.jsonc: Expected colon")]
#[case("", "the file holds no object")]
#[case("[]", "the file holds no object")]
fn errors_with_file_node_key_and_mend(#[case] text: &str, #[case] expected: &str) {
    let message = read(text).expect_err("a wrong file").to_string();
    assert!(message.contains(expected), "{message}");
}

#[rstest]
#[case("{ // Kept.\n \"revision\": 4 , }", "{ // Kept.\n \"revision\": 12 , }")]
#[case("// Kept.\n{ \"children\": {} }", "// Kept.\n{\n  \"revision\": 12, \"children\": {} }")]
#[case("{}", "{\n  \"revision\": 12,}")]
fn can_change_the_revision_and_keep_the_rest(#[case] text: &str, #[case] expected: &str) {
    let changed = with_revision(text, Revision(12));
    assert_eq!(changed, expected);
    assert_eq!(read(&changed).expect("a tree").revision, Some(Revision(12)));
}
