//! How long the loaded models have been there, and whether they have served requests since.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;
use units::ModelName;

use crate::plan::MIN_RESIDENCE;

/// The residence of one model.
#[derive(Debug, Clone, Copy)]
struct Residence {
    /// When the model was loaded, or first found loaded.
    loaded: Instant,
    /// How long its load took; zero if that isn't known.
    took: Duration,
    /// Whether a router has reported requests for it since.
    served: bool,
}

/// The residences of all loaded models.
#[derive(Debug, Default)]
pub(crate) struct Residences {
    models: BTreeMap<ModelName, Residence>,
}

impl Residences {
    /// Adopts the loaded models of a report. A model that another incarnation of the loader has loaded counts as loaded
    /// now, since its routers haven't reported their requests yet.
    pub(crate) fn update<'a>(&mut self, held: impl Iterator<Item = &'a ModelName>, now: Instant) {
        let mut before = std::mem::take(&mut self.models);
        let new = Residence { loaded: now, took: Duration::ZERO, served: false };
        self.models =
            held.map(|model| (model.clone(), before.remove(model).unwrap_or(new))).collect();
    }

    /// Records the end of a load.
    pub(crate) fn record_load(&mut self, model: &ModelName, took: Duration, now: Instant) {
        let residence = Residence { loaded: now, took, served: false };
        self.models.insert(model.clone(), residence);
    }

    /// Records that a model serves requests.
    pub(crate) fn record_use(&mut self, model: &ModelName) {
        if let Some(residence) = self.models.get_mut(model) {
            residence.served = true;
        }
    }

    /// Until when a model stays even if other models need its room.
    pub(crate) fn end(&self, model: &ModelName, now: Instant) -> Instant {
        let residence = self.models.get(model);
        residence.map_or(now, |one| one.loaded + one.took.max(MIN_RESIDENCE))
    }

    /// Whether a model has served requests since it was loaded.
    pub(crate) fn has_served(&self, model: &ModelName) -> bool {
        self.models.get(model).is_none_or(|residence| residence.served)
    }

    /// Forgets all models.
    pub(crate) fn clear(&mut self) {
        self.models.clear();
    }
}
