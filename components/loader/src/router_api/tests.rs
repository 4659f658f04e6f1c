//! Tests of the answers to routers.

use control::EndpointLoad;
use fleet::Holdings;
use http_body_util::BodyExt;
use units::{Rate, Revision};

use super::*;

fn state(version: u64) -> EndpointState {
    let copies = (0..40).map(|n| format!("model-{n}").parse().expect("a name")).collect();
    let copies = fleet::WeightCopies { memory: Vec::new(), disk: copies };
    EndpointState {
        version,
        endpoint: None,
        incarnation: None,
        holdings: Holdings { copies, ..Holdings::default() },
        load: EndpointLoad { waiting: 2, running: 5, routers: 3 },
        room_wait: Duration::ZERO,
        can_order: true,
        draining: false,
        rate_limit: None,
        engine_version: Revision(1),
        steps: Vec::new(),
        rates: Vec::new(),
    }
}

fn api(commands: mpsc::Sender<Command>, state: watch::Receiver<EndpointState>) -> RouterApi {
    let (highest_era, limiters) = Default::default();
    let mirror = Mirror::new(Store::new(([127, 0, 0, 1], 9).into()));
    RouterApi { commands, state, highest_era, limiters, mirror }
}

async fn poll(api: RouterApi, seen: u64) -> (PollResponse, usize) {
    let request = PollRequest {
        router: "front-1".to_owned(),
        endpoint: "i-1".parse().expect("an id"),
        incarnation: None,
        era: Era::default(),
        seen,
        wait: Duration::from_secs(1),
        uses: Vec::new(),
        steps: Vec::new(),
        rates: false,
    };
    let request = serde_json::to_vec(&request).expect("a message").into();
    let answer = api.poll(&request).await.expect("an answer");
    let bytes = answer.into_body().collect().await.expect("a body").to_bytes();
    (serde_json::from_slice(&bytes).expect("a message"), bytes.len())
}

#[tokio::test(start_paused = true)]
async fn a_router_with_the_current_version_gets_only_the_load_of_the_endpoint() {
    let (commands, _inbox) = mpsc::channel(8);
    let (_sender, state_receiver) = watch::channel(state(7));
    let api = api(commands, state_receiver);
    let (polled, whole) = poll(api.clone(), 0).await;
    assert_eq!(polled, PollResponse::Changed(Box::new(state(7))));
    let (polled, short) = poll(api, 7).await;
    assert_eq!(
        polled,
        PollResponse::Unchanged(EndpointLoad { waiting: 2, running: 5, routers: 3 })
    );
    assert!(short * 10 < whole, "{short} of {whole} bytes");
}

#[tokio::test(start_paused = true)]
async fn a_change_ends_the_wait() {
    let (commands, _inbox) = mpsc::channel(8);
    let (sender, state_receiver) = watch::channel(state(7));
    let api = api(commands, state_receiver);
    let polled = tokio::spawn(poll(api, 7));
    tokio::time::sleep(Duration::from_millis(100)).await;
    sender.send_replace(state(8));
    assert_eq!(polled.await.expect("an answer").0, PollResponse::Changed(Box::new(state(8))));
}

/// A limit that has just fallen is known to the router that got the answer before the loader reads the next report, and the other
/// way round.
#[rstest::rstest]
#[case::the_router_knows_of_a_fall(100.0, 1.0)]
#[case::the_loader_knows_of_a_fall(1.0, 100.0)]
#[tokio::test(start_paused = true)]
async fn the_lower_of_two_known_rate_limits_counts(#[case] reported: f64, #[case] known: f64) {
    let endpoint: units::EndpointId = "i-1".parse().expect("an id");
    let (commands, _inbox) = mpsc::channel(8);
    let limited = EndpointState {
        endpoint: Some(endpoint.clone()),
        rate_limit: Some(Rate(reported)),
        ..state(7)
    };
    let (_sender, state_receiver) = watch::channel(limited);
    let api = api(commands, state_receiver);
    let request =
        GrantRequest { endpoint, incarnation: None, limit: Rate(known), max_wait: Duration::ZERO };
    let bytes = Bytes::from(serde_json::to_vec(&request).expect("JSON"));
    let mut granted = 0;
    for _ in 0..100 {
        let response = api.clone().grant(&bytes).expect("readable");
        let body = response.into_body().collect().await.expect("a body").to_bytes();
        let response: GrantResponse = serde_json::from_slice(&body).expect("JSON");
        granted += u32::from(matches!(response, GrantResponse::After(_)));
        tokio::time::advance(Duration::from_millis(100)).await;
    }
    assert!((8..=11).contains(&granted), "{granted} requests in 10 s");
}

/// Guards against fields that a process of another version doesn't expect, and against needing those that it doesn't send.
#[test]
fn a_state_without_times_between_events_is_as_before() {
    let text = serde_json::to_string(&state(7)).expect("a message");
    assert!(!text.contains("steps"), "{text}");
    assert_eq!(serde_json::from_str::<EndpointState>(&text).expect("a message"), state(7));
}
