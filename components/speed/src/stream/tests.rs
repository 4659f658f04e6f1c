//! Tests of the time per event of one stream.

use super::*;

fn gaps(arrivals: &[(u64, u32)]) -> Vec<(u64, u32)> {
    let start = Instant::now();
    let mut clock = StreamClock::default();
    let steps = arrivals
        .iter()
        .filter_map(|(at, events)| clock.record(*events, start + Duration::from_micros(*at)));
    steps.map(|step| (u64::try_from(step.gap.as_micros()).expect("small"), step.events)).collect()
}

#[test]
fn the_time_before_the_first_event_is_not_measured() {
    assert_eq!(gaps(&[(0, 1), (40_000, 1), (80_000, 1), (120_000, 1)]), [(40_000, 1), (40_000, 1)]);
}

/// Guards against gaps of almost no time, which would make an endpoint seem fast whose stream is read late.
#[test]
fn events_that_are_read_together_share_the_time_since_the_previous_ones() {
    let late = [(0, 1), (120_000, 1), (120_050, 1), (120_090, 1), (160_000, 1), (200_000, 1)];
    assert_eq!(gaps(&late), [(40_000, 3), (40_000, 1)]);
}

#[test]
fn several_events_in_one_chunk_share_the_time_since_the_previous_ones() {
    assert_eq!(gaps(&[(0, 1), (90_000, 3), (120_000, 1)]), [(30_000, 3)]);
}
