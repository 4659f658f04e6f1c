//! Which endpoint serves a request, and where a model is loaded: values in, values out.

mod ahead;
mod candidate;
mod decay;
mod demand;
#[cfg(test)]
mod fixture;
mod prepare;
mod serve;
mod spread;
mod trouble;
mod wake;

pub use ahead::Ahead;
pub use candidate::{Candidate, rank, tight};
pub use demand::{Demand, FILL, Pressure};
pub use prepare::{Free, prepare};
pub use serve::{Served, serve};
pub use spread::{Holders, spread};
pub use trouble::Trouble;
pub use wake::{Source, Wake, copied, wakes};
