//! Counters, gauges and histograms, recorded from the same events as the log lines.

use std::sync::LazyLock;
use std::time::Instant;

use metrics::{counter, gauge, histogram};
use serde::Serialize;

use crate::{Dependency, Event, RouterLoad, Step};

/// Records the metrics of an event.
pub(crate) fn count(event: &Event<'_>) {
    match event {
        Event::Accepted { class, .. } => {
            counter!("requests_accepted_total", "class" => (*class).to_owned()).increment(1);
        }
        Event::Answered {
            class,
            status,
            first_ms,
            total_ms,
            gap_ms,
            whole,
            framing,
            tail_bytes,
            ..
        } => {
            let class = (*class).to_owned();
            let yes_or_no = |is_so| if is_so { "yes" } else { "no" };
            let whole = yes_or_no(*whole);
            counter!("answer_ends_total", "framing" => (*framing).to_owned(), "whole" => whole, "tail" => yes_or_no(*tail_bytes > 0))
                .increment(1);
            let status = status.to_string();
            counter!("requests_answered_total", "class" => class.clone(), "status" => status, "whole" => whole)
                .increment(1);
            histogram!("answer_first_seconds", "class" => class.clone()).record(seconds(*first_ms));
            histogram!("answer_total_seconds", "class" => class.clone()).record(seconds(*total_ms));
            histogram!("answer_gap_seconds", "class" => class).record(seconds(*gap_ms));
        }
        Event::Refused { class, status, cause, held_ms, .. } => {
            let (class, status, cause) = ((*class).to_owned(), status.to_string(), name(cause));
            counter!("requests_refused_total", "class" => class, "status" => status, "cause" => cause)
                .increment(1);
            histogram!("refused_held_seconds").record(seconds(*held_ms));
        }
        Event::CallerLeft { held_ms, .. } => {
            counter!("requests_left_total").increment(1);
            histogram!("left_held_seconds").record(seconds(*held_ms));
        }
        Event::Step { step, class, age_ms, quiet_ms, waited_ms, cold, .. } => {
            counter!("request_steps_total", "step" => name(step)).increment(1);
            if matches!(step, Step::Sent | Step::Abandoned) {
                histogram!("endpoint_quiet_seconds", "step" => name(step))
                    .record(seconds(*quiet_ms));
            }
            if *step == Step::Sent {
                let class = (*class).to_owned();
                histogram!("endpoint_news_age_seconds").record(seconds(*age_ms));
                histogram!("queue_seconds", "class" => class.clone()).record(seconds(*waited_ms));
                counter!("cold_starts_total", "class" => class).increment(u64::from(*cold));
            }
        }
        Event::Queued { class, .. } => {
            counter!("queued_total", "class" => (*class).to_owned()).increment(1);
        }
        Event::Dequeued { class, waited_ms, .. } => {
            let class = (*class).to_owned();
            histogram!("wait_queue_seconds", "class" => class).record(seconds(*waited_ms));
        }
        Event::Retry { allowed, spent, limit, .. } => {
            let outcome = if *allowed { "allowed" } else { "denied" };
            counter!("repeats_total", "outcome" => outcome).increment(1);
            gauge!("repeats_spent").set(f64::from(*spent));
            gauge!("repeats_limit").set(f64::from(*limit));
        }
        Event::Loaded { tier, took_ms, expect_ms, .. } => {
            let tier = name(tier);
            counter!("loads_total", "tier" => tier.clone()).increment(1);
            histogram!("load_seconds", "tier" => tier.clone()).record(seconds(*took_ms));
            let late = took_ms.saturating_sub(*expect_ms);
            histogram!("load_late_seconds", "tier" => tier).record(seconds(late));
        }
        Event::LoadRequested { cause, expect_ms, .. } => {
            counter!("models_wanted_total", "cause" => (*cause).to_owned()).increment(1);
            histogram!("load_expected_seconds").record(seconds(*expect_ms));
        }
        Event::LoadDeclined { cause, .. } => {
            let cause = if *cause == NO_ROOM { NO_ROOM } else { "no answer" };
            counter!("models_declined_total", "cause" => cause).increment(1);
        }
        Event::Order { work, outcome, .. } => {
            let (work, outcome) = ((*work).to_owned(), name(outcome));
            counter!("orders_total", "work" => work, "outcome" => outcome).increment(1);
        }
        Event::RoomGiven { cause, .. } => {
            counter!("room_given_total", "cause" => name(cause)).increment(1);
        }
        Event::DependencyLost { dependency, .. } => {
            counter!("dependencies_lost_total", "dependency" => name(dependency)).increment(1);
        }
        Event::DependencyRegained { dependency, after_ms, .. } => {
            histogram!("dependency_away_seconds", "dependency" => name(dependency))
                .record(seconds(*after_ms));
        }
        Event::RateLimitChanged { .. } => counter!("rate_limits_changed_total").increment(1),
        Event::RateLimited { .. } => counter!("rate_limited_total").increment(1),
        Event::EndpointPaused { .. } => counter!("endpoints_paused_total").increment(1),
        Event::Configured { version, .. } => {
            #[allow(clippy::cast_precision_loss, reason = "versions are small")]
            gauge!("configuration_version").set(*version as f64);
        }
        Event::Outdated { .. } => counter!("configurations_outdated_total").increment(1),
        Event::Unreadable { dependency, .. } => {
            counter!("records_unreadable_total", "dependency" => name(dependency)).increment(1);
        }
        Event::EndpointChanged { stage, .. } => {
            counter!("members_total", "stage" => (*stage).to_owned()).increment(1);
        }
        Event::HoldingsChanged { models, .. } => {
            gauge!("models_held").set(f64::from(u32::try_from(*models).unwrap_or(u32::MAX)));
        }
        Event::CrashChecked { ended, .. } => {
            let outcome = if *ended { "ended" } else { "not ended" };
            counter!("endpoints_examined_total", "outcome" => outcome).increment(1);
        }
        Event::SuspectChanged { suspect: true, kind, .. } => {
            counter!("suspects_total", "kind" => (*kind).to_owned()).increment(1);
        }
        Event::SuspectRequest { tried, parts, .. } => {
            let outcome = if *tried { "tried" } else { "refused" };
            let kind = if parts.is_empty() { "request" } else { "part" };
            counter!("suspects_barred_total", "outcome" => outcome, "kind" => kind).increment(1);
        }
        Event::KeyRejected { cause, .. } => {
            counter!("requests_denied_total", "cause" => (*cause).to_owned()).increment(1);
        }
        Event::LimitExceeded { workspace, cost, promised, .. } => {
            let workspace = (*workspace).to_owned();
            counter!("requests_limited_total", "workspace" => workspace.clone()).increment(1);
            counter!("tokens_limited_total", "workspace" => workspace).increment(*cost);
            if *promised {
                counter!("return_promises_total").increment(1);
            }
        }
        Event::EndpointSpeed { factor, .. } => histogram!("endpoint_time_factor").record(*factor),
        Event::PromiseKept { .. } => counter!("return_promises_kept_total").increment(1),
        Event::ShareChanged { shares, .. } => gauge!("quota_shares").set(f64::from(*shares)),
        Event::LinesDropped { lines } => counter!("lines_dropped_total").increment(*lines),
        Event::StoreRestored { dependency, .. } => {
            counter!("store_restores_total", "dependency" => name(dependency)).increment(1);
        }
        Event::NewestRead { topic, pages, bytes, more: false, .. } => {
            let topic = (*topic).to_owned();
            counter!("newest_read_pages_total", "topic" => topic.clone())
                .increment(u64::from(*pages));
            counter!("newest_read_bytes_total", "topic" => topic).increment(*bytes as u64);
        }
        Event::MirrorChosen { topic, .. } => {
            counter!("mirrors_chosen_total", "topic" => (*topic).to_owned()).increment(1);
        }
        Event::SnapshotReceived { .. } => counter!("routers_told_total").increment(1),
        Event::StreamResumption { at, outcome, evidence, took_ms, .. } => {
            let (at, outcome) = (name(at), name(outcome));
            counter!("stream_resumptions_total", "at" => at.clone(), "outcome" => outcome)
                .increment(1);
            if let Some(evidence) = evidence {
                counter!("stream_origin_doubts_total", "evidence" => name(evidence)).increment(1);
            }
            histogram!("stream_resumption_seconds", "at" => at).record(seconds(*took_ms));
        }
        Event::VersionsRecorded { .. } => counter!("versions_recorded_total").increment(1),
        Event::StreamsRecorded { bytes, .. } => {
            counter!("stream_records_total").increment(1);
            counter!("stream_record_bytes_total").increment(*bytes as u64);
        }
        Event::TaskPanicked { .. } => counter!("task_panics_total").increment(1),
        Event::VersionsChanged { .. } => counter!("versions_changed_total").increment(1),
        Event::OriginsNotTold { streams, .. } => count_origins_told("failed", *streams),
        Event::StreamsRemembered { .. }
        | Event::RouterLoad(_)
        | Event::BodiesTooLarge { .. }
        | Event::AcceptFailing { .. }
        | Event::AcceptRecovered
        | Event::Started { .. }
        | Event::StartDelayed { .. }
        | Event::MetricsUnavailable { .. }
        | Event::Stopping { .. }
        | Event::Stopped { .. }
        | Event::Reloaded { .. }
        | Event::TokenAcquired { .. }
        | Event::SuspectChanged { .. }
        | Event::EndpointsUneven { .. }
        | Event::LoadPermit { .. }
        | Event::NewestRead { more: true, .. } => {}
    }
}

