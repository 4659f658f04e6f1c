use std::path::Path;
use std::time::Duration;

use rstest::rstest;

use super::{Arrival, arrivals};
use crate::experiment::Experiment;

fn experiment(shape: &str, seed: u64) -> Experiment {
    let text = format!(
        r#"{{
          "deployment": "press",
          "scale": {{ "engines": 2, "services": 1, "entries": 1 }},
          "seed": {seed},
          "lasts": "100s",
          "loads": [{{
            "name": "load",
            "shape": {shape},
            "class": "interactive",
            "deadline": "5s",
            "target": {{ "models": {{ "names": ["a", "b", "c"], "skew": 1.0, "tokens": 4 }} }}
          }}]
        }}"#
    );
    process::parse_settings(Path::new("test.jsonc"), &text).expect("a right experiment")
}

const STEADY: &str = r#"{ "steady": { "rate": "10/s" } }"#;

fn within(all: &[Arrival], from: u64, to: u64) -> usize {
    let period = Duration::from_secs(from)..Duration::from_secs(to);
    all.iter().filter(|arrival| period.contains(&arrival.at)).count()
}

#[test]
fn can_repeat_a_trace_from_its_seed() {
    assert_eq!(arrivals(&experiment(STEADY, 1)), arrivals(&experiment(STEADY, 1)));
    assert_ne!(arrivals(&experiment(STEADY, 1)), arrivals(&experiment(STEADY, 2)));
}

#[test]
fn can_arrive_at_the_rate_asked_for_and_mostly_at_the_first_model() {
    let all = arrivals(&experiment(STEADY, 1));
    assert!((900..1100).contains(&all.len()), "{}", all.len());
    let of = |model| all.iter().filter(|arrival| arrival.model == model).count();
    assert!(of(0) > of(1) && of(1) > of(2) && of(2) > 0);
}

#[rstest]
#[case::month_end(r#"{ "month-end": { "base": "1/s", "peak": "20/s" } }"#, (0, 20), (80, 100))]
#[case::term_close(
    r#"{ "term-close": { "base": "1/s", "peak": "20/s", "closes": "60s" } }"#, (60, 80), (40, 60)
)]
#[case::idle_tail(r#"{ "idle-tail": { "rate": "20/s", "half": "20s" } }"#, (80, 100), (0, 20))]
fn can_follow_a_shape(#[case] shape: &str, #[case] few: (u64, u64), #[case] many: (u64, u64)) {
    let all = arrivals(&experiment(shape, 1));
    assert!(within(&all, few.0, few.1) * 4 < within(&all, many.0, many.1));
}

#[test]
fn can_wake_the_models_in_turn() {
    let shape = r#"{ "wake-burst": { "count": 5, "spread": "1s", "every": "30s" } }"#;
    let all = arrivals(&experiment(shape, 1));
    assert_eq!(all.len(), 20);
    let models: Vec<usize> = all.chunks(5).map(|wave| wave[0].model).collect();
    assert_eq!(models, [0, 1, 2, 0]);
    assert_eq!(within(&all, 30, 31), 5);
}
