//! Decisions: placement, sizing, waking, keeping warm, series.
//!
//! Everything here is a pure function of what it is given, so that processes with the same folded state
//! come to the same answer and experiments can replay traces through the very same code.

mod calendar;
mod closing;
mod evict;
mod gaps;
mod keepwarm;
mod placement;
mod prewarm;
mod schedule;
mod series;
mod sizing;

pub use calendar::Calendar;
pub use closing::{Closing, GRANT_LEAD};
pub use evict::idle_value;
pub use gaps::Gaps;
pub use keepwarm::{Costs, KeepWarm};
pub use placement::{Held, Host, Weights, Wish, place, saving};
pub use prewarm::{Need, needs, prewarm};
pub use schedule::{Load, Slot, Store, schedule};
pub use series::{Series, SeriesOrder};
pub use sizing::{Bounds, Forecast, IDLE_RATE, Wanted, wanted};
