use rstest::rstest;

use super::{Bounds, Forecast, wanted};

const BOUNDS: Bounds = Bounds { least: 1, most: 4, batch: 8, now: 2 };

#[rstest]
#[case::least(Forecast::default(), 1, "replicas-least")]
#[case::window(Forecast { window: 3, ..Forecast::default() }, 3, "closing window")]
#[case::demand(Forecast { rate: 2.5, ..Forecast::default() }, 2, "demand")]
#[case::refused(Forecast { refused: true, ..Forecast::default() }, 3, "requests were refused")]
#[case::lately(Forecast { lately: 2, ..Forecast::default() }, 2, "demand was higher lately")]
#[case::over_the_bound(Forecast { rate: 100.0, ..Forecast::default() }, 4, "demand")]
fn can_size_a_model(#[case] forecast: Forecast, #[case] replicas: u32, #[case] reason: &str) {
    let wanted = wanted(&BOUNDS, &forecast);
    assert_eq!((wanted.replicas, wanted.reason), (replicas, reason));
}

#[rstest]
#[case::never_used(0.0, 0)]
#[case::not_used_for_long(1e-6, 0)]
#[case::used_a_little(0.001, 1)]
fn can_want_nothing_of_an_idle_model(#[case] rate: f64, #[case] replicas: u32) {
    let bounds = Bounds { least: 0, ..BOUNDS };
    assert_eq!(wanted(&bounds, &Forecast { rate, ..Forecast::default() }).replicas, replicas);
}
