//! Tests of the parameters of token buckets.

use proptest::prelude::*;

use super::*;

proptest! {
    /// The capacity and the refill within a window, including loans in transit, stay within what the limit allows.
    #[test]
    fn no_window_gives_more_than_the_limit_allows(
        rate in 1.0..1e6_f64,
        burst in 0.0..1e6_f64,
        overshoot in 0.0..0.5_f64,
        slack in 0.0..1e5_f64,
        seconds in 1_u64..60,
    ) {
        let limit = Limit { rate, burst };
        let bounds = Bounds { window: Duration::from_secs(seconds), overshoot, slack };
        let spec = BucketSpec::new(limit, bounds);
        let max = spec.capacity + spec.refill_rate * (bounds.window + LOAN_TIMEOUT).as_secs_f64();
        prop_assert!(max <= bounds.allowed(limit) * 0.951);
        prop_assert!(spec.capacity > 0.0 && spec.refill_rate > 0.0 && spec.refill_rate <= rate);
    }

    /// A workspace that stays at its permitted rate is not refused permanently.
    #[test]
    fn refills_at_the_full_rate_where_the_bounds_allow_it(rate in 1.0..1e6_f64) {
        let limit = Limit { rate, burst: rate };
        let bounds = Bounds { window: Duration::from_secs(8), overshoot: 0.1, slack: 17_000.0 };
        prop_assert!(BucketSpec::new(limit, bounds).refill_rate >= rate * 0.99);
    }
}
