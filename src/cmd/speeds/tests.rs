//! Tests of `hyssopctl speeds`.

use control::{ServiceEvenness, StepTime};
use rstest::rstest;

use super::*;

#[rstest]
#[case::known(Some(1.7), "1.70 times the median, used as 1.00; 412 events, the last 250 ms ago")]
#[case::unknown(None, "not known yet; 412 events, the last 250 ms ago")]
fn shows_factors_and_what_they_were_measured_from(
    #[case] factor: Option<f64>,
    #[case] expected: &str,
) {
    let service: units::ServiceName = "llm".parse().expect("a service");
    let model = "m".parse().expect("a name");
    let endpoint = EndpointSpeedReport {
        endpoint: "i-1".parse().expect("an id"),
        service: service.clone(),
        factor,
        used: 1.0,
        events: 412,
        age_ms: 250,
        models: vec![StepTime { model, gap_us: 41_250, events: 412 }],
    };
    let services = vec![ServiceEvenness { service, uneven: false }];
    let mut out = Vec::new();
    show(&SpeedsReport { services, endpoints: vec![endpoint] }, &mut out).expect("written");
    let expected = format!(
        "llm: endpoints are alike\nendpoints that were measured: 1\n  i-1 of llm: {expected}\n    \
         m: 41.2 ms an event, 412 events\n"
    );
    assert_eq!(String::from_utf8_lossy(&out), expected);
}
