use jiff::Timestamp;
use rstest::rstest;
use tree::Window;
use units::Span;

use super::Closing;

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
fn can_ask_for_replicas_around_an_opening(#[case] now: &str, #[case] open: u32, #[case] near: u32) {
    let windows = [window("monthly last 08:00", 3), window("monthly 5 08:00", 2)];
    let now: Timestamp = now.parse().expect("a time");
    let closing = Closing::at(&windows, now);
    assert_eq!((closing.open, closing.near), (open, near));
    assert!(closing.opens.is_some_and(|opens| opens > now));
}

#[test]
fn can_have_no_window() {
    assert_eq!(Closing::at(&[], Timestamp::UNIX_EPOCH), Closing::default());
}
