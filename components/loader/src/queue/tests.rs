//! Tests of the permit queue, on a store that slows down beyond some number of concurrent loads.

use rstest::rstest;

use super::*;

const ALONE: Duration = Duration::from_secs(6);

fn request(loader: usize, model: &str, demand: f64) -> PermitRecord {
    let model = model.parse().expect("a name");
    PermitRecord::Request {
        loader: format!("side-{loader}"),
        model,
        demand,
        solo_time: ALONE,
        software: None,
        loading: false,
    }
}

/// A request of a loader for requests that only endpoints of one version may serve.
fn request_bound(loader: usize, model: &str, demand: f64, version: &str) -> PermitRecord {
    let mut record = request(loader, model, demand);
    if let PermitRecord::Request { software, .. } = &mut record {
        *software = Some(version.parse().expect("a version"));
    }
    record
}

fn release(loader: usize, took: Option<Duration>) -> PermitRecord {
    let took_ms = took.map(|took| u64::try_from(took.as_millis()).expect("short"));
    PermitRecord::Release { loader: format!("side-{loader}"), took_ms }
}

/// The loaders that have a permit.
fn with_permit(queue: &PermitQueue) -> Vec<usize> {
    (0..64).filter(|loader| queue.granted(&format!("side-{loader}")).is_some()).collect()
}

#[tokio::test(start_paused = true)]
async fn the_highest_demand_goes_first_and_equal_demands_in_order_of_their_requests() {
    let now = Instant::now();
    let mut queue = PermitQueue::default();
    queue.apply(request(0, "a", 1.0), now);
    queue.apply(request(1, "b", 1.0), now);
    for (loader, model, demand) in [(2, "c", 1.0), (3, "d", 1.0), (4, "e", 160.0)] {
        queue.apply(request(loader, model, demand), now);
    }
    assert_eq!(with_permit(&queue), [0, 1]);
    queue.apply(release(0, None), now);
    assert_eq!(with_permit(&queue), [1, 4]);
    queue.apply(release(1, None), now);
    assert_eq!(with_permit(&queue), [2, 4]);
}

#[tokio::test(start_paused = true)]
async fn a_second_copy_of_a_model_waits_for_the_first_copies_of_all_other_models() {
    let now = Instant::now();
    let mut queue = PermitQueue::default();
    queue.apply(request(0, "a", 9.0), now);
    queue.apply(request(1, "b", 5.0), now);
    queue.apply(request(2, "a", 9.0), now);
    queue.apply(request(3, "c", 1.0), now);
    queue.apply(release(1, None), now);
    assert_eq!(with_permit(&queue), [0, 3]);
    queue.apply(release(3, None), now);
    assert_eq!(with_permit(&queue), [0, 2], "no other loader needs the permit");
}

/// Streams of a version would wait for the loads of all other models, since another version loads theirs.
#[rstest]
#[case::for_any_request(None, [0, 3])]
#[case::of_the_version_that_loads_it(Some("v2"), [0, 3])]
#[case::of_another_version(Some("v1"), [0, 2])]
#[tokio::test(start_paused = true)]
async fn a_model_that_another_version_loads_is_no_second_copy_for_begun_streams(
    #[case] version: Option<&str>,
    #[case] expected: [usize; 2],
) {
    let now = Instant::now();
    let mut queue = PermitQueue::default();
    queue.apply(request_bound(0, "a", 9.0, "v2"), now);
    queue.apply(request(1, "b", 5.0), now);
    queue.apply(version.map_or(request(2, "a", 9.0), |v| request_bound(2, "a", 9.0, v)), now);
    queue.apply(request(3, "c", 1.0), now);
    queue.apply(release(1, None), now);
    assert_eq!(with_permit(&queue), expected);
}

/// Loaders of different releases could not read each other's requests.
#[test]
fn a_request_without_a_version_is_the_record_of_earlier_releases() {
    let text = r#"{"note":"ask","loader":"side-1","model":"a","worth":2.0,"alone":6000}"#;
    assert_eq!(serde_json::to_string(&request(1, "a", 2.0)).expect("a record"), text);
    assert_eq!(serde_json::from_str::<PermitRecord>(text).expect("a record"), request(1, "a", 2.0));
}

#[tokio::test(start_paused = true)]
async fn a_request_with_more_demand_keeps_its_position_and_one_for_another_model_does_not() {
    let now = Instant::now();
    let mut queue = PermitQueue::default();
    for (loader, model) in ["a", "b", "c", "d"].iter().enumerate() {
        queue.apply(request(loader, model, 1.0), now);
    }
    queue.apply(request(3, "d", 5.0), now);
    queue.apply(request(0, "e", 1.0), now);
    assert_eq!(with_permit(&queue), [1, 3], "the first loader gave up its permit");
}

