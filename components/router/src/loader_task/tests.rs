//! Tests of how loaders are asked.

use super::*;

#[test]
fn all_loaders_together_are_asked_a_bounded_number_of_times_a_second() {
    assert_eq!(poll_wait(0), WAIT);
    assert_eq!(poll_wait(38), WAIT);
    assert_eq!(poll_wait(200), Duration::from_secs(5));
    assert_eq!(poll_wait(2_600), LONGEST_WAIT);
}
