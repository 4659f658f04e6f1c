//! Compares the decisions where requests don't go by capacity with plain copies of the rules that hold there, over random
//! candidates. Guards against a change for deployments whose endpoints are alike.

use std::time::Duration;

use catalog::ModelId;
use fleet::Tier;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::fixture::{TestEndpoints, domain, engine};
use crate::{
    Candidate, CapacityBounds, ChosenEndpoint, LoadSource, LoadTarget, ReplicaRequest,
    ReplicaStatus, choose_endpoint, choose_fast_load_targets, choose_load_targets, choose_replica,
    has_copy, memory_scarce, needs_fast_endpoint, scale_out, scale_out_by_capacity,
};

const CASES: u64 = 3_000;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Endpoints with random models, copies, streams, prompts and loads.
fn random_endpoints(rng: &mut ChaCha8Rng) -> TestEndpoints {
    let count = rng.random_range(1..12);
    let mut endpoints = TestEndpoints::new(count);
    let crowd = rng.random_range(1..100);
    for index in 0..count {
        for model in ["a", "b"] {
            if rng.random_bool(0.5) {
                endpoints.hold(index, model, &[]);
            }
            if rng.random_bool(0.5) {
                endpoints.copy(index, model);
            }
        }
        if rng.random_bool(0.1) {
            endpoints.holdings[index].evicting = vec![crate::fixture::name("a")];
        }
        if rng.random_bool(0.1) {
            let remaining = ms(rng.random_range(0..900));
            let model = crate::fixture::name("a");
            endpoints.holdings[index].loading =
                Some(fleet::Loading { model, cold: false, remaining });
        }
        if rng.random_bool(0.5) {
            endpoints.endpoints[index].domain = "far".parse().expect("a domain");
        }
        endpoints.total_running[index] = rng.random_range(0..crowd);
        endpoints.backlog[index] = ms(rng.random_range(0..200) * rng.random_range(0..2));
        endpoints.room_wait[index] = ms(rng.random_range(0..2) * 500);
        endpoints.can_load[index] = rng.random_bool(0.8);
    }
    endpoints
}

/// The candidates, with random time factors that must have no effect.
fn random_candidates<'a>(endpoints: &'a TestEndpoints, rng: &mut ChaCha8Rng) -> Vec<Candidate<'a>> {
    let candidates = endpoints.candidates().into_iter();
    candidates
        .map(|candidate| Candidate {
            running: rng.random_range(0..10),
            queued_models: rng.random_range(0..2),
            time_factor: rng.random_range(0.25..4.0),
            ..candidate
        })
        .collect()
}

/// A plain copy of the rule for replicas.
fn replica(
    candidates: &[Candidate<'_>],
    id: &ModelId,
    prefill: Duration,
) -> Option<ChosenEndpoint> {
    let scarce = memory_scarce(candidates);
    let (step, limit) = if scarce { (100, 0.6) } else { (25, 0.9) };
    let wait = |share: f64, limit: f64| ms(500).mul_f64((share - limit).max(0.0));
    let serving = candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| candidate.holdings.is_some_and(|held| held.serves(id)));
    let costs = serving.map(|(index, candidate)| {
        let share = f64::from(candidate.total_running.max(candidate.running)) / 64.0;
        let first_event = candidate.backlog + prefill + wait(share, 0.9);
        let steps = (candidate.backlog + wait(share, limit)).as_millis() / step;
        let remote = !scarce && candidate.endpoint.domain != domain();
        let rank = crate::rank(&candidate.endpoint.id, id.model.as_str());
        ((steps, remote, rank), ChosenEndpoint { index, first_event })
    });
    costs.min_by_key(|(cost, _)| *cost).map(|(_, chosen)| chosen)
}

