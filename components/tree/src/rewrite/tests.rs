use std::path::Path;

use rstest::rstest;

use super::rewrite;
use crate::{diff, parse, with_revision};

const TEXT: &str = r#"// The Press.
{
  "settings": { "service": "likhari" }, // For all.
  "children": {
    // Teachers wait here.
    "hall": {
      "settings": {
        "deadline": "9s", // As agreed in March.
        "queue": 8,
      },
      "children": {
        "page-text": { "kind": "model" },
        /* Rarely used. */
        "page-rhymes": { "kind": "model" },
      },
    },
  },
}
"#;

/// Parts of the text become others; the comments stay and the result says the same.
#[rstest]
#[case::a_value(&[("\"9s\"", "\"7s\"")], &["As agreed in March.", "Rarely used."])]
#[case::a_setting_less(&[("\"queue\": 8,", "")], &["As agreed in March."])]
#[case::a_setting_more(
    &[("{ \"kind\": \"model\" },\n        /*", "{ \"kind\": \"model\", \"settings\": { \"queue\": 3 } },\n        /*")],
    &["Rarely used."]
)]
#[case::a_node_more(
    &[("/* Rarely", "\"page-titles\": { \"kind\": \"model\", \"children\": { \"urdu\": { \"kind\": \"adapter\" } } },\n/* Rarely")],
    &["Teachers wait here.", "As agreed in March."]
)]
#[case::a_node_less(&[("\"page-text\": { \"kind\": \"model\" },", "")], &["Rarely used."])]
#[case::a_list(
    &[("\"queue\": 8", "\"windows\": [{ \"opens\": \"monthly last 08:00\", \"lasts\": \"1h\", \"zone\": \"UTC\", \"replicas\": 1 }]")],
    &["As agreed in March."]
)]
fn can_keep_comments(#[case] edits: &[(&str, &str)], #[case] comments: &[&str]) {
    let file = Path::new("tree.jsonc");
    let wanted = edits.iter().fold(TEXT.to_owned(), |text, (from, to)| {
        assert!(text.contains(from), "{from}");
        text.replace(from, to)
    });
    let (from, to) = (parse(file, TEXT).expect("a tree"), parse(file, &wanted).expect("a tree"));
    let changes = diff(&from.tree, &to.tree);
    let text = rewrite(TEXT, &changes).expect("a place for each change");
    let back = parse(file, &with_revision(&text, units::Revision(3))).expect("a tree");
    assert_eq!(diff(&back.tree, &to.tree), [], "{text}");
    for comment in ["// The Press.", "// For all."].iter().chain(comments) {
        assert!(text.contains(comment), "{text}");
    }
}

#[test]
fn errors_on_a_change_without_a_place() {
    let change = crate::Change::Remove { path: "/annex".parse().expect("a path") };
    assert_eq!(rewrite(TEXT, &[change]), None);
}
