//! Tests of terms.

use proptest::prelude::*;

use super::*;

proptest! {
    /// All that stands ready, all that is on its way and all that is gained in a window is allowed in it.
    #[test]
    fn no_window_gives_more_than_is_allowed(
        rate in 1.0..1e6_f64,
        burst in 0.0..1e6_f64,
        overshoot in 0.0..0.5_f64,
        slack in 0.0..1e5_f64,
        seconds in 1_u64..60,
    ) {
        let limit = Limit { rate, burst };
        let bounds = Bounds { window: Duration::from_secs(seconds), overshoot, slack };
        let terms = BucketSpec::new(limit, bounds);
        let most = terms.capacity + terms.refill_rate * (bounds.window + LOAN_TIMEOUT).as_secs_f64();
        prop_assert!(most <= bounds.allowed(limit) * 0.951);
        prop_assert!(terms.capacity > 0.0 && terms.refill_rate > 0.0 && terms.refill_rate <= rate);
    }

    /// What a workspace may ask for a second is not refused for good.
    #[test]
    fn gains_the_whole_rate_where_the_bound_leaves_room(rate in 1.0..1e6_f64) {
        let limit = Limit { rate, burst: rate };
        let bounds = Bounds { window: Duration::from_secs(8), overshoot: 0.1, slack: 17_000.0 };
        prop_assert!(BucketSpec::new(limit, bounds).refill_rate >= rate * 0.99);
    }
}
