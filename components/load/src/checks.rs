//! Each promise of the brief, checked against what a run has seen.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use units::RequestId;

use crate::evidence::{Call, Ending, Evidence, RevisionSample};

/// What the client's own scheduling may add to a deadline.
pub(crate) const CLIENT_GRACE: Duration = Duration::from_millis(250);
/// How soon a leaving endpoint must get no new work.
pub(crate) const LEAVING_LIMIT: Duration = Duration::from_secs(5);
/// How soon an accepted configuration must be in force everywhere.
pub(crate) const CONFIG_LIMIT: Duration = Duration::from_secs(5);

/// A promise that must always hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Promise {
    /// No more replicas loaded than decided.
    Replicas,
    /// Accelerator memory is never overcommitted.
    Memory,
    /// Every request is answered or refused in time.
    InTime,
    /// A caller gets the whole answer to its own request.
    OwnAnswer,
    /// A refusal that says "not run" is true.
    NotRun,
    /// A request that may not be repeated runs at most once.
    AtMostOnce,
    /// A leaving endpoint gets no new work.
    Leaving,
    /// A planned stop cuts nothing.
    PlannedStop,
    /// An accepted configuration is in force everywhere and never reverts.
    Configuration,
}

/// What became of a promise in a run.
#[derive(Debug, Clone)]
pub(crate) struct Row {
    /// The promise.
    pub(crate) promise: Promise,
    /// How many cases could have broken it.
    pub(crate) tries: usize,
    /// Cases that did, in words.
    pub(crate) violations: Vec<String>,
    /// Cases left out because the entry itself had crashed under the caller.
    pub(crate) excused: usize,
}

impl fmt::Display for Promise {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Replicas => "no more replicas loaded than decided",
            Self::Memory => "memory never overcommitted",
            Self::InTime => "each request answered or refused in time",
            Self::OwnAnswer => "whole answer to one's own request",
            Self::NotRun => "a refusal \"not run\" is true",
            Self::AtMostOnce => "not repeatable runs at most once",
            Self::Leaving => "a leaving endpoint gets no new work",
            Self::PlannedStop => "a planned stop cuts nothing",
            Self::Configuration => "configuration in force, never reverts",
        })
    }
}

impl Row {
    fn new(promise: Promise) -> Self {
        Self { promise, tries: 0, violations: Vec::new(), excused: 0 }
    }

    fn case(&mut self, broken: Option<String>) {
        self.tries += 1;
        self.violations.extend(broken);
    }
}

/// Checks every promise.
pub(crate) fn all(evidence: &Evidence) -> Vec<Row> {
    vec![
        replicas(evidence),
        memory(evidence),
        in_time(evidence),
        own_answer(evidence),
        not_run(evidence),
        at_most_once(evidence),
        leaving(evidence),
        planned_stop(evidence),
        configuration(evidence),
    ]
}

fn replicas(evidence: &Evidence) -> Row {
    let mut row = Row::new(Promise::Replicas);
    for sample in &evidence.replicas {
        let stray = sample.loaded.iter().find(|place| !sample.granted.contains(place));
        let broken = sample.loaded.len() > sample.granted.len() || stray.is_some();
        row.case(broken.then(|| {
            format!(
                "{} at {:?}: loaded on {:?}, granted on {:?}",
                sample.artifact, sample.at, sample.loaded, sample.granted
            )
        }));
    }
    row
}

fn memory(evidence: &Evidence) -> Row {
    let mut row = Row::new(Promise::Memory);
    for mark in &evidence.memory {
        let broken = mark.high > mark.capacity;
        row.case(
            broken.then(|| {
                format!("{} held {} bytes of {}", mark.endpoint, mark.high, mark.capacity)
            }),
        );
    }
    row
}

fn in_time(evidence: &Evidence) -> Row {
    let mut row = Row::new(Promise::InTime);
    for call in &evidence.calls {
        if evidence.entry_crashed(call) {
            row.excused += 1;
            continue;
        }
        let took = call.done.saturating_sub(call.at);
        let late = took > call.deadline + CLIENT_GRACE;
        let silent = matches!(call.ending, Ending::Silent | Ending::Cut);
        row.case((late || silent).then(|| {
            format!("{}: {:?} after {took:?} of {:?}", name(call), call.ending, call.deadline)
        }));
    }
    row
}

