//! The reference page is the one that the table of settings makes.

#[test]
fn can_make_the_committed_reference_page() {
    let page = include_str!("../../../docs/SETTINGS.md");
    assert_eq!(tree::reference(), page, "run `hyssopctl reference > docs/SETTINGS.md`");
}
