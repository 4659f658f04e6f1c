//! Decisions: placement, sizing, waking, keeping warm, series.
//!
//! Everything here is a pure function of what it is given, so that processes with the same folded state
//! come to the same answer and experiments can replay traces through the very same code.

mod placement;
mod sizing;

pub use placement::{Held, Host, Weights, Wish, place};
pub use sizing::{Bounds, Forecast, Wanted, wanted};
