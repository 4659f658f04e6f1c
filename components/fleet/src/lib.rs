//! The endpoints that are known: what the platform's list says of each, and what its loader says.

mod endpoint;
mod members;
pub mod millis;

pub use endpoint::{Copies, Endpoint, Held, Holdings, Loading, Stage};
pub use members::{Change, Members};
