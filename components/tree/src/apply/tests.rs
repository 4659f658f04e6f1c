use rstest::rstest;
use serde_json::json;
use units::{EditId, NodePath, Revision};

use super::{ApplyError, MAX_CHANGE, MAX_CHANGES};
use crate::{Change, Edit, NodeKind, Tree, diff};

fn path(text: &str) -> NodePath {
    text.parse().expect("a path")
}

fn add(at: &str, kind: NodeKind) -> Change {
    Change::Add { path: path(at), kind }
}

fn remove(at: &str) -> Change {
    Change::Remove { path: path(at) }
}

fn set(at: &str, setting: &str, value: serde_json::Value) -> Change {
    Change::Set { path: path(at), setting: setting.parse().expect("a setting"), value }
}

fn clear(at: &str, setting: &str) -> Change {
    Change::Clear { path: path(at), setting: setting.parse().expect("a setting") }
}

fn edit(base: u64, changes: Vec<Change>) -> Edit {
    let id: EditId = format!("edit-{base}").parse().expect("an id");
    Edit { id, author: "asma".to_owned(), base: Revision(base), changes }
}

/// At revision 1: a branch `/hall` with a model `page-text` that has a version `v1`.
fn hall() -> Tree {
    let mut tree = Tree::default();
    let changes = vec![
        add("/hall", NodeKind::Branch),
        set("/hall", "service", json!("likhari")),
        add("/hall/page-text", NodeKind::Model),
        add("/hall/page-text/v1", NodeKind::Version),
        set("/hall/page-text", "version", json!("v1")),
    ];
    tree.apply(&edit(0, changes), Revision(1)).expect("a valid edit");
    tree
}

fn winner(result: Result<(), ApplyError>) -> Option<(u64, String)> {
    match result {
        Err(ApplyError::Conflict { winner, what, .. }) => Some((winner.0, what)),
        _ => None,
    }
}

fn cause(result: Result<(), ApplyError>) -> String {
    match result {
        Err(ApplyError::Invalid { path, cause }) => format!("{path}: {cause}"),
        other => panic!("not invalid: {other:?}"),
    }
}

#[test]
fn can_let_edits_of_different_settings_both_win() {
    let mut tree = hall();
    let asma = edit(1, vec![set("/hall", "deadline", json!("9s"))]);
    let bilal = edit(1, vec![set("/hall", "queue", json!(7))]);
    assert_eq!(tree.apply(&asma, Revision(2)), Ok(()));
    assert_eq!(tree.apply(&bilal, Revision(3)), Ok(()));
    let settings = tree.effective(&path("/hall/page-text"));
    assert_eq!((settings.deadline.to_string().as_str(), settings.queue), ("9s", 7));
}

#[test]
fn can_set_the_same_value_again_on_the_newest_base() {
    let mut tree = hall();
    let same = set("/hall", "service", json!("likhari"));
    assert_eq!(tree.apply(&edit(1, vec![same]), Revision(2)), Ok(()));
}

#[rstest]
#[case::set_after_set(set("/hall", "deadline", json!("9s")), set("/hall", "deadline", json!("8s")), "deadline")]
#[case::set_after_the_same(set("/hall", "deadline", json!("9s")), set("/hall", "deadline", json!("9s")), "deadline")]
#[case::set_after_clear(clear("/hall", "service"), set("/hall", "service", json!("darwaza")), "service")]
#[case::clear_after_set(set("/hall", "service", json!("darwaza")), clear("/hall", "service"), "service")]
#[case::clear_after_clear(clear("/hall", "service"), clear("/hall", "service"), "service")]
#[case::remove_after_a_change_below(set("/hall/page-text", "queue", json!(7)), remove("/hall"), "node")]
#[case::remove_after_an_addition_below(
    add("/hall/page-text/urdu", NodeKind::Adapter),
    remove("/hall"),
    "node"
)]
#[case::add_after_add(add("/annex", NodeKind::Branch), add("/annex", NodeKind::Branch), "node")]
fn errors_on_what_changed_after_the_base(
    #[case] first: Change,
    #[case] second: Change,
    #[case] what: &str,
) {
    let mut tree = hall();
    // The model has a service of its own, so that the branch's may be cleared.
    let own = set("/hall/page-text", "service", json!("likhari"));
    tree.apply(&edit(1, vec![own]), Revision(2)).expect("a valid edit");
    tree.apply(&edit(2, vec![first]), Revision(3)).expect("a valid edit");
    let before = tree.clone();
    let result = tree.apply(&edit(2, vec![second]), Revision(4));
    assert_eq!(winner(result), Some((3, what.to_owned())));
    assert_eq!(tree, before);
}