/// A plain copy of the rule for the best endpoint that loads a model from a copy.
fn load_target(candidates: &[Candidate<'_>], id: &ModelId) -> Option<LoadTarget> {
    let able = candidates.iter().enumerate().filter(|(_, candidate)| candidate.can_load);
    let targets = able.filter_map(|(index, candidate)| {
        let held = candidate.holdings?;
        let tier = held.tier(&id.model);
        let spec = engine().model(&id.model)?.clone();
        let busy = ms(15) * candidate.running;
        let is_loading = held.loading.as_ref().filter(|loading| loading.model == id.model);
        let left = held.loading.as_ref().map_or(Duration::ZERO, |loading| loading.remaining);
        let full = candidate.free_memory(&engine()) < spec.weights;
        let room = if full { ms(150) + candidate.room_wait } else { Duration::ZERO };
        let load = tier.load_time(&spec);
        let ready_in = match (tier, is_loading) {
            (Tier::Adapter, _) => load + busy,
            (_, Some(loading)) => loading.remaining,
            _ => load + left + ms(500) * candidate.queued_models + room + busy,
        };
        let allowed = tier != Tier::Store || is_loading.is_some();
        let rank = crate::rank(&candidate.endpoint.id, id.model.as_str());
        allowed.then_some(((ready_in, rank), LoadTarget { index, tier, ready_in }))
    });
    targets.min_by_key(|(cost, _)| *cost).map(|(_, target)| target)
}

/// A plain copy of the rule for one more replica.
fn one_more(candidates: &[Candidate<'_>], status: &ReplicaStatus<'_>) -> Option<LoadTarget> {
    let model = &status.model.model;
    let holds = |index: usize| candidates[index].holdings.is_some_and(|held| held.holds(model));
    let is_coming = |index: usize| {
        let loading = candidates[index].holdings.and_then(|held| held.loading.as_ref());
        status.requested[index] || loading.is_some_and(|loading| loading.model == *model)
    };
    let all = 0..candidates.len();
    let held = all.clone().filter(|index| holds(*index)).count();
    let coming = all.clone().filter(|index| !holds(*index) && is_coming(*index)).count();
    let chosen = &candidates[status.chosen.index];
    let late = if memory_scarce(candidates) {
        f64::from(chosen.total_running.max(chosen.running)) / 64.0 > 0.6
    } else {
        status.chosen.first_event > status.target / 2
    };
    let wanted = if late && coming == 0 { held + 1 } else { 0 };
    if held + coming >= status.needed.max(wanted) {
        return None;
    }
    let free: Vec<usize> = all.filter(|index| !holds(*index) && !is_coming(*index)).collect();
    let list: Vec<Candidate<'_>> = free.iter().map(|index| candidates[*index]).collect();
    let target = load_target(&list, status.model)?;
    Some(LoadTarget { index: free[target.index], ..target })
}

#[test]
fn each_decision_is_as_before_where_requests_do_not_go_by_capacity() {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let (mut chosen_count, mut added_count) = (0, 0);
    for case in 0..CASES {
        let endpoints = random_endpoints(&mut rng);
        let candidates = random_candidates(&endpoints, &mut rng);
        let id: ModelId = "a".parse().expect("an id");
        let prefill = ms(rng.random_range(0..100));
        let target = ms(rng.random_range(0..5_000));
        let (rate, seed) = (rng.random_range(0.0..100.0), rng.random());
        let request = ReplicaRequest { id: &id, prefill, target, rate, seed };
        let expected = replica(&candidates, &id, prefill);
        let chosen = choose_replica(&candidates, &request, &domain());
        assert_eq!(chosen, expected, "case {case}");
        assert_eq!(choose_endpoint(&candidates, Some(&id), prefill, &domain()), expected);
        assert!(!needs_fast_endpoint(&candidates, prefill, target));
        let source = LoadSource::CopiesOnly;
        let load = choose_load_targets(&candidates, &id, &engine(), source, 1).pop();
        assert_eq!(load, load_target(&candidates, &id), "case {case}");
        assert_eq!(load, choose_fast_load_targets(&candidates, &id, &engine(), source, 1).pop());
        let Some(chosen) = chosen else { continue };
        chosen_count += 1;
        let requested: Vec<bool> = candidates.iter().map(|_| rng.random_bool(0.1)).collect();
        let needed = rng.random_range(0..8);
        let status = ReplicaStatus { model: &id, requested: &requested, needed, chosen, target };
        let bounds = CapacityBounds { max_pause: ms(rng.random_range(0..300)), prefill };
        let added = scale_out_by_capacity(&candidates, &engine(), &status, bounds);
        assert_eq!(added, one_more(&candidates, &status), "case {case}");
        assert_eq!(added, scale_out(&candidates, &engine(), &status), "case {case}");
        added_count += usize::from(added.is_some());
        assert!(added.is_none() || has_copy(&candidates, &id.model));
    }
    assert!(chosen_count > 1_000 && added_count > 300, "{chosen_count} and {added_count}");
}