/// Records at how many of the known crashes of endpoints the same request or the same prompt part was running.
pub fn record_common_crashes(crashes: usize, request: usize, part: usize) {
    let set = |name, count| gauge!(name).set(f64::from(u32::try_from(count).unwrap_or(u32::MAX)));
    set("crashes_known", crashes);
    set("crashes_with_common_request", request);
    set("crashes_with_common_part", part);
}

/// Counts streams of which a keeper was told where they began. Failures are counted from [`Event::OriginsNotTold`].
pub fn count_told_origins(streams: usize) {
    count_origins_told("told", streams);
}

fn count_origins_told(outcome: &'static str, streams: usize) {
    let streams = u64::try_from(streams).unwrap_or(u64::MAX);
    counter!("origins_told_total", "outcome" => outcome).increment(streams);
}

/// Records how many origins of streams this process keeps.
pub fn record_origins(kept: usize) {
    gauge!("origins_kept").set(f64::from(u32::try_from(kept).unwrap_or(u32::MAX)));
}

/// Records how loaded a router was since the last call.
pub fn record_router_load(load: &RouterLoad) {
    counter!("connections_accepted_total").increment(u64::from(load.accepted));
    counter!("connections_closed_unread_total").increment(u64::from(load.closed_unread));
    counter!("connections_evicted_total").increment(u64::from(load.evicted));
    counter!("connections_refused_total").increment(u64::from(load.refused));
    counter!("sent_bytes_total").increment(load.sent_bytes);
    gauge!("connections_unread").set(f64::from(load.unread));
    gauge!("connections_open").set(f64::from(load.open));
    gauge!("request_body_bytes").set(load.body_bytes as f64);
    gauge!("busy_ratio").set(f64::from(load.busy_percent) / 100.0);
    histogram!("attend_delay_seconds").record(seconds(load.attend_delay_ms));
    histogram!("timer_delay_seconds").record(seconds(load.timer_delay_ms));
}

