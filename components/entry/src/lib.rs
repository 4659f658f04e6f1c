//! The process that callers talk to.
//!
//! A request is parsed ([`Core::answer`]), admitted, carried to an agent by a task of its own, and
//! answered by its deadline: served, refused as not run, or with an unknown outcome.

mod answer;
mod attempt;
mod breaker;
mod budget;
mod call;
mod candidate;
mod control;
mod core;
mod flight;
mod invalid;
mod keys;
mod limits;
mod link;
mod load;
mod pick;
mod prefix;
mod recover;
mod relay;
mod route;
mod run;
mod serve;
mod settings;
mod status;
mod tally;

pub use crate::core::{Core, Parts};
pub use link::{Dial, Socket, TcpDial};
pub use run::run;
pub use settings::Settings;
