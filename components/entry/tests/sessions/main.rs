//! Whole requests through an entry, over a fake log and scripted agents.

mod bad_input;
mod deadline;
mod drain;
mod golden;
mod keys;
mod kit;
mod lost;
mod random;
mod refused;
mod routing;
mod serve;
