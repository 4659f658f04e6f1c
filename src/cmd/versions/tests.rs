//! Tests of `hyssopctl versions`.

use rstest::rstest;

use super::*;

/// An operator could not tell which version a refused stream was held to.
#[rstest]
#[case::one_version(false, "no keeper is told")]
#[case::several(true, "keepers are told of streams")]
fn shows_versions_with_their_endpoints_and_streams(#[case] told: bool, #[case] expected: &str) {
    let unknown = VersionUse { accepting: 1, ..VersionUse::default() };
    let software = Some("2.3.1".parse().expect("a version"));
    let known = VersionUse { software, accepting: 2, draining: 1, streams: 212 };
    let service = "llm".parse().expect("a name");
    let services = vec![ServiceVersions { service, told, versions: vec![unknown, known] }];
    let mut out = Vec::new();
    let router = ([10, 0, 0, 1], 8144).into();
    show(router, &VersionsReport { services }, &mut out).expect("written");
    let expected = format!(
        "10.0.0.1:8144: services with endpoints: 1\n  llm: {expected}\n    \
         version not known: 1 accepting, 0 draining, 0 streams\n    \
         2.3.1: 2 accepting, 1 draining, 212 streams\n"
    );
    assert_eq!(String::from_utf8_lossy(&out), expected);
}

/// One router that is down hid what the others know.
#[tokio::test]
async fn a_router_that_does_not_answer_is_named() {
    let mut out = Vec::new();
    let exit = list(&[([127, 0, 0, 1], 9).into()], &mut out).await.expect("listed");
    assert_eq!(exit, Exit::Lagging);
    assert!(out.starts_with(b"127.0.0.1:9: "), "{}", String::from_utf8_lossy(&out));
}
