use super::{ModelName, NodePath, ParseIdError};

#[test]
fn a_path_has_a_parent_and_children() {
    let path: NodePath = "/press/likhari/page-text".parse().expect("a path");
    assert_eq!(path.name(), "page-text");
    let branch = path.parent().expect("a parent");
    assert_eq!(branch.as_str(), "/press/likhari");
    assert_eq!(NodePath::root().child("press").expect("a child").as_str(), "/press");
    assert_eq!("/press".parse::<NodePath>().expect("a path").parent(), Some(NodePath::root()));
    assert_eq!(NodePath::root().parent(), None);
}

#[test]
fn a_character_that_is_not_allowed_is_an_error() {
    let err = "page text".parse::<ModelName>().expect_err("a space");
    assert!(matches!(err, ParseIdError::Character { found: ' ', .. }), "{err}");
    assert_eq!("".parse::<ModelName>(), Err(ParseIdError::Empty { kind: "model name" }));
}
