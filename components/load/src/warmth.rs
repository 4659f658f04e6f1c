//! When models were ready, from the engines' truth.

use std::collections::BTreeMap;
use std::time::Duration;

use standin::{EngineTruth, LoadPhase};
use units::ModelName;

use crate::clock::Clock;
use crate::evidence::{Call, Ending};
use crate::truth::Truth;

/// A time in which one engine held a model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Hold {
    ready: Duration,
    gone: Duration,
}

/// When models were ready.
#[derive(Debug, Default)]
pub(crate) struct Warmth {
    holds: BTreeMap<String, Vec<Hold>>,
    /// How long replicas were ready in all.
    pub(crate) loaded: Duration,
    /// How long replicas ran at least one request in all.
    pub(crate) busy: Duration,
    /// Loads that began.
    pub(crate) loads: u32,
}

impl Warmth {
    /// From what the engines know; replicas that are still loaded count until `end`.
    pub(crate) fn new(truth: &Truth, clock: Clock, end: Duration) -> Self {
        let mut warmth = Self::default();
        for engine in truth.engines.values() {
            warmth.add(engine, clock, end);
        }
        warmth
    }

    fn add(&mut self, engine: &EngineTruth, clock: Clock, end: Duration) {
        let mut open: BTreeMap<&ModelName, Duration> = BTreeMap::new();
        for event in &engine.events {
            let at = clock.at_wall(event.wall_ms);
            match event.phase {
                LoadPhase::Ready => {
                    open.insert(&event.artifact, at);
                }
                LoadPhase::Unloading | LoadPhase::Gone | LoadPhase::Failed => {
                    if let Some(ready) = open.remove(&event.artifact) {
                        self.hold(&event.artifact, Hold { ready, gone: at });
                    }
                }
                LoadPhase::Loading => {}
            }
        }
        for (artifact, ready) in open {
            self.hold(artifact, Hold { ready, gone: end.max(ready) });
        }
        let busy: u64 = engine.busy_ms.values().sum();
        self.busy += Duration::from_millis(busy);
        self.loads += engine.loads;
    }

    fn hold(&mut self, artifact: &ModelName, hold: Hold) {
        self.loaded += hold.gone - hold.ready;
        self.holds.entry(base(artifact.as_str()).to_owned()).or_default().push(hold);
    }

    /// Whether no replica of the call's model was ready when it came.
    pub(crate) fn is_cold(&self, call: &Call) -> bool {
        let holds = self.holds.get(base(&call.target));
        call.key.is_none()
            && !holds.into_iter().flatten().any(|hold| hold.ready <= call.at && call.at < hold.gone)
    }

    /// From the first request of a cold model to the first token of any request that came before it was warm.
    pub(crate) fn cold_starts(&self, calls: &[Call]) -> Vec<Duration> {
        let mut waiting: BTreeMap<&str, (Duration, Duration)> = BTreeMap::new();
        let mut starts = Vec::new();
        let mut cold: Vec<&Call> = calls
            .iter()
            .filter(|call| call.ending == Ending::Served && self.is_cold(call))
            .collect();
        cold.sort_by_key(|call| call.at);
        for call in cold {
            let Some(first) = call.first else { continue };
            let model = base(&call.target);
            let (begin, token) = match waiting.remove(model) {
                Some((begin, token)) if call.at <= token => (begin, token.min(first)),
                Some((begin, token)) => {
                    starts.push(token.saturating_sub(begin));
                    (call.at, first)
                }
                None => (call.at, first),
            };
            waiting.insert(model, (begin, token));
        }
        starts.extend(waiting.into_values().map(|(begin, token)| token.saturating_sub(begin)));
        starts
    }
}

/// A model's name without version and adapter.
fn base(name: &str) -> &str {
    name.split(['@', ':']).next().unwrap_or(name)
}

#[cfg(test)]
mod tests;
