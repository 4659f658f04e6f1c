use std::time::Duration;

use edge::CacheTier;
use rstest::rstest;
use units::Size;

use super::{Average, LoadTimes, Wait};

#[test]
fn learns_slowly() {
    let mut average = Average::default();
    assert_eq!(average.get(), None);
    average.add(Duration::from_secs(4));
    average.add(Duration::from_secs(8));
    assert_eq!(average.get(), Some(Duration::from_secs(5)));
}

#[test]
fn learns_loads_by_tier() {
    let mut times = LoadTimes::default();
    let size = Size::gib(8);
    assert_eq!(times.get(CacheTier::Remote, size), Duration::ZERO);
    times.add(CacheTier::Disk, size, Duration::from_secs(3));
    assert_eq!(times.get(CacheTier::Remote, size), Duration::from_secs(3));
    times.add(CacheTier::Remote, size, Duration::from_secs(20));
    assert_eq!(times.get(CacheTier::Remote, size), Duration::from_secs(20));
    assert_eq!(times.get(CacheTier::Disk, size), Duration::from_secs(3));
    assert_eq!(times.get(CacheTier::Memory, size), Duration::ZERO);
}

#[rstest]
#[case(0, 0, 0)]
#[case(0, 3, 0)]
#[case(0, 4, 500)]
#[case(4, 4, 2500)]
fn estimates_by_rounds_of_the_batch(
    #[case] ahead: usize,
    #[case] running: usize,
    #[case] millis: u64,
) {
    let service = Duration::from_secs(2);
    let wait = Wait { load: Duration::ZERO, ahead, running, batch: 4, service: Some(service) };
    assert_eq!(wait.estimate(), Duration::from_millis(millis));
}

#[test]
fn can_tell_the_load_from_the_wait_behind_others() {
    let load = Duration::from_secs(20);
    let alone = Wait { load, ahead: 0, running: 0, batch: 4, service: None };
    assert_eq!((alone.estimate(), alone.behind()), (load, Duration::ZERO));
    let crowd = Wait { ahead: 11, ..alone };
    assert_eq!(
        (crowd.estimate(), crowd.behind()),
        (load, Duration::from_secs(2)),
        "a guess wakes, but refuses nobody"
    );
}

#[test]
fn expects_a_small_model_to_load_sooner_than_a_large_one() {
    let mut times = LoadTimes::default();
    times.add(CacheTier::Remote, Size::gib(24), Duration::from_secs(12));
    assert_eq!(times.get(CacheTier::Remote, Size::gib(4)), Duration::from_secs(2));
    assert_eq!(
        times.get(CacheTier::Remote, Size::gib(48)),
        Duration::from_secs(12),
        "not more than was seen"
    );
}
