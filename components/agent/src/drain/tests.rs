use std::time::Duration;

use rstest::rstest;

use super::{LIST_RATE, LISTED_BYTES, list_pause};

#[rstest]
#[case::press_today(19, 5)]
#[case::two_years_on(2970, 700)]
fn can_read_a_long_list_seldom(#[case] instances: u32, #[case] most: u64) {
    for _ in 0..100 {
        let pause = list_pause(instances as usize);
        assert!(pause >= Duration::from_millis(750), "{pause:?}");
        assert!(pause <= Duration::from_secs(most), "{pause:?}");
        let rate = f64::from(instances * LISTED_BYTES) / pause.as_secs_f64();
        assert!(rate < f64::from(LIST_RATE) * 1.4, "{rate}");
    }
}
