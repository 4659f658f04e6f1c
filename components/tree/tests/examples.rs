//! The example trees validate and have the sizes of today.

use std::path::{Path, PathBuf};

use rstest::rstest;
use tree::{NodeKind, Tree};

fn example(name: &str) -> Tree {
    let file: PathBuf = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(name);
    let text = std::fs::read_to_string(&file).expect("an example");
    tree::parse(&file, &text).unwrap_or_else(|error| panic!("{error}")).tree
}

#[rstest]
#[case("press-karachi-south.jsonc", 70, 64, "darwaza", "POST /proofs")]
#[case("trust-khomas.jsonc", 100, 96, "desk-app", "POST /badges")]
fn can_validate_the_examples(
    #[case] file: &str,
    #[case] models: usize,
    #[case] adapters: usize,
    #[case] service: &str,
    #[case] call: &str,
) {
    let tree = example(file);
    let count = |kind| tree.leaves().iter().filter(|leaf| leaf.kind == kind).count();
    assert_eq!((count(NodeKind::Model), count(NodeKind::Adapter)), (models, adapters));
    let leaf = tree.service(&service.parse().expect("a name")).expect("a service");
    assert!(leaf.settings.not_repeatable.iter().any(|route| route == call));
}
