use jiff::Timestamp;
use rstest::rstest;
use tree::Window;
use units::Span;

use super::ClosingDemand;

fn window(opens: &str, replicas: u32) -> Window {
    let zone = "Asia/Karachi".to_owned();
    Window { opens: opens.to_owned(), lasts: Span::secs(3600), zone, replicas }
}

#[rstest]
#[case::long_before("2026-12-31T00:00:00Z", 0, 0)]
#[case::an_hour_before("2026-12-31T02:00:00Z", 0, 3)]
#[case::at_the_opening("2026-12-31T03:00:00Z", 3, 3)]
#[case::before_it_closes("2026-12-31T03:59:59Z", 3, 3)]
#[case::after_it_closed("2026-12-31T04:00:00Z", 0, 0)]
fn windows_require_replicas_around_their_openings(
    #[case] now: &str,
    #[case] open: u32,
    #[case] near: u32,
) {
    let windows = [window("monthly last 08:00", 3), window("monthly 5 08:00", 2)];
    let now: Timestamp = now.parse().expect("a time");
    let closing = ClosingDemand::at(&windows, now);
    assert_eq!((closing.open_replicas, closing.near_replicas), (open, near));
    assert!(closing.next_opening.is_some_and(|opens| opens > now));
}

#[test]
fn a_model_without_windows_requires_no_replicas() {
    assert_eq!(ClosingDemand::at(&[], Timestamp::UNIX_EPOCH), ClosingDemand::default());
}
