//! Tests of the separation of endpoints and models.

use super::*;

/// Observations of models at endpoints, given as time factor of the endpoint and time of the model.
fn observe(times: &[(usize, f64, usize, f64)]) -> Vec<Observation> {
    let observation = |(endpoint, factor, model, time): &(usize, f64, usize, f64)| Observation {
        endpoint: *endpoint,
        model: *model,
        log_gap: (factor * time).ln(),
    };
    times.iter().map(observation).collect()
}

fn factors(observations: &[Observation], endpoints: usize, models: usize) -> Vec<Option<f64>> {
    let effects = fit(observations, endpoints, models);
    effects.into_iter().map(|effect| effect.map(f64::exp)).collect()
}

fn assert_near(factors: &[Option<f64>], expected: &[Option<f64>]) {
    assert_eq!(factors.len(), expected.len());
    for (factor, expected) in factors.iter().zip(expected) {
        let near = match (factor, expected) {
            (Some(factor), Some(expected)) => (factor / expected - 1.0).abs() < 0.05,
            (factor, expected) => factor == expected,
        };
        assert!(near, "{factors:?}");
    }
}

/// Guards against taking a slow model for a slow endpoint.
#[test]
fn models_of_different_speed_do_not_change_the_factors() {
    let seen = observe(&[
        (0, 0.7, 0, 0.02),
        (0, 0.7, 1, 0.08),
        (1, 0.7, 0, 0.02),
        (1, 0.7, 2, 0.04),
        (2, 1.7, 1, 0.08),
        (2, 1.7, 2, 0.04),
    ]);
    let expected = [Some(1.0), Some(1.0), Some(1.7 / 0.7)];
    assert_near(&factors(&seen, 3, 3), &expected);
}

#[test]
fn an_endpoint_whose_models_run_nowhere_else_is_unknown() {
    let seen = observe(&[(0, 1.0, 0, 0.02), (1, 1.0, 0, 0.02), (2, 1.7, 1, 0.02)]);
    assert_near(&factors(&seen, 4, 2), &[Some(1.0), Some(1.0), None, None]);
}

#[test]
fn a_model_that_runs_nowhere_else_does_not_hide_the_speed_of_its_endpoint() {
    let seen = observe(&[
        (0, 1.0, 0, 0.02),
        (1, 1.0, 0, 0.02),
        (2, 2.0, 0, 0.02),
        (2, 2.0, 1, 0.09),
        (2, 2.0, 2, 0.01),
    ]);
    assert_near(&factors(&seen, 3, 3), &[Some(1.0), Some(1.0), Some(2.0)]);
}

/// Guards against a rare wrong time that makes its endpoint seem slow.
#[test]
fn one_wrong_time_among_three_models_changes_little() {
    let mut seen = Vec::new();
    for endpoint in 0..5 {
        for model in 0..3 {
            let factor = if (endpoint, model) == (4, 2) { 2.5 } else { 1.0 };
            seen.extend(observe(&[(endpoint, factor, model, 0.02)]));
        }
    }
    assert_near(&factors(&seen, 5, 3), &[Some(1.0); 5]);
}
