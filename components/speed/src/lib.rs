//! Estimates how fast endpoints are, relative to each other, from the time between the events of streams. Performs no input or
//! output.
//!
//! A [`StreamClock`] turns the arrivals of one stream into times per event, and a [`StepRecorder`] summarizes them for one model of one
//! incarnation of an endpoint. A loader combines what routers measure in [`SharedSteps`]. [`ServiceSpeeds`] computes the time factors
//! of all endpoints of a service.

mod estimate;
mod fit;
mod histogram;
mod recorder;
mod service;
mod shared;
mod stream;
mod window;

use std::time::Duration;

pub use recorder::{StepRecorder, known_step};
pub use service::{EndpointSteps, MIN_KNOWN_EVENTS, ServiceSpeeds};
pub use shared::SharedSteps;
pub use stream::StreamClock;

/// How long a measured time is kept after its last event.
pub const STEP_LIFETIME: Duration = Duration::from_secs(30);

/// The time between two events of the streams of one model at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Step {
    /// The time between two events.
    pub gap: Duration,
    /// The number of events that it was measured from.
    pub events: u32,
}
