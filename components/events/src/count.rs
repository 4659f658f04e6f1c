//! Counters and histograms, from the same events as the lines.

use metrics::{counter, gauge, histogram};
use serde::Serialize;

use crate::Event;

/// Counts an event.
pub(crate) fn count(event: &Event<'_>) {
    match event {
        Event::Accepted { .. } => counter!("requests_accepted_total").increment(1),
        Event::Answered { status, first_ms, total_ms, gap_ms, whole, .. } => {
            let whole = if *whole { "yes" } else { "no" };
            let status = status.to_string();
            counter!("requests_answered_total", "status" => status, "whole" => whole).increment(1);
            histogram!("answer_first_seconds").record(seconds(*first_ms));
            histogram!("answer_total_seconds").record(seconds(*total_ms));
            histogram!("answer_gap_seconds").record(seconds(*gap_ms));
        }
        Event::Refused { status, cause, held_ms, .. } => {
            let (status, cause) = (status.to_string(), name(cause));
            counter!("requests_refused_total", "status" => status, "cause" => cause).increment(1);
            histogram!("refused_held_seconds").record(seconds(*held_ms));
        }
        Event::Left { held_ms, .. } => {
            counter!("requests_left_total").increment(1);
            histogram!("left_held_seconds").record(seconds(*held_ms));
        }
        Event::Step { step, age_ms, .. } => {
            counter!("request_steps_total", "step" => name(step)).increment(1);
            histogram!("endpoint_news_age_seconds").record(seconds(*age_ms));
        }
        Event::Wanted { cause, expect_ms, .. } => {
            counter!("models_wanted_total", "cause" => (*cause).to_owned()).increment(1);
            histogram!("load_expected_seconds").record(seconds(*expect_ms));
        }
        Event::Order { work, outcome, .. } => {
            let (work, outcome) = ((*work).to_owned(), name(outcome));
            counter!("orders_total", "work" => work, "outcome" => outcome).increment(1);
        }
        Event::Lost { dependency, .. } => {
            counter!("dependencies_lost_total", "dependency" => name(dependency)).increment(1);
        }
        Event::Regained { dependency, after_ms, .. } => {
            histogram!("dependency_away_seconds", "dependency" => name(dependency))
                .record(seconds(*after_ms));
        }
        Event::Suspect { .. } => counter!("endpoints_paused_total").increment(1),
        Event::Configured { version, .. } => {
            #[allow(clippy::cast_precision_loss, reason = "versions are small")]
            gauge!("configuration_version").set(*version as f64);
        }
        Event::Outdated { .. } => counter!("configurations_outdated_total").increment(1),
        Event::Unreadable { dependency, .. } => {
            counter!("records_unreadable_total", "dependency" => name(dependency)).increment(1);
        }
        Event::Member { stage, .. } => {
            counter!("members_total", "stage" => (*stage).to_owned()).increment(1);
        }
        Event::Holds { models, .. } => {
            gauge!("models_held").set(f64::from(u32::try_from(*models).unwrap_or(u32::MAX)));
        }
        Event::Dropped { lines } => counter!("lines_dropped_total").increment(*lines),
        Event::Told { .. } => counter!("routers_told_total").increment(1),
        Event::Started { .. }
        | Event::Stopping { .. }
        | Event::Stopped { .. }
        | Event::Reloaded { .. }
        | Event::Token { .. } => {}
    }
}

fn seconds(millis: u64) -> f64 {
    std::time::Duration::from_millis(millis).as_secs_f64()
}

/// The name that a value has in the lines.
fn name(value: &impl Serialize) -> String {
    match serde_json::to_value(value) {
        Ok(serde_json::Value::String(name)) => name,
        _ => "unknown".to_owned(),
    }
}
