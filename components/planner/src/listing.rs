//! Reading the platform's list, and asking agents that it lacks.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use edge::{Instance, InstanceList};
use futures_util::{StreamExt, stream};
use state::Member;
use tokio::sync::watch::Sender;
use tokio::time::{Instant, sleep, timeout};
use wire::Control;

use crate::membership::{Sightings, Suspect};
use crate::probe::answers;
use crate::run::Shared;

/// How long a reading of the list may take.
const READ_LIMIT: Duration = Duration::from_secs(2);
/// How long an agent may take to answer that it knows.
const TELL_LIMIT: Duration = Duration::from_secs(1);
/// How many agents are asked at the same time, and between two readings.
const ASKED_AT_ONCE: usize = 128;

/// Watches the list while the lease is held and publishes what is seen; starts anew with each epoch.
pub(crate) async fn watch(
    shared: &Shared,
    list: Arc<dyn InstanceList>,
    sightings: Sender<Sightings>,
) {
    let mut epoch = None;
    let mut trouble = None;
    loop {
        let held = shared.journal.read(|state| shared.held(state));
        if held != epoch {
            epoch = held;
            sightings.send_replace(Sightings::default());
        }
        if held.is_some() {
            look(shared, &*list, &sightings, &mut trouble).await;
        }
        sleep(shared.options.list_interval).await;
    }
}

async fn look(
    shared: &Shared,
    list: &dyn InstanceList,
    sightings: &Sender<Sightings>,
    trouble: &mut Option<String>,
) {
    let instances = match read(list).await {
        Ok(instances) => instances,
        Err(cause) => return note_trouble(trouble, cause),
    };
    if trouble.take().is_some() {
        log::info!("planner: the instance list can be used again");
    }
    let members: Vec<Member> = shared.journal.read(|state| state.members().cloned().collect());
    sightings.send_modify(|seen| seen.note(&members, &instances, Instant::now()));
    let suspects =
        sightings.borrow().suspects(&members, shared.options.absence_timeout, Instant::now());
    let asked = suspects.into_iter().take(ASKED_AT_ONCE);
    let heard = stream::iter(asked).map(|suspect| ask(shared, suspect));
    let heard: Vec<(Suspect, bool)> = heard.buffer_unordered(ASKED_AT_ONCE).collect().await;
    sightings.send_if_modified(|seen| {
        for (suspect, answered) in &heard {
            seen.note_answer(&suspect.endpoint, *answered, Instant::now());
        }
        !heard.is_empty()
    });
    tell_leaving(shared, &members, &sightings.borrow().clone());
}

/// Tells agents whose instances are listed as leaving, until they say in the log that they leave: they
/// read the list too seldom themselves. A message that is lost is repeated with the next reading.
fn tell_leaving(shared: &Shared, members: &[Member], sightings: &Sightings) {
    let told = |member: &&Member| !member.leaving && sightings.is_leaving(&member.attach);
    for member in members.iter().filter(told).take(ASKED_AT_ONCE) {
        let control = Control::Leaving { instance: member.attach.instance.clone() };
        let Ok(message) = serde_json::to_vec(&control) else { continue };
        let (network, addr) = (shared.options.network.clone(), member.attach.control);
        tokio::spawn(async move {
            if let Err(error) = network.ask(addr, Bytes::from(message), TELL_LIMIT).await {
                log::debug!("planner: {error}");
            }
        });
    }
}

/// Reads the list; one that is empty proves nothing.
async fn read(list: &dyn InstanceList) -> Result<Vec<Instance>, String> {
    match timeout(READ_LIMIT, list.instances()).await {
        Ok(Ok(instances)) if instances.is_empty() => Err("the instance list is empty".to_owned()),
        Ok(Ok(instances)) => Ok(instances),
        Ok(Err(error)) => Err(error.to_string()),
        Err(_) => Err(format!("no answer from the instance list within {READ_LIMIT:?}")),
    }
}

/// Says once what is wrong with the list, and counts every reading that could not be used.
fn note_trouble(trouble: &mut Option<String>, cause: String) {
    metrics::counter!("planner_list_unusable_total").increment(1);
    if trouble.as_ref() != Some(&cause) {
        log::warn!("planner: {cause}; nobody is dropped by it");
        *trouble = Some(cause);
    }
}

async fn ask(shared: &Shared, suspect: Suspect) -> (Suspect, bool) {
    let answered = answers(shared, &suspect.instance, suspect.control).await;
    if answered {
        log::warn!("planner: {} is off the list, but its agent answers", suspect.endpoint);
    }
    (suspect, answered)
}