/// Counts a call to the platform's store.
pub fn count_call(call: &'static str, outcome: String) {
    counter!("store_calls_total", "call" => call, "outcome" => outcome).increment(1);
}

/// Records that a dependency was reached just now. The time since then is `uptime_seconds` minus this gauge.
pub fn record_reached(dependency: Dependency) {
    gauge!("dependency_reached_seconds", "dependency" => name(&dependency)).set(uptime());
}

/// Updates the gauges of the process itself.
pub fn update_process_gauges() {
    gauge!("uptime_seconds").set(uptime());
    // The second number is the resident memory, in pages.
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    if let Some(pages) = statm.split(' ').nth(1).and_then(|pages| pages.parse::<u32>().ok()) {
        gauge!("resident_bytes").set(f64::from(pages) * PAGE_BYTES);
    }
}

/// The cause in [`Event::LoadDeclined`] if the loader was reached and has no room in time; all other causes count as `no answer`.
pub const NO_ROOM: &str = "no room in time";

/// The size of a memory page, in bytes.
const PAGE_BYTES: f64 = 4096.0;

/// The time from which `uptime_seconds` counts: the first use of a gauge that needs it.
static UPTIME_START: LazyLock<Instant> = LazyLock::new(Instant::now);

fn uptime() -> f64 {
    UPTIME_START.elapsed().as_secs_f64()
}

fn seconds(millis: u64) -> f64 {
    std::time::Duration::from_millis(millis).as_secs_f64()
}

/// The name with which a value is logged.
fn name(value: &impl Serialize) -> String {
    match serde_json::to_value(value) {
        Ok(serde_json::Value::String(name)) => name,
        _ => "unknown".to_owned(),
    }
}
