use units::{NodePath, Revision};

use crate::{Change, Edit, NodeKind, Tree};

fn path(text: &str) -> NodePath {
    text.parse().expect("a path")
}

#[test]
fn can_say_where_each_setting_comes_from() {
    let mut tree = Tree::default();
    let set = |at: &str, name: &str, value: &str| Change::Set {
        path: path(at),
        setting: name.parse().expect("a setting"),
        value: value.into(),
    };
    let add = |at: &str, kind| Change::Add { path: path(at), kind };
    let edits = [
        vec![add("/hall", NodeKind::Branch), set("/hall", "service", "likhari")],
        vec![add("/hall/page-text", NodeKind::Model), set("/hall/page-text", "deadline", "9s")],
    ];
    for (revision, changes) in (1..).zip(edits) {
        let id = format!("edit-{revision}").parse().expect("an id");
        let edit = Edit { id, author: "asma".into(), base: Revision(revision - 1), changes };
        tree.apply(&edit, Revision(revision)).expect("a valid edit");
    }
    let rows = tree.explain(&path("/hall/page-text")).expect("a node");
    let source = |name: &str| {
        let row = rows.iter().find(|row| row.setting == name).expect("a row");
        (row.value.to_string(), row.from.as_ref().map(ToString::to_string), row.revision.0)
    };
    assert_eq!(source("service"), ("\"likhari\"".into(), Some("/hall".into()), 1));
    assert_eq!(source("deadline"), ("\"9s\"".into(), Some("/hall/page-text".into()), 2));
    assert_eq!(source("queue"), ("64".into(), None, 0));
    assert!(tree.explain(&path("/hall/other")).is_none());
}
