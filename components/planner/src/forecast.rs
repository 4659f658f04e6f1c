//! Demand of each model over time, and how many replicas it asks for.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use policy::{Bounds, Closing, Forecast, IDLE_RATE, Wanted, wanted};
use tokio::time::Instant;
use tree::Leaf;
use units::ModelName;

use crate::demand::Tally;

/// How fast the average rate follows: it forgets two thirds in this time.
const MEMORY: Duration = Duration::from_secs(30);
/// How long a number of replicas is kept after demand has fallen.
const COOL: Duration = Duration::from_secs(600);
/// The pause between two additions because of refusals, so that the first can take effect.
const STEP: Duration = Duration::from_secs(5);

/// Demand of one model.
#[derive(Debug, Clone)]
struct Track {
    rate: f64,
    refused: bool,
    raised: Option<Instant>,
    /// The most replicas wanted lately, and until when they are kept.
    floor: u32,
    until: Instant,
}

/// Demand of all models since this process holds the lease.
#[derive(Debug, Default)]
pub(crate) struct Forecasts {
    tracks: HashMap<ModelName, Track>,
    sampled: Option<Instant>,
}

impl Forecasts {
    /// Takes in what has come since the last sample.
    pub(crate) fn note(&mut self, tallies: &BTreeMap<ModelName, Tally>, now: Instant) {
        let since = self.sampled.replace(now).map(|last| now.duration_since(last));
        let Some(span) = since.map(|span| span.as_secs_f64()).filter(|span| *span > 0.0) else {
            return;
        };
        let weight = 1.0 - (-span / MEMORY.as_secs_f64()).exp();
        for (model, track) in &mut self.tracks {
            let tally = tallies.get(model).copied().unwrap_or_default();
            track.rate += (tally.rate(span) - track.rate) * weight;
            track.refused |= tally.refused > 0;
        }
    }

    /// How many replicas a model that has `granted` is to have.
    pub(crate) fn size(
        &mut self,
        leaf: &Leaf,
        granted: u32,
        closing: &Closing,
        now: Instant,
    ) -> Wanted {
        let fresh =
            || Track { rate: 0.0, refused: false, raised: None, floor: granted, until: now + COOL };
        let track = self.tracks.entry(leaf.model.clone()).or_insert_with(fresh);
        if now >= track.until {
            track.floor = 0;
        }
        let settled = track.raised.is_none_or(|at| now.duration_since(at) >= STEP);
        let bounds = Bounds {
            least: leaf.settings.replicas_least,
            most: leaf.settings.replicas_most,
            batch: leaf.settings.batch,
            now: granted,
        };
        let forecast = Forecast {
            rate: track.rate,
            refused: track.refused && settled,
            window: closing.near,
            lately: track.floor,
        };
        let wanted = wanted(&bounds, &forecast);
        if forecast.refused {
            track.refused = false;
            track.raised = Some(now);
        }
        let peak = policy::wanted(&bounds, &Forecast { lately: 0, ..forecast }).replicas;
        if peak >= track.floor {
            track.floor = peak;
            track.until = now + COOL;
        }
        wanted
    }

    /// Whether nobody has asked for a model for some time.
    pub(crate) fn is_idle(&self, model: &ModelName) -> bool {
        self.tracks.get(model).is_none_or(|track| track.rate < IDLE_RATE)
    }

    /// Forgets models that are not in force any more.
    pub(crate) fn retain(&mut self, is_in_force: impl Fn(&ModelName) -> bool) {
        self.tracks.retain(|model, _| is_in_force(model));
    }
}

#[cfg(test)]
mod tests;
