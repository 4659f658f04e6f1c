//! Bounds on the requests in flight: in all, by class, and by caller group.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tree::{Class, Settings};
use units::{CallerGroup, Span};
use wire::Refusal;

/// When a refused caller should come back.
const RETRY: Span = Span::secs(1);
/// How full the entry may be before it refuses the class that is shed first, then the next.
const SHED_AT: [f64; 3] = [0.8, 0.9, 1.0];

/// The requests in flight; cheap to clone.
#[derive(Debug, Clone)]
pub(crate) struct Limits {
    most: u32,
    held: Arc<Mutex<Held>>,
}

#[derive(Debug, Default)]
struct Held {
    all: u32,
    groups: HashMap<CallerGroup, u32>,
}

/// A request in flight; the place is free once this is dropped.
#[derive(Debug)]
pub(crate) struct Permit {
    limits: Limits,
    group: CallerGroup,
}

impl Limits {
    pub(crate) fn new(most: u32) -> Self {
        Self { most, held: Arc::default() }
    }

    /// Takes a place for a request, or refuses it.
    pub(crate) fn enter(
        &self,
        class: Class,
        group: &CallerGroup,
        settings: &Settings,
    ) -> Result<Permit, Refusal> {
        let mut held = self.lock();
        let of_group = held.groups.get(group).copied().unwrap_or(0);
        let full = held.all >= share(self.most, threshold(class, &settings.shed));
        let greedy = of_group >= share(self.most, settings.group_share);
        if full || greedy {
            return Err(Refusal::Full { retry: RETRY });
        }
        held.all += 1;
        *held.groups.entry(group.clone()).or_default() += 1;
        Ok(Permit { limits: self.clone(), group: group.clone() })
    }

    /// How many requests are in flight.
    pub(crate) fn in_flight(&self) -> u32 {
        self.lock().all
    }

    fn lock(&self) -> MutexGuard<'_, Held> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut held = self.limits.lock();
        held.all = held.all.saturating_sub(1);
        let left = held.groups.get(&self.group).copied().unwrap_or(0).saturating_sub(1);
        if left == 0 {
            held.groups.remove(&self.group);
        } else {
            held.groups.insert(self.group.clone(), left);
        }
    }
}

/// How full the entry may be before it refuses the class; classes that are never shed may fill it.
fn threshold(class: Class, shed: &[Class]) -> f64 {
    let place = shed.iter().position(|&other| other == class);
    place.and_then(|place| SHED_AT.get(place)).copied().unwrap_or(1.0)
}

/// A share of a count; at least one.
fn share(most: u32, part: f64) -> u32 {
    let places = f64::from(most) * part.clamp(0.0, 1.0);
    // The product is between 0 and `most`.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let places = places as u32;
    places.max(1)
}

#[cfg(test)]
mod tests;
