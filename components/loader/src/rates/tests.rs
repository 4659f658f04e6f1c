//! Tests of the published rates.

use rstest::rstest;

use super::*;

fn current(rates: &[(&str, f64)]) -> Vec<(ModelName, f64)> {
    rates.iter().map(|(name, rate)| (name.parse().expect("a name"), *rate)).collect()
}

fn published(rates: &[(&str, f64)]) -> Vec<ModelRate> {
    current(rates).into_iter().map(|(model, per_s)| ModelRate { model, per_s }).collect()
}

/// Guards against a message to all routers for each request.
#[rstest]
#[case::appears(None, 1.0, true)]
#[case::single_request(None, 0.33, false)]
#[case::one_step(Some(8.0), 9.5, false)]
#[case::two_steps(Some(8.0), 11.4, true)]
#[case::one_step_less(Some(8.0), 6.8, false)]
#[case::two_steps_less(Some(8.0), 5.6, true)]
#[case::just_below_the_least(Some(1.0), 0.8, false)]
#[case::disappears(Some(1.0), 0.6, true)]
fn a_rate_is_published_by_itself_when_it_has_moved_by_two_steps(
    #[case] before: Option<f64>,
    #[case] rate: f64,
    #[case] expected: bool,
) {
    let published = before.map_or_else(Vec::new, |before| published(&[("a", before)]));
    assert_eq!(moved(current(&[("a", rate)]).into_iter(), &published), expected);
}

#[test]
fn a_model_that_is_not_held_any_more_is_left_out_without_a_message_of_its_own() {
    let before = published(&[("a", 4.0), ("b", 8.0)]);
    let held = || current(&[("b", 8.1)]).into_iter();
    assert!(!moved(held(), &before));
    assert_eq!(rounded(held(), &before), published(&[("b", 8.0)]));
}

#[rstest]
fn published_rates_are_within_a_tenth(#[values(1.0, 1.37, 2.2, 9.7, 41.0, 333.0)] rate: f64) {
    let shown = rounded(current(&[("a", rate)]).into_iter(), &[]);
    let ratio = shown[0].per_s / rate;
    assert!((0.91..1.1).contains(&ratio), "{ratio}");
    let step = shown[0].per_s.log2() * 4.0;
    assert!((step - step.round()).abs() < 1e-9);
}

#[test]
fn the_messages_for_rates_do_not_grow_with_the_routers() {
    assert_eq!(publication_interval(3), Duration::from_millis(500));
    assert_eq!(publication_interval(370), Duration::from_millis(7_400));
}
