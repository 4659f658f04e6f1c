//! Decides which endpoints are gone, from the platform's list of instances and from probes of the agents.
//!
//! The list lags and can be faulty, so one read proves nothing. An endpoint is gone when every read during the absence
//! timeout lacked its instance *and* its agent did not answer a probe at its control address. An empty list is ignored.
//! If a read lacks more than one in [`MASS_LOSS_DIVISOR`] members, the timeout is [`MASS_LOSS_FACTOR`] times as long,
//! since a faulty list is then more likely than so large a loss.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use edge::{Instance, InstanceState};
use record::Attach;
use state::Member;
use tokio::time::Instant;
use units::{EndpointId, Incarnation, InstanceId};

/// A list that lacks more than one in this many members counts as a mass loss.
pub(crate) const MASS_LOSS_DIVISOR: usize = 2;
/// How many absence timeouts a mass loss must last until its endpoints count as gone.
pub(crate) const MASS_LOSS_FACTOR: u32 = 2;
/// The agent of an absent endpoint is probed after the absence timeout divided by this. If the probe fails, the endpoint
/// counts as unresponsive.
pub(crate) const PROBE_DELAY_DIVISOR: u32 = 2;

/// The absence of an endpoint's instance from the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Absence {
    incarnation: Incarnation,
    /// When the list first lacked the instance, or when its agent last answered a probe since then.
    since: Instant,
    /// Whether the last probe of its agent got no answer.
    probe_failed: bool,
    /// Whether the instance was missing together with most members.
    mass_loss: bool,
}

/// What the list and the probes have shown about the members.
#[derive(Debug, Clone, Default)]
pub(crate) struct Observations {
    absent: HashMap<EndpointId, Absence>,
    leaving: HashSet<InstanceId>,
    /// When the list was last read; empty lists do not count.
    list_read_at: Option<Instant>,
}

/// An agent to probe, because its endpoint may be gone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ProbeTarget {
    pub(crate) endpoint: EndpointId,
    pub(crate) instance: InstanceId,
    pub(crate) control: SocketAddr,
}

impl Observations {
    /// Records a read of the list.
    pub(crate) fn record_list(&mut self, members: &[Member], list: &[Instance], now: Instant) {
        if list.is_empty() {
            return;
        }
        self.list_read_at = Some(now);
        let listed: HashSet<&InstanceId> = list.iter().map(|instance| &instance.id).collect();
        let missing = members.iter().filter(|member| !listed.contains(&member.attach.instance));
        let missing: Vec<&Member> = missing.collect();
        let mass_loss = missing.len() * MASS_LOSS_DIVISOR > members.len();
        let mut absent = HashMap::with_capacity(missing.len());
        for member in missing {
            let first = Absence {
                incarnation: member.incarnation,
                since: now,
                probe_failed: false,
                mass_loss,
            };
            let previous = self.absent.get(&member.attach.endpoint);
            let previous = previous.filter(|absence| absence.incarnation == member.incarnation);
            let absence = previous.map_or(first, |previous| Absence {
                mass_loss: previous.mass_loss || mass_loss,
                ..*previous
            });
            absent.insert(member.attach.endpoint.clone(), absence);
        }
        self.absent = absent;
        let leaving = list.iter().filter(|instance| instance.state == InstanceState::Leaving);
        self.leaving = leaving.map(|instance| instance.id.clone()).collect();
    }

    /// Returns the members to probe: those that have been absent long enough and have no failed probe yet.
    pub(crate) fn due_probes(
        &self,
        members: &[Member],
        absence_timeout: Duration,
        now: Instant,
    ) -> Vec<ProbeTarget> {
        let is_due = |member: &&Member| {
            let absence = self.absent.get(&member.attach.endpoint);
            absence.is_some_and(|absence| {
                !absence.probe_failed
                    && now.duration_since(absence.since) >= absence_timeout / PROBE_DELAY_DIVISOR
            })
        };
        let target = |member: &Member| ProbeTarget {
            endpoint: member.attach.endpoint.clone(),
            instance: member.attach.instance.clone(),
            control: member.attach.control,
        };
        members.iter().filter(is_due).map(target).collect()
    }

    /// Records whether an agent answered a probe. An answer starts the absence timeout again.
    pub(crate) fn record_probe(&mut self, endpoint: &EndpointId, answered: bool, now: Instant) {
        if let Some(absence) = self.absent.get_mut(endpoint) {
            absence.probe_failed = !answered;
            if answered {
                absence.since = now;
            }
        }
    }

    /// Whether an endpoint is absent from the list and its agent did not answer the last probe.
    pub(crate) fn is_unresponsive(&self, member: &Member) -> bool {
        self.absence(member).is_some_and(|absence| absence.probe_failed)
    }

    /// Whether the list says that an instance will be removed.
    pub(crate) fn is_leaving(&self, attach: &Attach) -> bool {
        self.leaving.contains(&attach.instance)
    }

    /// Whether a member is gone: absent from the list for the absence timeout, with an agent that does not answer.
    pub(crate) fn is_gone(&self, member: &Member, absence_timeout: Duration) -> bool {
        let Some(absence) = self.absence(member).filter(|absence| absence.probe_failed) else {
            return false;
        };
        let factor = if absence.mass_loss { MASS_LOSS_FACTOR } else { 1 };
        self.list_read_at
            .is_some_and(|read| read.duration_since(absence.since) >= absence_timeout * factor)
    }

    /// Whether the newest read of the list lacks a member.
    pub(crate) fn is_absent(&self, member: &Member) -> bool {
        self.absence(member).is_some()
    }

    fn absence(&self, member: &Member) -> Option<&Absence> {
        let absence = self.absent.get(&member.attach.endpoint);
        absence.filter(|absence| absence.incarnation == member.incarnation)
    }
}

#[cfg(test)]
mod tests;
