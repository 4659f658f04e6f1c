//! Tests of the queue in which a request waits.

use rstest::rstest;

use super::*;
use crate::software::fixture::Versions;

/// A begun stream would keep requests waiting that another version could serve, or not be waited for in turn where one version runs.
#[rstest]
#[case::one_version(&["v1", "v1"], true, None)]
#[case::several_versions(&["v1", "v2"], true, Some("v1"))]
#[case::of_any_version(&["v1", "v2"], false, None)]
#[tokio::test(start_paused = true)]
async fn a_begun_stream_has_a_queue_of_its_own_while_other_versions_serve(
    #[case] versions: &[&str],
    #[case] begun: bool,
    #[case] expected: Option<&str>,
) {
    let mut test = Versions::new(versions);
    let key = |test: &Versions| queue_key(&test.table, &test.needs(begun), &test.model);
    assert_eq!(key(&test).software.as_ref().map(|one| one.as_str()), expected);
    test.drain("i-1");
    assert_eq!(key(&test).software, None, "only v1 is left");
}
