//! The endpoints that are known: what the platform's list says of each, and what its loader says.

mod change;
mod endpoint;
pub mod millis;
mod tier;

pub use change::EndpointChange;
pub use endpoint::{Endpoint, EndpointStage, Holdings, LoadedModel, Loading, WeightCopies};
pub use tier::Tier;