fn own_answer(evidence: &Evidence) -> Row {
    let mut row = Row::new(Promise::OwnAnswer);
    for call in evidence.calls.iter().filter(|call| call.ending == Ending::Served) {
        let ran = call.request.as_ref().is_some_and(|id| evidence.runs_of(id) > 0);
        let broken = match (call.own, ran) {
            (true, true) => None,
            (false, _) => Some(format!("{}: not its answer: {}", name(call), call.text)),
            (true, false) => Some(format!("{}: answered, but no endpoint ran it", name(call))),
        };
        row.case(broken);
    }
    row
}

fn not_run(evidence: &Evidence) -> Row {
    let mut row = Row::new(Promise::NotRun);
    for call in evidence.calls.iter().filter(|call| call.ending == Ending::NotRun) {
        let broken = match &call.request {
            None => Some(format!("a refusal with status {} names no request", call.status)),
            Some(id) => match evidence.runs_of(id) {
                0 => None,
                runs => Some(format!("{id} was refused as not run and ran {runs} times")),
            },
        };
        row.case(broken);
    }
    row
}

fn at_most_once(evidence: &Evidence) -> Row {
    let mut row = Row::new(Promise::AtMostOnce);
    let mut runs: BTreeMap<&str, u32> = BTreeMap::new();
    for call in &evidence.calls {
        let Some(key) = &call.key else { continue };
        let ran = call.request.as_ref().map_or(0, |id| evidence.runs_of(id));
        *runs.entry(key).or_default() += ran;
    }
    for (key, runs) in runs {
        row.case((runs > 1).then(|| format!("the call with key `{key}` ran {runs} times")));
    }
    row
}

fn leaving(evidence: &Evidence) -> Row {
    let mut row = Row::new(Promise::Leaving);
    for departure in &evidence.departures {
        let late = evidence.calls.iter().find(|call| {
            call.at > departure.from + LEAVING_LIMIT
                && call.at < departure.to
                && call.request.as_ref().is_some_and(|id| ran_at(evidence, id, &departure.name))
        });
        row.case(late.map(|call| {
            format!("{} left at {:?} and got {}", departure.name, departure.from, name(call))
        }));
    }
    row
}

fn ran_at(evidence: &Evidence, request: &RequestId, endpoint: &str) -> bool {
    let mut executions = evidence.executions.iter();
    executions.any(|run| run.request == *request && run.endpoint == endpoint && run.runs > 0)
}

fn planned_stop(evidence: &Evidence) -> Row {
    let mut row = Row::new(Promise::PlannedStop);
    for stop in &evidence.stops {
        let name = &stop.period.name;
        row.case((!stop.clean).then(|| format!("{name} did not end with exit code 0")));
    }
    for call in &evidence.calls {
        let during = evidence.stops.iter().any(|stop| stop.period.overlaps(call.at, call.done));
        let crashed = evidence.crashes.iter().any(|crash| crash.overlaps(call.at, call.done));
        if !during {
            continue;
        }
        if crashed {
            row.excused += 1;
            continue;
        }
        let cut = !matches!(call.ending, Ending::Served | Ending::NotRun);
        row.case(cut.then(|| format!("{}: {:?} during a planned stop", name(call), call.ending)));
    }
    row
}

fn configuration(evidence: &Evidence) -> Row {
    let mut row = Row::new(Promise::Configuration);
    for publish in &evidence.publishes {
        let due = publish.at + CONFIG_LIMIT;
        for (process, samples) in by_process(evidence) {
            let mut bound =
                samples.iter().filter(|sample| sample.at >= due.max(sample.up + CONFIG_LIMIT));
            let behind = bound.find(|sample| sample.revision < publish.revision);
            row.case(behind.map(|sample| {
                format!(
                    "{process} had revision {} at {:?}; {} was accepted at {:?}",
                    sample.revision, sample.at, publish.revision, publish.at
                )
            }));
        }
    }
    for (process, samples) in by_process(evidence) {
        let back = samples
            .windows(2)
            .find(|pair| pair[0].up == pair[1].up && pair[1].revision < pair[0].revision);
        row.case(back.map(|pair| {
            format!(
                "{process} went back from revision {} to {}",
                pair[0].revision, pair[1].revision
            )
        }));
    }
    row
}

fn by_process(evidence: &Evidence) -> BTreeMap<&str, Vec<&RevisionSample>> {
    let mut processes: BTreeMap<&str, Vec<&RevisionSample>> = BTreeMap::new();
    for sample in &evidence.revisions {
        processes.entry(&sample.process).or_default().push(sample);
    }
    processes
}

fn name(call: &Call) -> String {
    let id = call.request.as_ref().map_or("a request without id", |id| id.as_str());
    format!("{id} ({} at {:?})", call.target, call.at)
}

#[cfg(test)]
mod tests;
