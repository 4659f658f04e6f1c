//! Which endpoints are gone, from readings of the platform's list and answers of the agents.
//!
//! The list lags and can be faulty, so one reading proves nothing. An endpoint is gone when every reading
//! during the guard time lacked its instance *and* its agent did not answer on its control address. A reading
//! that is empty proves nothing at all; one that lacks more than [`MASS_PART`] of the members at once
//! must last [`MASS_FACTOR`] times as long, since a faulty list is then likelier than so large a loss.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use edge::{Instance, InstanceState};
use record::Attach;
use state::Member;
use tokio::time::Instant;
use units::{EndpointId, Incarnation, InstanceId};

/// A reading that lacks more than one in this many members is a mass loss.
pub(crate) const MASS_PART: usize = 2;
/// How many guard times a mass loss must last.
pub(crate) const MASS_FACTOR: u32 = 2;
/// An absent endpoint is treated as silent, and asked itself, after this part of the guard time.
pub(crate) const SILENT_PART: u32 = 2;

/// An endpoint whose instance the list lacks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Absence {
    incarnation: Incarnation,
    /// When the first reading without it came.
    since: Instant,
    /// Whether its agent was asked in vain since then.
    unanswered: bool,
    /// Whether it went together with most members.
    mass: bool,
}

/// What the planner has seen of the members.
#[derive(Debug, Clone, Default)]
pub(crate) struct Sightings {
    absent: HashMap<EndpointId, Absence>,
    leaving: HashSet<InstanceId>,
    /// When the newest reading that counts came.
    read: Option<Instant>,
}

/// Where an agent that may be gone can be asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Suspect {
    pub(crate) endpoint: EndpointId,
    pub(crate) instance: InstanceId,
    pub(crate) control: SocketAddr,
}

impl Sightings {
    /// Takes a reading of the list in.
    pub(crate) fn note(&mut self, members: &[Member], list: &[Instance], now: Instant) {
        if list.is_empty() {
            return;
        }
        self.read = Some(now);
        let listed: HashSet<&InstanceId> = list.iter().map(|instance| &instance.id).collect();
        let missing = members.iter().filter(|member| !listed.contains(&member.attach.instance));
        let missing: Vec<&Member> = missing.collect();
        let mass = missing.len() * MASS_PART > members.len();
        let mut absent = HashMap::with_capacity(missing.len());
        for member in missing {
            let fresh =
                Absence { incarnation: member.incarnation, since: now, unanswered: false, mass };
            let known = self.absent.get(&member.attach.endpoint);
            let known = known.filter(|absence| absence.incarnation == member.incarnation);
            let absence = known.map_or(fresh, |old| Absence { mass: old.mass || mass, ..*old });
            absent.insert(member.attach.endpoint.clone(), absence);
        }
        self.absent = absent;
        let leaving = list.iter().filter(|instance| instance.state == InstanceState::Leaving);
        self.leaving = leaving.map(|instance| instance.id.clone()).collect();
    }

    /// Members that have been absent for some time and were not asked in vain yet.
    pub(crate) fn suspects(
        &self,
        members: &[Member],
        guard: Duration,
        now: Instant,
    ) -> Vec<Suspect> {
        let asked = |member: &&Member| {
            let absence = self.absent.get(&member.attach.endpoint);
            absence.is_some_and(|absence| {
                !absence.unanswered && now.duration_since(absence.since) >= guard / SILENT_PART
            })
        };
        let suspect = |member: &Member| Suspect {
            endpoint: member.attach.endpoint.clone(),
            instance: member.attach.instance.clone(),
            control: member.attach.control,
        };
        members.iter().filter(asked).map(suspect).collect()
    }

    /// Takes in whether an agent answered; one that did starts its guard time again.
    pub(crate) fn note_answer(&mut self, endpoint: &EndpointId, answered: bool, now: Instant) {
        if let Some(absence) = self.absent.get_mut(endpoint) {
            absence.unanswered = !answered;
            if answered {
                absence.since = now;
            }
        }
    }

    /// Whether nothing has been seen or heard of an endpoint for some time, though it is not gone yet.
    pub(crate) fn is_silent(&self, member: &Member) -> bool {
        self.absence(member).is_some_and(|absence| absence.unanswered)
    }

    /// Whether the list says that an instance will be taken away.
    pub(crate) fn is_leaving(&self, attach: &Attach) -> bool {
        self.leaving.contains(&attach.instance)
    }

    /// Whether a member is gone: off the list for the guard time, and its agent does not answer.
    pub(crate) fn is_gone(&self, member: &Member, guard: Duration) -> bool {
        let Some(absence) = self.absence(member).filter(|absence| absence.unanswered) else {
            return false;
        };
        let factor = if absence.mass { MASS_FACTOR } else { 1 };
        self.read.is_some_and(|read| read.duration_since(absence.since) >= guard * factor)
    }

    /// Whether the newest reading lacks a member.
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
