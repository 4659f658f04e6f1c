//! Reads the platform's list of instances, and probes the agents of endpoints that the list lacks.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use edge::{Instance, InstanceList};
use futures_util::{StreamExt, stream};
use state::Member;
use tokio::sync::watch::Sender;
use tokio::time::{Instant, sleep, timeout};
use wire::Control;

use crate::membership::{Observations, ProbeTarget};
use crate::probe::answers_heartbeat;
use crate::run::Shared;

/// How long a read of the list may take.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// How long an agent may take to acknowledge that its instance is leaving.
const NOTIFY_TIMEOUT: Duration = Duration::from_secs(1);
/// How many agents are probed at the same time, and how many are probed or notified after each read of the list.
const MAX_CONCURRENT_PROBES: usize = 128;

/// Reads the list while this process holds the lease, and publishes the observations. They are reset with each epoch.
pub(crate) async fn watch_list(
    shared: &Shared,
    list: Arc<dyn InstanceList>,
    observations: Sender<Observations>,
) {
    let mut epoch = None;
    let mut last_error = None;
    loop {
        let held = shared.journal.read(|state| shared.held_epoch(state));
        if held != epoch {
            epoch = held;
            observations.send_replace(Observations::default());
        }
        if held.is_some() {
            update(shared, &*list, &observations, &mut last_error).await;
        }
        sleep(shared.options.list_interval).await;
    }
}

/// Reads the list once, probes the agents that are due, and publishes the observations.
async fn update(
    shared: &Shared,
    list: &dyn InstanceList,
    observations: &Sender<Observations>,
    last_error: &mut Option<String>,
) {
    let instances = match read_list(list).await {
        Ok(instances) => instances,
        Err(cause) => return report_unusable_list(last_error, cause),
    };
    if last_error.take().is_some() {
        log::info!("planner: the instance list can be used again");
    }
    let members: Vec<Member> = shared.journal.read(|state| state.members().cloned().collect());
    observations.send_modify(|seen| seen.record_list(&members, &instances, Instant::now()));
    let targets =
        observations.borrow().due_probes(&members, shared.options.absence_timeout, Instant::now());
    let targets = targets.into_iter().take(MAX_CONCURRENT_PROBES);
    let probed = stream::iter(targets).map(|target| probe(shared, target));
    let probed: Vec<(ProbeTarget, bool)> =
        probed.buffer_unordered(MAX_CONCURRENT_PROBES).collect().await;
    observations.send_if_modified(|seen| {
        for (target, answered) in &probed {
            seen.record_probe(&target.endpoint, *answered, Instant::now());
        }
        !probed.is_empty()
    });
    notify_leaving(shared, &members, &observations.borrow().clone());
}

/// Notifies agents whose instances are listed as leaving, until they record in the log that they leave. The agents
/// themselves read the list too seldom. A lost message is sent again after the next read.
fn notify_leaving(shared: &Shared, members: &[Member], observations: &Observations) {
    let needs_notice =
        |member: &&Member| !member.leaving && observations.is_leaving(&member.attach);
    for member in members.iter().filter(needs_notice).take(MAX_CONCURRENT_PROBES) {
        let control = Control::Leaving { instance: member.attach.instance.clone() };
        let Ok(message) = serde_json::to_vec(&control) else { continue };
        let (network, addr) = (shared.options.network.clone(), member.attach.control);
        tokio::spawn(async move {
            if let Err(error) = network.request(addr, Bytes::from(message), NOTIFY_TIMEOUT).await {
                log::debug!(
                    "planner: failed to notify an agent that its instance is leaving: {error}"
                );
            }
        });
    }
}

/// Reads the list. An empty list is an error, since it proves nothing about the members.
async fn read_list(list: &dyn InstanceList) -> Result<Vec<Instance>, String> {
    match timeout(READ_TIMEOUT, list.instances()).await {
        Ok(Ok(instances)) if instances.is_empty() => Err("the instance list is empty".to_owned()),
        Ok(Ok(instances)) => Ok(instances),
        Ok(Err(error)) => Err(error.to_string()),
        Err(_) => Err(format!("no answer from the instance list within {READ_TIMEOUT:?}")),
    }
}

/// Logs an error of the list once until it changes, and counts every read that could not be used.
fn report_unusable_list(last_error: &mut Option<String>, cause: String) {
    metrics::counter!("planner_list_unusable_total").increment(1);
    if last_error.as_ref() != Some(&cause) {
        log::warn!("planner: {cause}; no endpoint is declared gone because of this");
        *last_error = Some(cause);
    }
}

/// Probes an agent, and returns whether it answered.
async fn probe(shared: &Shared, target: ProbeTarget) -> (ProbeTarget, bool) {
    let answered = answers_heartbeat(shared, &target.instance, target.control).await;
    if answered {
        log::warn!("planner: {} is off the list, but its agent answers", target.endpoint);
    }
    (target, answered)
}