#[tokio::test(start_paused = true)]
async fn a_loader_that_restarts_or_exceeds_its_load_time_loses_its_permit() {
    let now = Instant::now();
    let mut queue = PermitQueue::default();
    (0..3).for_each(|loader| queue.apply(request(loader, "a", 1.0), now));
    queue.record_start("side-0", now);
    assert_eq!(with_permit(&queue), [1, 2]);
    let later = now + ALONE * LOST_LOAD_FACTOR;
    queue.apply(request(3, "a", 1.0), later);
    assert_eq!(with_permit(&queue), [3]);
}

/// How long each of the loaders waits without the store, by the same records.
fn offline_delays(queue: &PermitQueue, loaders: std::ops::Range<usize>) -> Vec<Duration> {
    loaders.map(|loader| queue.offline_delay(&format!("side-{loader}"), ALONE)).collect()
}

#[tokio::test(start_paused = true)]
async fn without_the_store_no_more_loaders_load_at_once_than_there_are_permits() {
    let now = Instant::now();
    let mut queue = PermitQueue::default();
    (0..40).for_each(|loader| queue.record_start(&format!("side-{loader}"), now));
    for loader in 0..40 {
        queue.apply(request(loader, &format!("m{loader}"), 40.0 - loader as f64), now);
    }
    let delays = offline_delays(&queue, 0..40);
    assert_eq!(delays[..6], [0, 0, 1, 1, 2, 2].map(|round| ALONE * round));
    for round in 0..20 {
        assert_eq!(delays.iter().filter(|delay| **delay == ALONE * round).count(), 2);
    }
}

#[tokio::test(start_paused = true)]
async fn without_the_store_loaders_without_a_request_are_ordered_by_name() {
    let now = Instant::now();
    let mut queue = PermitQueue::default();
    (0..8).for_each(|loader| queue.record_start(&format!("side-{loader}"), now));
    queue.apply(request(5, "a", 1.0), now);
    queue.apply(request(6, "b", 1.0), now);
    // Two loaders have a permit; the other six follow.
    let rounds: Vec<u32> = offline_delays(&queue, 0..8)
        .iter()
        .map(|delay| u32::try_from(delay.as_secs() / ALONE.as_secs()).expect("few"))
        .collect();
    assert_eq!(rounds, [1, 1, 2, 2, 3, 0, 0, 3]);
}

/// All names in the records were remembered, and each loader waited for them.
#[tokio::test(start_paused = true)]
async fn without_the_store_no_loader_waits_for_names_that_are_no_loaders() {
    let now = Instant::now();
    let mut queue = PermitQueue::default();
    queue.record_start("side-0", now);
    for number in 0..10_000 {
        queue.record_start(&format!("no loader {number}"), now);
    }
    assert_eq!(offline_delays(&queue, 0..1), [Duration::ZERO]);
    for number in 0..10_000 {
        queue.record_start(&format!("side-{number}"), now);
    }
    assert!(queue.loaders.len() <= MAX_LOADERS, "{} loaders", queue.loaders.len());
}

/// Simulates a weight store that serves `capacity` loads at full speed, and more of them slower in proportion, while
/// each loader loads one model after another. Returns when each load was complete, with its model, in order.
fn simulate(capacity: u32, models: usize, loaders: usize) -> Vec<(Duration, usize)> {
    const STEP: Duration = Duration::from_millis(100);
    let start = Instant::now();
    let mut queue = PermitQueue::default();
    // For each loader the model that it requests, the remaining load time, and when the load began; the first models
    // have the highest demand.
    let mut loads: Vec<Option<(usize, Duration, Option<Instant>)>> = vec![None; loaders];
    let mut left: std::collections::VecDeque<usize> = (0..models).collect();
    let (mut done, mut now) = (Vec::new(), start);
    while done.len() < models {
        for (loader, load) in loads.iter_mut().enumerate() {
            if load.is_none()
                && let Some(model) = left.pop_front()
            {
                *load = Some((model, ALONE, None));
                queue.apply(request(loader, &format!("m{model}"), 1.0 / (model + 1) as f64), now);
            }
        }
        if (now - start).as_millis().is_multiple_of(RENEW_INTERVAL.as_millis()) {
            // Waiting loaders renew their requests.
            for (loader, load) in loads.iter().enumerate() {
                if let Some((model, _, None)) = load {
                    let demand = 1.0 / (*model + 1) as f64;
                    queue.apply(request(loader, &format!("m{model}"), demand), now);
                }
            }
        }
        assert!(now - start < ALONE * 200, "loads never completed: {done:?}");
        let running = with_permit(&queue);
        let speed = f64::from(capacity).min(running.len() as f64) / running.len() as f64;
        now += STEP;
        for loader in running {
            let load = loads[loader].as_mut().expect("a load");
            load.2.get_or_insert(now);
            load.1 = load.1.saturating_sub(STEP.mul_f64(speed));
            if load.1.is_zero() {
                done.push((now - start, load.0));
                let took = now - load.2.expect("a start");
                loads[loader] = None;
                queue.apply(release(loader, Some(took)), now);
            }
        }
    }
    done
}

