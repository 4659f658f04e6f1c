use jiff::Timestamp;
use jiff::tz::TimeZone;
use rstest::rstest;
use units::Span;

use super::Opening;
use crate::Window;

fn window(opens: &str, zone: &str) -> Window {
    Window { opens: opens.to_owned(), lasts: Span::secs(3600), zone: zone.to_owned(), replicas: 1 }
}

fn at(text: &str) -> Timestamp {
    text.parse().expect("a timestamp")
}

#[rstest]
#[case::later_this_month(
    "monthly 25 08:00",
    "Asia/Karachi",
    "2026-12-02T00:00:00Z",
    "2026-12-25T03:00:00Z"
)]
#[case::next_month_when_it_has_passed(
    "monthly 25 08:00",
    "Asia/Karachi",
    "2026-12-25T03:00:00Z",
    "2027-01-25T03:00:00Z"
)]
#[case::the_month_in_its_own_zone(
    "monthly 1 00:30",
    "Pacific/Auckland",
    "2026-12-30T12:00:00Z",
    "2026-12-31T11:30:00Z"
)]
#[case::last_of_february(
    "monthly last 08:00",
    "Africa/Windhoek",
    "2027-02-01T00:00:00Z",
    "2027-02-28T06:00:00Z"
)]
#[case::last_of_february_in_a_leap_year(
    "monthly last 08:00",
    "Africa/Windhoek",
    "2028-02-01T00:00:00Z",
    "2028-02-29T06:00:00Z"
)]
#[case::the_31st_of_a_short_month(
    "monthly 31 08:00",
    "UTC",
    "2026-11-01T00:00:00Z",
    "2026-11-30T08:00:00Z"
)]
#[case::next_year("yearly 03-31 08:00", "UTC", "2026-04-01T00:00:00Z", "2027-03-31T08:00:00Z")]
#[case::leap_day_of_a_common_year(
    "yearly 02-29 08:00",
    "UTC",
    "2026-12-01T00:00:00Z",
    "2027-02-28T08:00:00Z"
)]
#[case::across_the_year(
    "monthly last 23:59",
    "UTC",
    "2026-12-31T23:59:00Z",
    "2027-01-31T23:59:00Z"
)]
#[case::winter_time(
    "monthly 15 08:00",
    "Europe/Berlin",
    "2026-01-20T00:00:00Z",
    "2026-02-15T07:00:00Z"
)]
#[case::summer_time(
    "monthly 15 08:00",
    "Europe/Berlin",
    "2026-07-01T00:00:00Z",
    "2026-07-15T06:00:00Z"
)]
#[case::an_hour_that_is_skipped(
    "once 2026-03-29T02:30",
    "Europe/Berlin",
    "2026-03-01T00:00:00Z",
    "2026-03-29T01:30:00Z"
)]
#[case::the_first_of_an_hour_that_comes_twice(
    "once 2026-10-25T02:30",
    "Europe/Berlin",
    "2026-10-01T00:00:00Z",
    "2026-10-25T00:30:00Z"
)]
#[case::once(
    "once 2026-12-31T08:00",
    "Asia/Karachi",
    "2026-12-02T00:00:00Z",
    "2026-12-31T03:00:00Z"
)]
fn can_find_the_next_opening(
    #[case] opens: &str,
    #[case] zone: &str,
    #[case] after: &str,
    #[case] expected: &str,
) {
    assert_eq!(window(opens, zone).next_opening(at(after)), Some(at(expected)));
}

#[test]
fn can_end_after_a_window_that_opens_once() {
    let once = window("once 2026-12-31T08:00", "UTC");
    assert_eq!(once.next_opening(at("2026-12-31T08:00:00Z")), None);
}

#[test]
fn can_follow_openings_through_both_clock_changes_of_a_year() {
    let month_ends = window("monthly last 08:00", "Europe/Berlin");
    let first = at("2026-01-01T00:00:00Z");
    let openings = std::iter::successors(Some(first), |after| month_ends.next_opening(*after));
    let hours: Vec<i8> =
        openings.skip(1).take(12).map(|at| TimeZone::UTC.to_datetime(at).hour()).collect();
    assert_eq!(hours, [7, 7, 6, 6, 6, 6, 6, 6, 6, 7, 7, 7]);
}

#[rstest]
#[case("2026-12-31T07:59:59Z", None)]
#[case("2026-12-31T08:00:00Z", Some("2026-12-31T08:00:00Z"))]
#[case("2026-12-31T08:59:59Z", Some("2026-12-31T08:00:00Z"))]
#[case("2026-12-31T09:00:00Z", None)]
fn can_tell_whether_it_is_open(#[case] now: &str, #[case] opened: Option<&str>) {
    let month_end = window("monthly last 08:00", "UTC");
    assert_eq!(month_end.open_at(at(now)), opened.map(at));
}

#[rstest]
#[case("monthly 0 08:00")]
#[case("monthly 32 08:00")]
#[case("monthly +5 08:00")]
#[case("monthly last 8:00")]
#[case("monthly last 24:00")]
#[case("yearly 02-30 08:00")]
#[case("yearly 13-01 08:00")]
#[case("once 2026-02-29T08:00")]
#[case("once 2026-02-28")]
#[case("daily 08:00")]
#[case("")]
fn errors_on_an_opening(#[case] text: &str) {
    assert!(Opening::parse(text).is_err());
}
