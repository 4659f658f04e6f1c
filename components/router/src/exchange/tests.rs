//! Tests of how long connections are kept.

use http::HeaderValue;
use rstest::rstest;

use super::*;

#[rstest]
#[case::not_stated(&[], UNSTATED)]
#[case::stated(&[("keep-alive", "timeout=4, max=10")], Duration::from_secs(3))]
#[case::closing(&[("keep-alive", "timeout=4"), ("connection", "Close")], Duration::ZERO)]
fn keeps_a_connection_as_long_as_the_server_does(
    #[case] headers: &[(&'static str, &'static str)],
    #[case] kept: Duration,
) {
    let headers: HeaderMap = headers
        .iter()
        .map(|(name, value)| ((*name).parse().expect("a name"), HeaderValue::from_static(value)))
        .collect();
    assert_eq!(kept_for(&headers), kept);
}
