//! Tests of `hyssopctl limits`.

use rstest::rstest;
use units::Rate;

use super::*;

#[rstest]
#[case::requests_may_be_sent(0, "  i-1: 1.5/s from all routers\n")]
#[case::used_up(640, "  i-1: 1.5/s from all routers; none from this one for 640 ms\n")]
fn shows_the_limit_and_how_long_this_router_sends_nothing(
    #[case] pause_ms: u64,
    #[case] expected: &str,
) {
    let endpoint = "i-1".parse().expect("an id");
    let limit = EndpointRateLimit { endpoint, limit: Rate(1.5), pause_ms };
    let mut out = Vec::new();
    show(&limit, &mut out).expect("written");
    assert_eq!(String::from_utf8_lossy(&out), expected);
}
