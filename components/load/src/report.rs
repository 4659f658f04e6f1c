//! The result of an experiment in numbers.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tree::Class;

use crate::checks::Row;
use crate::evidence::{Call, Ending};
use crate::warmth::Warmth;

/// Significant digits of latencies.
const DIGITS: u8 = 3;

/// The result of an experiment.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Report {
    /// The experiment.
    pub(crate) experiment: String,
    /// How long load arrived, in seconds.
    pub(crate) seconds: f64,
    /// Calls by class.
    pub(crate) classes: BTreeMap<String, ClassReport>,
    /// Cold starts: from the first request of a cold model to its first token.
    pub(crate) cold_starts: Percentiles,
    /// Loads that engines began.
    pub(crate) loads: u32,
    /// Seconds in which replicas were loaded.
    pub(crate) loaded_seconds: f64,
    /// Seconds in which replicas were loaded and ran nothing.
    pub(crate) idle_seconds: f64,
    /// The promises.
    pub(crate) promises: Vec<PromiseReport>,
}

/// The calls of one class.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct ClassReport {
    pub(crate) calls: usize,
    pub(crate) served: usize,
    pub(crate) not_run: usize,
    pub(crate) unknown: usize,
    pub(crate) cut: usize,
    pub(crate) silent: usize,
    /// Why calls were not served, as the answers said it.
    #[serde(default)]
    pub(crate) reasons: BTreeMap<String, usize>,
    /// From the intended arrival to the first token, of served calls.
    pub(crate) first: Percentiles,
    /// The same of calls that found no replica of their model ready.
    pub(crate) cold: Percentiles,
    /// From the intended arrival to the end of the answer, of served calls.
    pub(crate) whole: Percentiles,
}

/// Percentiles in milliseconds.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub(crate) struct Percentiles {
    pub(crate) count: u64,
    pub(crate) p50: f64,
    pub(crate) p90: f64,
    pub(crate) p95: f64,
    pub(crate) p99: f64,
    pub(crate) max: f64,
}

/// What became of one promise.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct PromiseReport {
    pub(crate) promise: String,
    pub(crate) tries: usize,
    pub(crate) violations: usize,
    pub(crate) excused: usize,
    /// Some of the violations.
    pub(crate) examples: Vec<String>,
}

/// How many violations of a promise a report names.
const EXAMPLES: usize = 10;

impl Percentiles {
    /// Of some times.
    pub(crate) fn of(times: impl IntoIterator<Item = Duration>) -> Self {
        let Ok(mut histogram) = Histogram::<u64>::new(DIGITS) else { return Self::default() };
        for time in times {
            // The histogram grows as it needs, so no value is too large for it.
            let _ = histogram.record(u64::try_from(time.as_micros()).unwrap_or(u64::MAX));
        }
        let at = |part| histogram.value_at_quantile(part) as f64 / 1e3;
        Self {
            count: histogram.len(),
            p50: at(0.5),
            p90: at(0.9),
            p95: at(0.95),
            p99: at(0.99),
            max: histogram.max() as f64 / 1e3,
        }
    }
}

impl From<&Row> for PromiseReport {
    fn from(row: &Row) -> Self {
        Self {
            promise: row.promise.to_string(),
            tries: row.tries,
            violations: row.violations.len(),
            excused: row.excused,
            examples: row.violations.iter().take(EXAMPLES).cloned().collect(),
        }
    }
}

/// The name of a class.
pub(crate) fn class_name(class: Class) -> &'static str {
    match class {
        Class::Urgent => "urgent",
        Class::Interactive => "interactive",
        Class::Series => "series",
    }
}

/// Calls by class.
pub(crate) fn classes(calls: &[Call], warmth: &Warmth) -> BTreeMap<String, ClassReport> {
    let mut by_class: BTreeMap<&str, Vec<&Call>> = BTreeMap::new();
    for call in calls {
        by_class.entry(class_name(call.class)).or_default().push(call);
    }
    let reports = by_class.into_iter();
    reports.map(|(name, calls)| (name.to_owned(), class(&calls, warmth))).collect()
}

fn class(calls: &[&Call], warmth: &Warmth) -> ClassReport {
    let count = |ending| calls.iter().filter(|call| call.ending == ending).count();
    let served = || calls.iter().filter(|call| call.ending == Ending::Served);
    let first = |call: &&&Call| call.first.map(|first| first.saturating_sub(call.at));
    ClassReport {
        calls: calls.len(),
        served: count(Ending::Served),
        not_run: count(Ending::NotRun),
        unknown: count(Ending::Unknown),
        cut: count(Ending::Cut),
        silent: count(Ending::Silent),
        reasons: reasons(calls),
        first: Percentiles::of(served().filter_map(|call| first(&call))),
        cold: Percentiles::of(
            served().filter(|call| warmth.is_cold(call)).filter_map(|call| first(&call)),
        ),
        whole: Percentiles::of(served().map(|call| call.done.saturating_sub(call.at))),
    }
}

fn reasons(calls: &[&Call]) -> BTreeMap<String, usize> {
    let mut reasons = BTreeMap::new();
    for call in calls.iter().filter(|call| call.ending != Ending::Served) {
        *reasons.entry(reason(&call.text)).or_default() += 1;
    }
    reasons
}

/// The type of the error that an answer tells, where it does.
fn reason(text: &str) -> String {
    let json: Option<Value> = serde_json::from_str(text).ok();
    let kind = json.as_ref().and_then(|json| json.pointer("/error/type")?.as_str());
    kind.unwrap_or("not said").to_owned()
}

#[cfg(test)]
mod tests;
