use std::time::Duration;

use super::Gaps;

const fn secs(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn gaps(all: &[u64]) -> Gaps {
    let mut gaps = Gaps::default();
    all.iter().for_each(|gap| gaps.add(secs(*gap)));
    gaps
}

#[test]
fn quantiles_separate_short_and_long_gaps() {
    let gaps = gaps(&[2, 2, 2, 2, 2, 2, 2, 2, 2, 4000]);
    assert_eq!(gaps.quantile(0.9), Some(secs(2)));
    assert!(gaps.quantile(0.95).is_some_and(|gap| gap >= secs(4000)));
    assert_eq!(Gaps::default().quantile(0.9), None);
}

#[test]
fn the_fraction_ending_soon_depends_on_the_idle_time() {
    let gaps = gaps(&[2, 2, 60, 60, 4000, 4000]);
    assert!(gaps.fraction_ending(secs(10), secs(100)) > 0.4);
    assert!(gaps.fraction_ending(secs(200), secs(300)) < 0.01);
    assert!(gaps.fraction_ending(secs(80_000), secs(90_000)) < 0.01);
}

#[test]
fn old_gaps_lose_weight() {
    let mut gaps = gaps(&[2; 200]);
    (0..1000).for_each(|_| gaps.add(secs(4000)));
    assert!(gaps.count() < 256);
    assert!(gaps.quantile(0.1).is_some_and(|gap| gap >= secs(4000)));
}
