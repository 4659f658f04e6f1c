//! Operators who publish at the same time, while the log fails in all the ways it can.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use edge::Stream;
use fake::Faults;
use futures_util::future::join_all;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use record::{Body, Record};
use rstest::rstest;
use state::State;
use tokio::time::sleep;

use super::site::{Operator, Site, TREE};
use crate::error::Exit;

const OPERATORS: [&str; 6] = ["asma", "bilal", "cyrus", "dina", "esa", "farah"];
const EDITS: usize = 12;
const NODES: [&str; 2] = ["/", "/hall"];
const SETTINGS: [&str; 2] = ["queue", "batch"];
/// How long the log takes when nothing is wrong with it; in that time operators miss each other's edits.
const DELAY: Duration = Duration::from_millis(60);

/// What one operator was told.
#[derive(Debug, Default)]
struct Told {
    /// The revisions of accepted edits.
    accepted: BTreeSet<u64>,
    rejected: usize,
    unknown: usize,
}

async fn publish_often(operator: Operator<'_>, seed: u64) -> Told {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut told = Told::default();
    for _ in 0..EDITS {
        let path = NODES[rng.random_range(0..NODES.len())];
        let setting = SETTINGS[rng.random_range(0..SETTINGS.len())];
        // Values that nobody else uses, so that each command has something to change.
        let value = 1 + rng.random_range(0..4_000);
        let line = format!("--wait 3s set {path} {setting}={value}");
        let (exit, text) = operator.run_and_read(&line).await;
        match exit {
            Exit::Done => told.accepted.extend(accepted(&text)),
            Exit::Rejected => told.rejected += 1,
            Exit::Unknown => told.unknown += 1,
            Exit::Failed => {}
            Exit::Usage | Exit::Lagging => {
                panic!("an exit that can't be: {}", operator.site().transcript())
            }
        }
        sleep(Duration::from_millis(rng.random_range(0..100))).await;
    }
    told
}

/// The revision in what a command printed; none if it had nothing to change.
fn accepted(text: &str) -> Option<u64> {
    let line = text.lines().find_map(|line| line.strip_prefix("accepted as revision "))?;
    line.parse().ok()
}

/// Breaks and mends the log until it is dropped.
async fn break_log(site: &Site, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    site.log.set(|faults| faults.delay = DELAY);
    loop {
        let fault = rng.random_range(0..6);
        let delay = Duration::from_millis(rng.random_range(0..300));
        site.log.set(|faults| match fault {
            0 => faults.lost = 2,
            1 => faults.late = Some(Duration::from_secs(4)),
            2 => faults.refuse = true,
            3 => faults.outage = true,
            _ => faults.delay = delay,
        });
        sleep(Duration::from_millis(rng.random_range(100..4_000))).await;
        site.log.set(|faults| *faults = Faults { delay: DELAY, ..Faults::default() });
        sleep(Duration::from_millis(rng.random_range(100..2_000))).await;
    }
}

/// The revisions of the edits in the log that took effect, by author; none takes effect twice.
fn in_force(site: &Site) -> BTreeMap<String, BTreeSet<u64>> {
    let mut state = State::default();
    let mut found: BTreeMap<String, BTreeSet<u64>> = BTreeMap::new();
    let mut ids = BTreeSet::new();
    for entry in site.log.records(Stream::Control).entries {
        let record: Record = serde_json::from_slice(&entry.data).expect("a record");
        let applied = state.apply(entry.offset, &record);
        if let Body::Edit(edit) = record.body
            && applied.is_done()
        {
            assert!(ids.insert(edit.id.clone()), "{} took effect twice", edit.id);
            found.entry(edit.author).or_default().insert(entry.offset.0);
        }
    }
    found
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn can_tell_each_operator_the_truth(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let site = Site::default();
    site.write("tree.jsonc", TREE);
    assert_eq!(site.operator("first").run("publish tree.jsonc").await, Exit::Done);
    let publishes = (seed * 100..).zip(OPERATORS);
    let publishes = publishes.map(|(seed, name)| publish_often(site.operator(name), seed));
    let told = tokio::select! {
        told = join_all(publishes) => told,
        () = break_log(&site, seed) => unreachable!("it never ends"),
    };
    // What is still on its way arrives.
    sleep(Duration::from_secs(60)).await;
    let found = in_force(&site);
    for (name, told) in OPERATORS.into_iter().zip(&told) {
        let found = found.get(name).cloned().unwrap_or_default();
        assert!(told.accepted.is_subset(&found), "{name}: {found:?} in force, {told:?}");
        let others = found.len() - told.accepted.len();
        assert!(others <= told.unknown, "{name}: {found:?} in force, {told:?}");
    }
    let accepted: usize = told.iter().map(|told| told.accepted.len()).sum();
    let rejected: usize = told.iter().map(|told| told.rejected).sum();
    assert!(accepted > 10 && rejected > 3, "the test proves little: {told:?}");
}
