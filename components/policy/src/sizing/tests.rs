use rstest::rstest;

use super::{Forecast, ReplicaBounds, target_replicas};

const BOUNDS: ReplicaBounds = ReplicaBounds { min: 1, max: 4, batch: 8, current: 2 };

#[rstest]
#[case::minimum(Forecast::default(), 1, "replicas-least")]
#[case::window(Forecast { window_replicas: 3, ..Forecast::default() }, 3, "closing window")]
#[case::demand(Forecast { request_rate: 2.5, ..Forecast::default() }, 2, "demand")]
#[case::refused(Forecast { refused: true, ..Forecast::default() }, 3, "requests were refused")]
#[case::recent_peak(Forecast { recent_peak: 2, ..Forecast::default() }, 2, "demand was higher lately")]
#[case::above_the_maximum(Forecast { request_rate: 100.0, ..Forecast::default() }, 4, "demand")]
fn the_greatest_demand_sets_the_target_within_the_maximum(
    #[case] forecast: Forecast,
    #[case] replicas: u32,
    #[case] reason: &str,
) {
    let target = target_replicas(&BOUNDS, &forecast);
    assert_eq!((target.replicas, target.reason), (replicas, reason));
}

#[rstest]
#[case::never_used(0.0, 0)]
#[case::not_used_for_long(1e-6, 0)]
#[case::used_a_little(0.001, 1)]
fn an_idle_model_needs_no_replicas(#[case] rate: f64, #[case] replicas: u32) {
    let bounds = ReplicaBounds { min: 0, ..BOUNDS };
    assert_eq!(
        target_replicas(&bounds, &Forecast { request_rate: rate, ..Forecast::default() }).replicas,
        replicas
    );
}
