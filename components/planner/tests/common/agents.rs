//! Fake agents that attach, release revoked grants, leave and crash.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, PoisonError};

use edge::{Instance, InstanceState};
use journal::Journal;
use record::{Attach, Body, GrantId};
use state::{State, Verdict};
use tokio::task::JoinHandle;
use units::{Domain, EndpointId, Incarnation, InstanceId};

use super::{APPEND_TIMEOUT, LeavingNotices, Site, addr, serve};

const DOMAINS: [&str; 4] = ["saddar", "clifton", "lyari", "korangi"];
/// The number of the first agent's control address, see [`addr`].
const FIRST_CONTROL_ADDR: usize = 1000;

/// Many agents that share one journal.
pub(crate) struct Agents {
    site: Site,
    pub(crate) journal: Journal,
    running: Arc<Mutex<BTreeSet<usize>>>,
    leaving_notices: LeavingNotices,
    task: JoinHandle<()>,
}

pub(crate) fn endpoint(number: usize) -> EndpointId {
    format!("engine-{number}").parse().expect("an endpoint")
}

pub(crate) fn instance(number: usize) -> InstanceId {
    format!("server-{number}").parse().expect("an instance")
}

pub(crate) fn domain(number: usize) -> Domain {
    DOMAINS[number % DOMAINS.len()].parse().expect("a domain")
}

fn attach(number: usize, previous: Incarnation) -> Attach {
    Attach {
        instance: instance(number),
        domain: domain(number),
        previous,
        ..sample::attach(endpoint(number).as_str(), addr(FIRST_CONTROL_ADDR + number))
    }
}

impl Agents {
    /// Attaches `count` agents and adds their instances to the list.
    pub(crate) async fn start(site: &Site, count: usize) -> Self {
        let journal = site.journal("agents", Arc::new(site.log.clone()));
        journal.ready().await;
        let running = Arc::<Mutex<BTreeSet<usize>>>::default();
        let task = tokio::spawn(release_all(journal.clone(), running.clone()));
        let agents = Self {
            site: site.clone(),
            journal,
            running,
            leaving_notices: LeavingNotices::default(),
            task,
        };
        let mut list = site.list.newest();
        list.extend((0..count).map(|number| agents.listed(number)));
        site.list.set(list);
        let attaches = (0..count).map(|number| agents.attach(number));
        futures_util::future::join_all(attaches).await;
        agents
    }

    fn listed(&self, number: usize) -> Instance {
        let service = "likhari".parse().expect("a service");
        let state = InstanceState::Live;
        Instance { id: instance(number), service, domain: domain(number), state }
    }

    /// Attaches an agent, or its next incarnation.
    pub(crate) async fn attach(&self, number: usize) -> Verdict {
        self.attach_as(number, instance(number)).await
    }

    /// Attaches an agent that runs on another instance than usual, at the usual address.
    pub(crate) async fn attach_as(&self, number: usize, instance: InstanceId) -> Verdict {
        serve(
            &self.site.net,
            addr(FIRST_CONTROL_ADDR + number),
            instance.clone(),
            self.journal.clone(),
            self.leaving_notices(),
        );
        let endpoint = endpoint(number);
        let previous = self.journal.read(|state| state.member(&endpoint).map(|m| m.incarnation));
        let attach = Attach { instance, ..attach(number, previous.unwrap_or_default()) };
        let body = Body::Attach(attach);
        let applied = self.journal.append(body, APPEND_TIMEOUT).await.expect("the log is up");
        self.with_running(|running| running.insert(number));
        applied.verdicts[0].clone()
    }

    /// The instances that agents were notified about as leaving.
    pub(crate) fn leaving_notices(&self) -> LeavingNotices {
        self.leaving_notices.clone()
    }

    fn with_running<R>(&self, change: impl FnOnce(&mut BTreeSet<usize>) -> R) -> R {
        change(&mut self.running.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Crashes agents and removes their instances from the list.
    pub(crate) fn lose(&self, numbers: impl Iterator<Item = usize>) {
        let lost: BTreeSet<usize> = numbers.collect();
        lost.iter().for_each(|number| self.crash(*number));
        let mut list = self.site.list.newest();
        list.retain(|one| !lost.iter().any(|number| one.id == instance(*number)));
        self.site.list.set(list);
    }

    /// Adds agents to the platform's list again.
    pub(crate) fn list(&self, numbers: &[usize]) {
        let mut list = self.site.list.newest();
        list.extend(numbers.iter().map(|number| self.listed(*number)));
        self.site.list.set(list);
    }

    /// Crashes an agent whose instance stays on the list.
    pub(crate) fn crash(&self, number: usize) {
        self.with_running(|running| running.remove(&number));
        self.site.net.remove(addr(FIRST_CONTROL_ADDR + number));
    }

    /// Appends the agent's record that it leaves.
    pub(crate) async fn leave(&self, number: usize) {
        let endpoint = endpoint(number);
        let member = self.journal.read(|state| state.member(&endpoint).cloned());
        let incarnation = member.expect("a member").incarnation;
        let leave = Body::Leave { endpoint, incarnation };
        self.journal.append(leave, APPEND_TIMEOUT).await.expect("the log is up");
    }
}

impl Drop for Agents {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Releases the revoked grants of running agents.
async fn release_all(journal: Journal, running: Arc<Mutex<BTreeSet<usize>>>) {
    let mut changes = journal.changes();
    while changes.changed().await.is_ok() {
        let running = running.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let releases = journal.read(|state| releases(state, &running));
        let appends = releases.into_iter().map(|body| journal.append(body, APPEND_TIMEOUT));
        futures_util::future::join_all(appends).await;
    }
}

/// The records with which running agents release their revoked grants.
fn releases(state: &State, running: &BTreeSet<usize>) -> Vec<Body> {
    let members = running.iter().filter_map(|number| state.member(&endpoint(*number)));
    let release = members.filter_map(|member| {
        let at = state.grants_at(&member.attach.endpoint);
        let grants: Vec<GrantId> = at.filter(|grant| grant.revoked).map(|grant| grant.id).collect();
        let (endpoint, incarnation) = (member.attach.endpoint.clone(), member.incarnation);
        (!grants.is_empty()).then_some(Body::Release { endpoint, incarnation, grants })
    });
    release.collect()
}
