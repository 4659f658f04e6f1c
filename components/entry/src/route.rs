//! Where a request goes next, by what is known of endpoints and what the request has met so far.

use tree::NodeKind;
use units::{EndpointId, Incarnation};
use wire::Refusal;

use crate::breaker::Admission;
use crate::candidate::{Candidate, candidates};
use crate::flight::Flight;
use crate::load::{Load, Place};
use crate::pick::{Choice, Policy, pick};
use crate::prefix::Prefix;

/// What a request has learned of its candidates.
#[derive(Debug)]
pub(crate) struct Learned {
    prefix: Option<Prefix>,
    /// Incarnations that had their try.
    pub(crate) tried: Vec<(EndpointId, Incarnation)>,
    /// Incarnations that the log has not told of yet.
    newer: Vec<(EndpointId, Incarnation)>,
    /// Endpoints that have barred the request's id, once for each time.
    pub(crate) barred: Vec<EndpointId>,
    spill: Spill,
}

/// How far a request may go beyond the replica that refused it. Entries never wake a replica for lack of
/// capacity: the holder of the one before does, once for all of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Spill {
    /// To any replica.
    Any,
    /// To replicas that are awake: a queue is full or too long.
    Awake,
    /// To the replica after those that are awake, which may be loading already: a load takes too long here.
    Next,
    /// To loaded replicas: a load takes too long there, too.
    Warm,
}

impl Learned {
    pub(crate) fn new(prefix: Option<Prefix>) -> Self {
        Self { prefix, tried: Vec::new(), newer: Vec::new(), barred: Vec::new(), spill: Spill::Any }
    }

    /// Lets all be tried again.
    pub(crate) fn forget(&mut self) {
        self.tried.clear();
    }

    fn is_tried(&self, candidate: &Candidate) -> bool {
        let mut tried = self.tried.iter();
        tried.any(|(endpoint, incarnation)| {
            *endpoint == candidate.endpoint && *incarnation == candidate.incarnation
        })
    }
}

impl Flight {
    /// The endpoint that shall have the request next.
    pub(crate) fn next_target(&self) -> Option<Candidate> {
        let all = self.known_candidates();
        let awake = all.iter().filter_map(|(_, load)| load.awake).max().unwrap_or(1).max(1);
        let mut open: Vec<(Candidate, Load)> = all
            .into_iter()
            .filter(|(candidate, load)| self.is_open(candidate, load, awake))
            .collect();
        let choices: Vec<Choice> =
            open.iter().map(|(candidate, load)| self.choice(candidate, load)).collect();
        let policy = Policy {
            awake: open.iter().filter(|(candidate, _)| candidate.index < awake).count(),
            packed: self.is_for_model(),
            batch: self.call.leaf.settings.batch,
            probes: self.call.repeatable,
        };
        let at = pick(&choices, &policy, &mut rand::rng())?;
        Some(open.swap_remove(at).0)
    }

    /// Whether there is another endpoint that could take the request.
    pub(crate) fn has_other(&self, than: &EndpointId) -> bool {
        let all = self.known_candidates();
        let mut others = all.iter().filter(|(candidate, _)| candidate.endpoint != *than);
        others.any(|(candidate, _)| !self.learned.is_tried(candidate))
    }

    /// The place whose load the request adds to.
    pub(crate) fn place(&self, endpoint: &EndpointId) -> Place {
        Place { endpoint: endpoint.clone(), model: self.call.leaf.model.clone() }
    }

    /// Notes which endpoint has the request's prefix in its cache.
    pub(crate) fn note_prefix(&self, endpoint: &EndpointId) {
        if let Some(prefix) = self.learned.prefix {
            self.core.prefixes.note_own(prefix, &self.place(endpoint));
        }
    }

    /// Learns from a refusal where else the request may go.
    pub(crate) fn learn(&mut self, target: &Candidate, refusal: &Refusal) {
        let learned = &mut self.learned;
        match refusal {
            Refusal::Incarnation { current } if *current > target.incarnation => {
                learned.newer.push((target.endpoint.clone(), *current));
                return;
            }
            Refusal::Cancelled => {
                learned.barred.push(target.endpoint.clone());
                return;
            }
            _ => learned.tried.push((target.endpoint.clone(), target.incarnation)),
        }
        let warm = self.core.loads.look(&self.place(&target.endpoint)).warm;
        let spill = match refusal {
            Refusal::Hopeless { .. } if !warm && self.learned.spill >= Spill::Next => Spill::Warm,
            Refusal::Hopeless { .. } if !warm => Spill::Next,
            Refusal::Hopeless { .. } | Refusal::Full { .. } => Spill::Awake,
            _ => Spill::Any,
        };
        self.learned.spill = self.learned.spill.max(spill);
    }

    /// All endpoints that may serve the leaf, by index, with what is known of them.
    fn known_candidates(&self) -> Vec<(Candidate, Load)> {
        let all = self.core.journal.read(|state| candidates(state, &self.call.leaf));
        let known = all.into_iter().map(|mut candidate| {
            let newer = self.learned.newer.iter();
            let newer = newer.filter(|(endpoint, _)| *endpoint == candidate.endpoint);
            let newest = newer.map(|(_, incarnation)| *incarnation).max();
            candidate.incarnation = newest.unwrap_or_default().max(candidate.incarnation);
            let load = self.core.loads.look(&self.place(&candidate.endpoint));
            (candidate, load)
        });
        known.collect()
    }

    fn is_open(&self, candidate: &Candidate, load: &Load, awake: u32) -> bool {
        let in_reach = match self.learned.spill {
            Spill::Any => true,
            Spill::Awake => candidate.index < awake,
            Spill::Next => candidate.index <= awake,
            Spill::Warm => load.warm || !self.is_for_model(),
        };
        in_reach && !self.learned.is_tried(candidate)
    }

    fn choice(&self, candidate: &Candidate, load: &Load) -> Choice {
        let place = self.place(&candidate.endpoint);
        let saves = self.learned.prefix.map(|prefix| self.core.prefixes.saves(prefix, &place));
        let admission = self.core.breakers.admission(&candidate.endpoint);
        Choice {
            endpoint: candidate.endpoint.clone(),
            near: candidate.domain == self.core.domain,
            requests: load.requests,
            lasting: load.lasting,
            admission: if load.held { Admission::Open } else { admission },
            saves: saves.unwrap_or_default(),
        }
    }

    fn is_for_model(&self) -> bool {
        self.call.leaf.kind != NodeKind::Service
    }
}
