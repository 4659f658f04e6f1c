//! Tests of the idle timeout of connections.

use http::HeaderValue;
use rstest::rstest;

use super::*;

#[rstest]
#[case::not_stated(&[], DEFAULT_IDLE_TIMEOUT)]
#[case::stated(&[("keep-alive", "timeout=4, max=10")], Duration::from_secs(3))]
#[case::too_long_to_compute(&[("keep-alive", "timeout=18446744073709551615")], Duration::from_secs(2_700))]
#[case::closing(&[("keep-alive", "timeout=4"), ("connection", "Close")], Duration::ZERO)]
fn keeps_a_connection_no_longer_than_the_server_states(
    #[case] headers: &[(&'static str, &'static str)],
    #[case] expected: Duration,
) {
    let headers: HeaderMap = headers
        .iter()
        .map(|(name, value)| ((*name).parse().expect("a name"), HeaderValue::from_static(value)))
        .collect();
    assert_eq!(idle_timeout(&headers), expected);
}
