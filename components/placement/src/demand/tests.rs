//! Tests of the demand for a model and of the replicas that it needs.

use super::*;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[tokio::test(start_paused = true)]
async fn the_speed_of_a_model_is_learned_from_first_events() {
    for (token, fixed) in [(0.003, 5), (0.026, 5), (0.007, 45), (0.08, 20)] {
        let mut demand = Demand::default();
        for index in 0..200 {
            let tokens = [60, 300, 650, 1_500][index % 4];
            let took = ms(fixed) + Duration::from_secs_f64(token * f64::from(tokens) / 1_000.0);
            demand.learn(demand.prefill_time(tokens), took);
        }
        let learned = demand.prefill_time(1_000).as_secs_f64();
        assert!((0.6..1.3).contains(&(learned / token)), "{learned} for {token}");
    }
}

#[tokio::test(start_paused = true)]
async fn first_events_that_waited_for_other_requests_hardly_change_the_speed() {
    let mut demand = Demand::default();
    let before = demand.prefill_time(1_000);
    for index in 0..200 {
        let late = if index % 3 == 0 { ms(200) } else { ms(0) };
        let tokens = [60, 300, 650, 1_500][index % 4];
        demand.learn(
            demand.prefill_time(tokens),
            ms(5) + before.mul_f64(f64::from(tokens) / 1_000.0) + late,
        );
    }
    let after = demand.prefill_time(1_000);
    assert!(after < before * 2 && after > before / 2, "{after:?} after {before:?}");
}

#[tokio::test(start_paused = true)]
async fn a_shift_of_demand_shows_within_a_second_and_decays_within_a_few() {
    let mut demand = Demand::default();
    for _ in 0..43 {
        demand.record_arrival(650, Instant::now());
        tokio::time::advance(ms(23)).await;
    }
    let load = demand.prefill_load(1, Instant::now());
    assert!((0.4..0.9).contains(&load), "{load}");
    let idle = idle();
    assert!(demand.replicas_needed(&ScalingInputs { routers: 2, ..idle }, Instant::now()) >= 2);
    assert_eq!(
        demand.replicas_needed(
            &ScalingInputs { routers: 2, memory_scarce: true, ..idle },
            Instant::now()
        ),
        1
    );
    tokio::time::advance(ms(4_000)).await;
    assert!(demand.prefill_load(1, Instant::now()) < 0.05);
}

fn idle() -> ScalingInputs {
    ScalingInputs { routers: 4, running: 0, slots: 64, waiting: (0, ms(0)), memory_scarce: false }
}

#[tokio::test(start_paused = true)]
async fn a_rare_model_needs_one_replica_however_many_routers_there_are() {
    let mut demand = Demand::default();
    demand.record_arrival(2_600, Instant::now());
    let rare = ScalingInputs { routers: 27, running: 1, waiting: (1, ms(80)), ..idle() };
    assert_eq!(demand.replicas_needed(&rare, Instant::now()), 1);
}

#[tokio::test(start_paused = true)]
async fn many_waiting_requests_or_many_streams_need_several_replicas() {
    let (demand, now) = (Demand::default(), Instant::now());
    // At each router fifty callers return for a busy model after a power failure.
    let for_waiting =
        demand.replicas_needed(&ScalingInputs { waiting: (50, ms(17) * 50), ..idle() }, now);
    assert!((5..=7).contains(&for_waiting), "{for_waiting}");
    assert_eq!(demand.replicas_needed(&ScalingInputs { running: 25, ..idle() }, now), 3);
}

/// Guards against a shift of demand to one model that each of 25 routers takes for chance. In the first quarter of a
/// second there are a dozen callers, one at each of twelve routers, and loaders report what they have seen together.
#[tokio::test(start_paused = true)]
async fn the_first_callers_of_a_shift_count_together() {
    let mut demand = Demand::default();
    demand.record_arrival(2_600, Instant::now());
    tokio::time::advance(ms(250)).await;
    let now = Instant::now();
    let inputs = ScalingInputs { routers: 25, ..idle() };
    assert_eq!(demand.replicas_needed(&inputs, now), 1, "one router has seen too few");
    let seen_together = 12.0;
    assert_eq!(demand.replicas_needed_at(&inputs, seen_together, now), 2);
    assert!(demand.replicas_needed_at(&inputs, 3.0 * seen_together, now) >= 4);
}

/// Guards against reports that are older than what the router has seen itself, or missing.
#[tokio::test(start_paused = true)]
async fn without_or_with_a_lower_report_the_extrapolation_counts() {
    let mut demand = Demand::default();
    for _ in 0..43 {
        demand.record_arrival(650, Instant::now());
        tokio::time::advance(ms(23)).await;
    }
    let now = Instant::now();
    let expected = demand.replicas_needed(&idle(), now);
    assert!(expected >= 3, "{expected}");
    for reported in [0.0, 5.0] {
        assert_eq!(demand.replicas_needed_at(&idle(), reported, now), expected);
    }
    assert_eq!(demand.total_request_rate(4, 0.0, now), demand.total_request_rate(4, 5.0, now));
    assert_eq!(demand.total_request_rate(4, 500.0, now), 500.0);
}

#[tokio::test(start_paused = true)]
async fn requests_that_another_router_reports_are_taken_for_average_ones() {
    let demand = Demand::default();
    let inputs = ScalingInputs { routers: 25, ..idle() };
    assert_eq!(demand.replicas_needed_at(&inputs, 60.0, Instant::now()), 3);
}
