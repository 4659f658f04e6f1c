use std::time::Duration;

use super::{Series, SeriesOrder};

const REQUEST_TIME: Duration = Duration::from_secs(10);

const fn series(queued: u64, deadline: u64, total: u32, started: u32) -> Series {
    Series {
        queued: Duration::from_secs(queued),
        deadline: Duration::from_secs(deadline),
        total,
        started,
    }
}

fn next(order: SeriesOrder, all: &[Series], now: u64) -> Option<usize> {
    order.next(all, Duration::from_secs(now), REQUEST_TIME)
}

#[test]
fn series_are_ordered_by_arrival_deadline_or_lag() {
    let all = [series(0, 1000, 10, 8), series(10, 900, 10, 9), series(20, 1100, 50, 2)];
    assert_eq!(next(SeriesOrder::Arrival, &all, 500), Some(0));
    assert_eq!(next(SeriesOrder::Edf, &all, 500), Some(1));
    assert_eq!(next(SeriesOrder::Lag, &all, 500), Some(2));
}

#[test]
fn series_without_requests_to_start_are_skipped() {
    let all = [series(0, 1000, 10, 10), series(10, 2000, 10, 1)];
    for order in [SeriesOrder::Arrival, SeriesOrder::Edf, SeriesOrder::Lag] {
        assert_eq!(next(order, &all, 500), Some(1));
        assert_eq!(next(order, &all[..1], 500), None);
    }
}

#[test]
fn a_series_near_its_deadline_lags_by_all_its_remaining_requests() {
    let late = series(0, 100, 10, 4);
    let other = series(0, 10_000, 500, 0);
    assert_eq!(next(SeriesOrder::Lag, &[late, other], 95), Some(0));
}
