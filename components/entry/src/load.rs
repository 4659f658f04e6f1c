//! How busy endpoints are: own requests, and what agents say of the others; older news counts less.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;
use units::{EndpointId, ModelName};
use wire::{Refusal, Report};

/// A report of this age counts half where replicas are compared.
const HALF_LIFE: Duration = Duration::from_secs(1);
/// A report of this age counts half where it is decided whether a replica has room.
const LASTING: Duration = Duration::from_secs(10);
/// How long a report says which replicas are awake.
const AWAKE_AGE: Duration = Duration::from_secs(5);
/// Places with no request and no report for this long are forgotten.
const FORGET: Duration = Duration::from_secs(120);

/// A model or service at an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Place {
    pub(crate) endpoint: EndpointId,
    pub(crate) model: ModelName,
}

/// What is known of a place now.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Load {
    /// Requests that run or wait there, as far as this entry can tell.
    pub(crate) requests: f64,
    /// The same, with older news counted more: an upper estimate.
    pub(crate) lasting: f64,
    /// How many replicas are awake, if a new enough report said so.
    pub(crate) awake: Option<u32>,
    /// Whether the model is loaded there, if a new enough report said so.
    pub(crate) warm: bool,
    /// Whether the place has refused a request for a cause that lasts.
    pub(crate) held: bool,
}

/// What the entry knows of its endpoints; cheap to clone.
#[derive(Debug, Clone, Default)]
pub(crate) struct Loads {
    places: Arc<Mutex<HashMap<Place, News>>>,
}

#[derive(Debug)]
struct News {
    own: u32,
    touched: Instant,
    told: Option<Told>,
    held: Option<Instant>,
}

#[derive(Debug)]
struct Told {
    others: u32,
    awake: u32,
    warm: bool,
    at: Instant,
}

/// Counts a request at a place until it is dropped.
#[derive(Debug)]
pub(crate) struct Ticket {
    loads: Loads,
    place: Place,
}

impl Loads {
    /// Counts a request at a place.
    pub(crate) fn start(&self, place: Place) -> Ticket {
        let mut places = self.lock();
        let news = places.entry(place.clone()).or_insert_with(News::new);
        news.own += 1;
        news.touched = Instant::now();
        drop(places);
        Ticket { loads: self.clone(), place }
    }

    /// Keeps what an agent says of a place.
    pub(crate) fn note(&self, place: &Place, report: &Report) {
        let mut places = self.lock();
        let news = places.entry(place.clone()).or_insert_with(News::new);
        let others = (report.waiting + report.running).saturating_sub(news.own);
        let now = Instant::now();
        news.touched = now;
        news.told = Some(Told { others, awake: report.awake, warm: report.warm, at: now });
    }

    /// Leaves a place out for a while after a refusal, so that requests are not wasted on it one by one.
    pub(crate) fn hold(&self, place: &Place, refusal: &Refusal) {
        let Some(pause) = pause(refusal) else { return };
        let mut places = self.lock();
        let news = places.entry(place.clone()).or_insert_with(News::new);
        let now = Instant::now();
        news.touched = now;
        news.held = Some(now + pause);
    }

    /// What is known of a place.
    pub(crate) fn look(&self, place: &Place) -> Load {
        self.lock().get(place).map_or_else(Load::default, News::load)
    }

    /// How many of a model's replicas are awake, by the newest reports of these endpoints; 0 if none is new.
    pub(crate) fn awake(&self, model: &ModelName, endpoints: &[EndpointId]) -> u32 {
        let places = endpoints
            .iter()
            .map(|endpoint| Place { endpoint: endpoint.clone(), model: model.clone() });
        places.filter_map(|place| self.look(&place).awake).max().unwrap_or(0)
    }

    /// Forgets places that are not in use.
    pub(crate) fn prune(&self) {
        self.lock().retain(|_, news| news.own > 0 || news.touched.elapsed() < FORGET);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Place, News>> {
        self.places.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// How long a place that refused is left out where there is another one.
fn pause(refusal: &Refusal) -> Option<Duration> {
    match refusal {
        Refusal::Leaving | Refusal::LoadFailed { .. } => Some(Duration::from_secs(5)),
        Refusal::NoGrant | Refusal::Shutdown | Refusal::Endpoint { .. } => {
            Some(Duration::from_secs(1))
        }
        Refusal::Full { .. } | Refusal::Hopeless { .. } => Some(Duration::from_millis(250)),
        Refusal::Late
        | Refusal::Incarnation { .. }
        | Refusal::Cancelled
        | Refusal::NoEndpoint { .. }
        | Refusal::NoClaim { .. }
        | Refusal::KeyTaken => None,
    }
}

impl News {
    fn new() -> Self {
        Self { own: 0, touched: Instant::now(), told: None, held: None }
    }

    fn load(&self) -> Load {
        let own = f64::from(self.own);
        let held = self.held.is_some_and(|until| Instant::now() < until);
        let Some(told) = &self.told else {
            return Load { requests: own, lasting: own, held, ..Load::default() };
        };
        let age = told.at.elapsed();
        let others = f64::from(told.others);
        Load {
            requests: own + others * weight(age, HALF_LIFE),
            lasting: own + others * weight(age, LASTING),
            awake: (age <= AWAKE_AGE).then_some(told.awake),
            warm: age <= AWAKE_AGE && told.warm,
            held,
        }
    }
}

/// What news of an age counts.
pub(crate) fn weight(age: Duration, half_life: Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let mut places = self.loads.lock();
        if let Some(news) = places.get_mut(&self.place) {
            news.own = news.own.saturating_sub(1);
            news.touched = Instant::now();
        }
    }
}

#[cfg(test)]
mod tests;
