//! The endpoints that are known: what the platform's list says of each, and what its loader says.

mod change;
mod endpoint;
pub mod millis;
mod tier;

pub use change::Change;
pub use endpoint::{Copies, Endpoint, Held, Holdings, Loading, Stage};
pub use tier::Tier;