#[tokio::test(start_paused = true)]
async fn of_many_models_the_most_requested_are_loaded_first_at_full_speed() {
    for capacity in [2, 4, 8] {
        let done = simulate(capacity, 40, 12);
        let first: Vec<usize> = done.iter().take(2).map(|(_, model)| *model).collect();
        assert_eq!(first, [0, 1]);
        assert!(done[1].0 < ALONE + Duration::from_secs(1), "{:?}", done[1].0);
    }
}

#[tokio::test(start_paused = true)]
async fn the_store_is_kept_busy_without_being_overloaded() {
    for capacity in [1, 4] {
        let done = simulate(capacity, 24, 12);
        let ideal = ALONE * 24 / capacity;
        let total = done.last().expect("loads").0;
        assert!(total < ideal + ALONE * 3, "capacity {capacity}: {total:?} instead of {ideal:?}");
    }
}

proptest::proptest! {
    #[test]
    fn readers_of_the_same_records_grant_the_same_permits(
        records in proptest::collection::vec((0_usize..6, 0_u8..4, 0.0_f64..9.0), 0..60),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().expect("a runtime");
        let _inside = runtime.enter();
        let now = Instant::now();
        let (mut one, mut other) = (PermitQueue::default(), PermitQueue::default());
        for (loader, kind, demand) in records {
            let record = || match kind {
                0 => release(loader, Some(ALONE)),
                1 => release(loader, None),
                _ => request(loader, &format!("m{kind}"), demand),
            };
            one.apply(record(), now);
            other.apply(record(), now);
            proptest::prop_assert_eq!(with_permit(&one), with_permit(&other));
            proptest::prop_assert!(with_permit(&one).len() <= 32);
        }
    }
}

/// A load runs alone at first, and concurrently with another one when its record is lost and appended again. It must
/// not seem to have run concurrently all the time: four permits would be granted on a store known to serve two loads.
#[tokio::test(start_paused = true)]
async fn loads_whose_records_were_lost_do_not_raise_the_limit() {
    let now = Instant::now();
    let mut queue = PermitQueue::default();
    queue.begin_restore();
    for loader in 0..2 {
        let PermitRecord::Request { loader, model, demand, solo_time, software, .. } =
            request(loader, "a", 1.0)
        else {
            continue;
        };
        queue.apply(
            PermitRecord::Request { loader, model, demand, solo_time, software, loading: true },
            now,
        );
    }
    queue.apply(release(1, Some(ALONE)), now);
    queue.end_restore();
    (2..6).for_each(|loader| queue.apply(request(loader, "b", 1.0), now));
    assert_eq!(with_permit(&queue).len(), 2);
}

/// Requests that no loader wrote held all permits for good.
#[rstest]
#[case::waiting("")]
#[case::loading(r#","loading":true"#)]
#[tokio::test(start_paused = true)]
async fn a_permit_of_a_request_without_a_sound_time_expires(#[case] loading: &str) {
    let now = Instant::now();
    let mut queue = PermitQueue::default();
    for number in 0..8 {
        let text = format!(
            r#"{{"note":"ask","loader":"x{number}","model":"m","worth":1e308,"alone":18446744073709551615{loading}}}"#
        );
        queue.apply(serde_json::from_str(&text).expect("a record"), now);
    }
    let later = now + MAX_SOLO_TIME * LOST_LOAD_FACTOR;
    queue.apply(request(1, "a", 1.0), later);
    assert_eq!(with_permit(&queue), [1]);
}

#[tokio::test(start_paused = true)]
async fn a_request_whose_demand_is_no_number_or_infinite_is_ignored() {
    let now = Instant::now();
    let mut queue = PermitQueue::default();
    for (loader, demand) in [(2, f64::INFINITY), (3, f64::NAN)] {
        queue.apply(request(loader, "b", demand), now);
    }
    queue.apply(request(1, "a", 1.0), now);
    assert_eq!(with_permit(&queue), [1]);
}
