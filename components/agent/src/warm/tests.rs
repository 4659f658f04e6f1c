use std::time::Duration;

use jiff::Timestamp;
use tokio::time::advance;
use tree::Settings;
use units::Span;

use super::Warmth;
use crate::replica::Limits;

const RELOAD: Duration = Duration::from_secs(10);

fn limits(cold_weight: f64) -> Limits {
    let keep_warm = Span::secs(300);
    Limits::from(&Settings { keep_warm, cold_weight, idle_weight: 1.0, ..Settings::default() })
}

async fn gaps(warmth: &mut Warmth, seconds: u64, count: usize) {
    for _ in 0..count {
        warmth.rests();
        advance(Duration::from_secs(seconds)).await;
        warmth.came();
    }
}

#[tokio::test(start_paused = true)]
async fn can_stay_as_long_as_a_cold_start_is_worth() {
    let warmth = Warmth::default();
    assert_eq!(warmth.stay(&limits(10.0), RELOAD), Duration::from_secs(100));
    assert_eq!(warmth.stay(&limits(100.0), RELOAD), Duration::from_secs(300));
    assert_eq!(warmth.stay(&limits(0.0), RELOAD), Duration::from_secs(5));
    assert_eq!(warmth.stay(&limits(0.0), Duration::ZERO), Duration::from_secs(300));
}

#[tokio::test(start_paused = true)]
async fn can_learn_from_its_own_gaps() {
    let mut often = Warmth::default();
    gaps(&mut often, 20, 10).await;
    let stay = often.stay(&limits(10.0), RELOAD);
    assert!((20..30).contains(&stay.as_secs()), "{stay:?}");
    let mut rarely = Warmth::default();
    gaps(&mut rarely, 7200, 10).await;
    assert_eq!(rarely.stay(&limits(10.0), RELOAD), Duration::from_secs(5));
}

#[test]
fn can_be_due_once_for_each_opening() {
    let at = |seconds| Timestamp::from_second(seconds).ok();
    let mut warmth = Warmth::default();
    warmth.hold(at(1000), false);
    assert!(warmth.is_due() && warmth.is_held());
    warmth.hold(at(1000), true);
    warmth.hold(at(1000), false);
    assert!(!warmth.is_due(), "it was loaded and gave way");
    warmth.hold(None, false);
    assert!(!warmth.is_held());
    warmth.hold(at(2000), false);
    assert!(warmth.is_due());
}