#[test]
fn errors_on_a_change_of_a_node_that_was_removed_and_added_again() {
    let mut tree = hall();
    let again = vec![remove("/hall"), add("/hall", NodeKind::Branch)];
    tree.apply(&edit(1, again), Revision(2)).expect("a valid edit");
    let late = edit(1, vec![set("/hall", "queue", json!(7))]);
    assert_eq!(winner(tree.apply(&late, Revision(3))), Some((2, "node".to_owned())));
    let child = edit(1, vec![add("/hall/annex", NodeKind::Branch)]);
    assert_eq!(winner(tree.apply(&child, Revision(3))), Some((2, "node".to_owned())));
}

#[test]
fn errors_on_a_set_below_a_removed_node() {
    let mut tree = hall();
    tree.apply(&edit(1, vec![remove("/hall")]), Revision(2)).expect("a valid edit");
    let late = edit(1, vec![set("/hall/page-text", "queue", json!(7))]);
    assert!(cause(tree.apply(&late, Revision(3))).contains("there is no such node"));
}

#[test]
fn can_undo_the_half_that_was_right() {
    let mut tree = hall();
    let before = tree.clone();
    let half = vec![set("/hall", "deadline", json!("9s")), set("/hall", "queue", json!("many"))];
    assert!(cause(tree.apply(&edit(1, half), Revision(2))).contains("`queue`"));
    assert_eq!(tree, before);
    assert_eq!(tree.effective(&path("/hall")).deadline.to_string(), "30s");
}

#[rstest]
#[case(vec![], "changes nothing")]
#[case(vec![remove("/")], "the root can't be removed")]
#[case(vec![add("/a/b", NodeKind::Branch)], "/a: there is no such node")]
#[case(vec![add("/hall", NodeKind::Branch)], "there already")]
#[case(vec![add("/a/", NodeKind::Branch)], "none at the end")]
#[case(vec![add("/x@2", NodeKind::Model)], "kept for versions")]
#[case(vec![clear("/hall", "queue")], "not set here")]
#[case(vec![set("/hall", "que", json!(1))], "did you mean `queue`")]
#[case(vec![set("/hall/page-text/v1", "queue", json!(1))], "can't be set on a version")]
#[case(vec![set("/hall/page-text", "version", json!("v9"))], "no version of that name")]
#[case(vec![remove("/hall/page-text/v1")], "no version of that name")]
#[case(vec![set("/hall", "replicas-least", json!(2))], "above `replicas-most` 1")]
#[case(vec![clear("/hall", "service")], "/hall/page-text: `service` is set neither here nor above")]
#[case(vec![add("/hall/upper", NodeKind::Branch), add("/hall/upper/page-text", NodeKind::Model)], "/hall/page-text is a model of the same name")]
#[case(vec![add("/hall/page-text/deep", NodeKind::Branch)], "can only be below a branch")]
#[case(vec![add("/hall/urdu", NodeKind::Adapter)], "can only be below a model")]
#[case(vec![set("/hall", "windows", json!([{"opens": "monthly last 08:00", "lasts": "1h", "zone": "UTC", "replicas": 2}]))], "needs 2 replicas, but `replicas-most` is 1")]
#[case(vec![set("/hall", "not-repeatable", json!([format!("POST /{}", "x".repeat(MAX_CHANGE))]))], "at most 16384 are allowed")]
#[case(vec![clear("/hall", "service"); MAX_CHANGES + 1], "publish at most 4096")]
fn errors_on_a_tree_that_would_be_wrong(#[case] changes: Vec<Change>, #[case] expected: &str) {
    let mut tree = hall();
    let message = cause(tree.apply(&edit(1, changes), Revision(2)));
    assert!(message.contains(expected), "{message}");
}

#[test]
fn errors_on_a_name_of_an_author_without_end() {
    let mut tree = hall();
    let edit = Edit { author: "a".repeat(201), ..edit(1, vec![set("/hall", "queue", json!(7))]) };
    assert!(cause(tree.apply(&edit, Revision(2))).contains("201 bytes; at most 200"));
}

#[test]
fn errors_on_a_base_that_is_not_older() {
    let mut tree = hall();
    let future = edit(2, vec![set("/hall", "queue", json!(7))]);
    assert!(cause(tree.apply(&future, Revision(2))).contains("not before 2"));
}

#[test]
fn can_lay_changes_over_a_tree_that_has_some_of_them() {
    let tree = hall();
    let changes = [
        add("/hall", NodeKind::Branch),
        set("/hall", "service", json!("likhari")),
        clear("/hall", "queue"),
        remove("/annex"),
        set("/hall", "deadline", json!("9s")),
    ];
    let over = tree.overlay(&changes).expect("a valid tree");
    assert_eq!(diff(&tree, &over), [set("/hall", "deadline", json!("9s"))]);
}
