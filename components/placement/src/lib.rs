//! Which endpoint serves a request, and where a model is loaded: values in, values out.

mod candidate;
#[cfg(test)]
mod fixture;
mod prepare;
mod serve;
mod wake;

pub use candidate::{Candidate, rank};
pub use prepare::prepare;
pub use serve::{FILL, serve};
pub use wake::{Wake, wake};
