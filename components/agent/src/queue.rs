//! The requests that wait for one replica.

use std::collections::VecDeque;
use std::sync::Arc;

use tokio::time::Instant;
use tree::Class;
use units::{AdapterName, CallerGroup, Size};

use crate::slot::Slot;

/// Each start that is a multiple of this goes to the most neglected class, so that nobody starves.
const NEGLECTED_SHARE: u64 = 8;

/// An adapter that a request needs.
#[derive(Debug, Clone)]
pub(crate) struct AdapterNeed {
    pub(crate) name: AdapterName,
    pub(crate) weights: Size,
}

/// A request in a queue.
#[derive(Debug)]
pub(crate) struct Waiting {
    pub(crate) slot: Arc<Slot>,
    pub(crate) adapter: Option<AdapterNeed>,
    pub(crate) class: Class,
    pub(crate) group: CallerGroup,
    pub(crate) since: Instant,
    pub(crate) deadline: Instant,
}

/// Bounds of a queue, from the settings tree.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct QueueLimits {
    /// The most requests that wait.
    pub(crate) count: usize,
    /// The share of it that one caller group's urgent and interactive requests may take.
    pub(crate) group_share: f64,
    /// Which classes are refused first.
    pub(crate) shed: Vec<Class>,
}

/// What became of a request that asked for a place.
#[derive(Debug)]
pub(crate) enum Place {
    /// It waits.
    Taken,
    /// It waits, and another one that was less important must be refused for it.
    Instead(Waiting),
    /// It must be refused.
    Full,
}

/// The requests that wait for one replica: strictly by class but for the share of the neglected; series by
/// deadline, the others in order of arrival.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    urgent: VecDeque<Waiting>,
    interactive: VecDeque<Waiting>,
    series: VecDeque<Waiting>,
    starts: u64,
}

impl Queue {
    fn lane(&mut self, class: Class) -> &mut VecDeque<Waiting> {
        match class {
            Class::Urgent => &mut self.urgent,
            Class::Interactive => &mut self.interactive,
            Class::Series => &mut self.series,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.urgent.len() + self.interactive.len() + self.series.len()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Waiting> {
        self.urgent.iter().chain(&self.interactive).chain(&self.series)
    }

    /// How many requests would start before a new one of this class.
    pub(crate) fn ahead(&self, class: Class) -> usize {
        match class {
            Class::Urgent => self.urgent.len(),
            Class::Interactive => self.urgent.len() + self.interactive.len(),
            Class::Series => self.len(),
        }
    }

    /// Gives a request a place within the limits.
    pub(crate) fn push(&mut self, waiting: Waiting, limits: &QueueLimits) -> Place {
        let group = waiting.group.clone();
        let bounded = waiting.class != Class::Series;
        let victim = if bounded && self.of_group(&group) >= limits.group_places() {
            let same = |other: &Waiting| other.class != Class::Series && other.group == group;
            self.shed_for(waiting.class, &limits.shed, same)
        } else if self.len() < limits.count {
            self.insert(waiting);
            return Place::Taken;
        } else {
            self.shed_for(waiting.class, &limits.shed, |_| true)
        };
        match victim {
            Some(other) => {
                self.insert(waiting);
                Place::Instead(other)
            }
            None => Place::Full,
        }
    }

    fn of_group(&self, group: &CallerGroup) -> usize {
        let waiting = self.urgent.iter().chain(&self.interactive);
        waiting.filter(|waiting| waiting.group == *group).count()
    }

    fn insert(&mut self, waiting: Waiting) {
        let lane = self.lane(waiting.class);
        let place = match waiting.class {
            Class::Urgent | Class::Interactive => lane.len(),
            Class::Series => lane.partition_point(|other| other.deadline <= waiting.deadline),
        };
        lane.insert(place, waiting);
    }

    /// Takes out the newest request of a class that is refused before `class`.
    fn shed_for(
        &mut self,
        class: Class,
        shed: &[Class],
        may_go: impl Fn(&Waiting) -> bool,
    ) -> Option<Waiting> {
        let earlier = shed.iter().take_while(|other| **other != class);
        for victim in earlier {
            let lane = self.lane(*victim);
            if let Some(place) = lane.iter().rposition(&may_go) {
                return lane.remove(place);
            }
        }
        None
    }

    /// Takes out the next request to start among those that `can` start.
    pub(crate) fn pop(&mut self, can: impl Fn(&Waiting) -> bool) -> Option<Waiting> {
        let mut order = [Class::Urgent, Class::Interactive, Class::Series];
        if (self.starts + 1).is_multiple_of(NEGLECTED_SHARE) {
            self.by_neglect(&mut order);
        }
        for class in order {
            let lane = self.lane(class);
            if let Some(place) = lane.iter().position(&can) {
                self.starts += 1;
                return self.lane(class).remove(place);
            }
        }
        None
    }

    /// Puts the class first whose first request has waited longest.
    fn by_neglect(&self, order: &mut [Class; 3]) {
        let since = |class: &Class| {
            let lane = match class {
                Class::Urgent => &self.urgent,
                Class::Interactive => &self.interactive,
                Class::Series => &self.series,
            };
            let first = lane.iter().map(|waiting| waiting.since).min();
            (first.is_none(), first)
        };
        order.sort_by_key(since);
    }

    /// Takes out those that match.
    pub(crate) fn take(&mut self, matches: impl Fn(&Waiting) -> bool) -> Vec<Waiting> {
        let mut taken = Vec::new();
        for lane in [&mut self.urgent, &mut self.interactive, &mut self.series] {
            let (out, stay): (Vec<_>, Vec<_>) = lane.drain(..).partition(&matches);
            lane.extend(stay);
            taken.extend(out);
        }
        taken
    }
}

impl QueueLimits {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a share of a count"
    )]
    fn group_places(&self) -> usize {
        let places = (self.count as f64 * self.group_share.clamp(0.0, 1.0)).ceil();
        (places as usize).max(1)
    }
}

#[cfg(test)]
mod tests;
