//! The fold against a naive version of the same rules, over random sessions.

mod common;
#[path = "common/naive.rs"]
mod naive;
#[path = "common/steps.rs"]
mod steps;

use std::cell::RefCell;
use std::collections::BTreeMap;

use naive::{Findings, Naive, Standing};
use proptest::prelude::ProptestConfig;
use proptest::test_runner::{RngSeed, TestCaseError, TestRunner};
use proptest::{prop_assert, prop_assert_eq};
use state::{Applied, State, Verdict, Void, from_text, to_text};
use steps::{Session, Step, steps};

use crate::common::id;

const STEPS: usize = 120;
const CASES: u32 = 300;
const SEED: u64 = 20_260_331;
/// How many steps pass between two restores from a snapshot.
const RESTORE: usize = 7;

/// `PROPTEST_CASES` and `PROPTEST_RNG_SEED` ask for more or other cases.
fn config() -> ProptestConfig {
    let asked = ProptestConfig::default();
    let rng_seed = match asked.rng_seed {
        RngSeed::Random => RngSeed::Fixed(SEED),
        seed => seed,
    };
    ProptestConfig { cases: asked.cases.max(CASES), rng_seed, failure_persistence: None, ..asked }
}

#[test]
fn can_judge_like_the_naive_version() {
    let mut counts = Counts::default();
    let mut runner = TestRunner::new(config());
    let shared = RefCell::new(&mut counts);
    let result = runner.run(&steps(STEPS), |steps| run(&steps, &mut shared.borrow_mut()));
    result.unwrap_or_else(|e| panic!("{e}"));
    println!("{counts:?}");
    // The sessions must reach both sides of the rules, or their agreement says little.
    assert!(counts.done > 2000, "{counts:?}");
    assert!(counts.void.len() >= 14, "{counts:?}");
}

#[derive(Debug, Default)]
struct Counts {
    done: usize,
    void: BTreeMap<&'static str, usize>,
}

fn run(steps: &[Step], counts: &mut Counts) -> Result<(), TestCaseError> {
    let mut session = Session::new();
    let (mut state, mut naive) = (State::default(), Naive::default());
    let mut restored = State::default();
    for (place, step) in steps.iter().enumerate() {
        if place % RESTORE == 0 {
            restored = from_text(&to_text(&restored)).expect("its own snapshot is whole");
        }
        let Some((offset, record)) = session.take(step, &state) else { continue };
        let text = serde_json::to_vec(&record).expect("records are text");
        let applied = state.apply(offset, &record);
        prop_assert_eq!(&restored.apply_bytes(offset, &text), &applied);
        let mut findings = naive.apply(offset.0, &record);
        for cause in findings.iter_mut().flatten().filter(|cause| **cause == "again") {
            *cause = "repeat";
        }
        prop_assert_eq!(names(&applied), &findings[..], "{:?}: {:?}", record, applied);
        compare(&state, &naive)?;
        count(counts, &findings);
    }
    prop_assert_eq!(to_text(&restored), to_text(&state));
    prop_assert!(restored == state);
    Ok(())
}

fn count(counts: &mut Counts, findings: &Findings) {
    for finding in findings {
        match finding {
            None => counts.done += 1,
            Some(cause) => *counts.void.entry(cause).or_default() += 1,
        }
    }
}

fn names(applied: &Applied) -> Findings {
    let name = |verdict: &Verdict| match verdict {
        Verdict::Done => None,
        Verdict::Void(void) => Some(name(void)),
    };
    applied.verdicts.iter().map(name).collect()
}

fn name(void: &Void) -> &'static str {
    match void {
        Void::Repeat { .. } => "repeat",
        Void::Stale { .. } => "stale",
        Void::Ahead { .. } => "ahead",
        Void::Malformed(_) => "malformed",
        Void::Epoch { .. } => "epoch",
        Void::Incarnation { .. } => "incarnation",
        Void::Resigned { .. } => "resigned",
        Void::Instance { .. } => "instance",
        Void::Edit(_) => "edit",
        Void::Taken => "taken",
        Void::Twice => "twice",
        Void::NoEndpoint => "no-endpoint",
        Void::Unfit => "unfit",
        Void::Bound(_) => "bound",
        Void::NoGrant => "no-grant",
        Void::Old => "old",
        Void::Format { .. } => "format",
    }
}

fn compare(state: &State, naive: &Naive) -> Result<(), TestCaseError> {
    let lease = state.lease();
    prop_assert_eq!(lease.epoch.0, naive.epoch());
    prop_assert_eq!(lease.holder.as_ref().map(ToString::to_string), naive.holder());
    prop_assert_eq!(lease.renewed.0, naive.renewed());
    prop_assert_eq!(state.revision().0, naive.revision());
    for endpoint in ["a", "b", "c"] {
        let member = state.member(&id(endpoint));
        prop_assert_eq!(member.map(|m| m.incarnation.0), naive.incarnation(endpoint));
        let leaving = member.is_some_and(|member| member.leaving);
        prop_assert_eq!(leaving, member.is_some() && naive.leaving(endpoint));
    }
    let standing = naive.standing();
    prop_assert_eq!(state.grants().map(view).collect::<Vec<_>>(), &standing[..]);
    for endpoint in ["a", "b", "c"] {
        let at = state.grants_at(&id(endpoint)).map(view).collect::<Vec<_>>();
        let expected = standing.iter().filter(|grant| grant.endpoint == endpoint);
        prop_assert!(at.iter().eq(expected));
    }
    for model in ["page", "line"] {
        let leaf = state.tree().model(&id(model));
        prop_assert_eq!(leaf.is_some(), naive.has_model(model));
        prop_assert_eq!(leaf.map_or(0, |leaf| leaf.settings.replicas_most), naive.most(model));
        let of = state.grants_of(&id(model)).map(view).collect::<Vec<_>>();
        let mut expected: Vec<_> = standing.iter().filter(|g| g.model == model).collect();
        expected.sort_by_key(|grant| grant.index);
        prop_assert!(of.iter().eq(expected));
    }
    Ok(())
}

fn view(grant: &state::Grant) -> Standing {
    Standing {
        id: grant.id,
        model: grant.model.to_string(),
        index: grant.index.0,
        endpoint: grant.endpoint.to_string(),
        revoked: grant.revoked,
    }
}
