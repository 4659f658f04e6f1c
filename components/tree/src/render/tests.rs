use std::path::Path;

use rstest::rstest;
use units::Revision;

use crate::{diff, parse};

const PRESS: &str = include_str!("../../../../examples/press-karachi-south.jsonc");
const TRUST: &str = include_str!("../../../../examples/trust-khomas.jsonc");

#[rstest]
#[case(PRESS)]
#[case(TRUST)]
fn can_read_back_what_it_writes(#[case] text: &str) {
    let tree = parse(Path::new("in.jsonc"), text).expect("an example").tree;
    let written = tree.render(Some(Revision(7)));
    let back = parse(Path::new("out.jsonc"), &written).expect("a rendered tree");
    assert_eq!(back.revision, Some(Revision(7)));
    assert_eq!(back.tree, tree);
    assert_eq!(diff(&tree, &back.tree), []);
}

#[test]
fn can_write_small_nodes_on_one_line() {
    let text = r#"{"settings": {"queue": 3}, "children": {"a": {}, "b": {"kind": "service",
        "settings": {"service": "darwaza"}}}}"#;
    let tree = parse(Path::new("in.jsonc"), text).expect("a tree").tree;
    let expected = r#"{
  "settings": {
    "queue": 3,
  },
  "children": {
    "a": {},
    "b": { "kind": "service", "settings": { "service": "darwaza" } },
  },
}
"#;
    assert_eq!(tree.render(None), expected);
}
