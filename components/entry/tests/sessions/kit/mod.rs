//! An entry over an in-memory log and network, with scripted agents.

mod agent;
mod net;
mod transcript;
mod world;

pub(crate) use agent::{Act, Agent, report};
pub(crate) use net::Net;
pub(crate) use transcript::Transcript;
pub(crate) use world::{Answer, World, ask, id, service_call};
