use std::path::Path;

use rstest::rstest;
use units::Revision;

use super::diff;
use crate::{Edit, Tree, parse};

fn tree(text: &str) -> Tree {
    parse(Path::new("tree.jsonc"), text).expect("a tree").tree
}

const BEFORE: &str = r#"{"settings": {"service": "s", "deadline": "1h"}, "children": {
    "a": {"children": {"m": {"kind": "model", "children": {"urdu": {"kind": "adapter"}}}}},
    "a-b": {"settings": {"queue": 3}}}}"#;

#[rstest]
#[case::nothing(BEFORE, &[])]
#[case::the_same_in_other_words(
    r#"{"settings": {"service": "s", "deadline": "60m"}, "children": {
    "a": {"children": {"m": {"kind": "model", "children": {"urdu": {"kind": "adapter"}}}}},
    "a-b": {"settings": {"queue": 3}}}}"#,
    &[]
)]
#[case::settings_and_nodes(
    r#"{"settings": {"service": "s", "deadline": "2h"}, "children": {
    "a": {"children": {"m": {"kind": "model"}, "n": {"kind": "model", "settings": {"queue": 9}}}},
    "a-b": {}}}"#,
    &["remove /a/m/urdu with all below it", "set / deadline = \"2h\"", "clear /a-b queue",
      "add model /a/n", "set /a/n queue = 9"]
)]
#[case::a_branch_with_all_below_it(
    r#"{"settings": {"service": "s", "deadline": "1h"}, "children": {"a-b": {"settings": {"queue": 3}}}}"#,
    &["remove /a with all below it"]
)]
#[case::branches_of_which_one_name_begins_with_the_other(
    r#"{"settings": {"service": "s", "deadline": "1h"}}"#,
    &["remove /a with all below it", "remove /a-b with all below it"]
)]
#[case::another_kind(
    r#"{"settings": {"service": "s", "deadline": "1h"}, "children": {
    "a": {"children": {"m": {"kind": "service"}}},
    "a-b": {"settings": {"queue": 3}}}}"#,
    &["remove /a/m with all below it", "add service /a/m"]
)]
fn can_list_the_changes_and_apply_them(#[case] after: &str, #[case] expected: &[&str]) {
    let (mut from, to) = (tree(BEFORE), tree(after));
    let changes = diff(&from, &to);
    let shown: Vec<String> = changes.iter().map(ToString::to_string).collect();
    assert_eq!(shown, expected);
    if changes.is_empty() {
        return;
    }
    let id = "edit-1".parse().expect("an id");
    let edit = Edit { id, author: "asma".into(), base: Revision(0), changes };
    from.apply(&edit, Revision(1)).expect("a valid edit");
    assert_eq!(diff(&from, &to), []);
}
