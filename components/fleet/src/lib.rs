//! The endpoints: their entries in the platform's list and the models that they hold.

mod change;
mod endpoint;
pub mod millis;
mod tier;

pub use change::EndpointChange;
pub use endpoint::{Endpoint, EndpointStage, Holdings, LoadedModel, Loading, WeightCopies};
pub use tier::Tier;
