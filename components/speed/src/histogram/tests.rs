//! Tests of the histogram of times.

use rstest::rstest;

use super::*;

#[rstest]
#[case::shorter_than_all(3, 256)]
#[case::first(256, 256)]
#[case::short(1_023, 1_023)]
#[case::usual(40_000, 40_000)]
#[case::long(2_500_000, 2_500_000)]
#[case::longer_than_all(60_000_000, (1 << MAX_EXPONENT) - 1)]
fn a_time_lies_within_its_bucket(#[case] micros: u64, #[case] counted: u64) {
    let (start, width) = bounds(bucket(Duration::from_micros(micros)));
    let counted = Duration::from_micros(counted);
    assert!(start <= counted && counted < start + width, "{start:?} {width:?}");
    assert!(width <= start / 8);
}

#[test]
fn a_quarter_of_the_events_is_below_the_first_quartile() {
    let mut histogram = Histogram::default();
    assert_eq!(histogram.first_quartile(), None);
    histogram.record(Duration::from_millis(100), 70);
    histogram.record(Duration::from_millis(40), 30);
    let quartile = histogram.first_quartile().expect("events").as_secs_f64();
    assert!((0.038..0.043).contains(&quartile), "{quartile}");
    histogram.record(Duration::from_millis(100), 60);
    let quartile = histogram.first_quartile().expect("events").as_secs_f64();
    assert!((0.093..0.107).contains(&quartile), "{quartile}");
}
