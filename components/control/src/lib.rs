//! Messages between the routers and the loaders, over HTTP/1.1 with JSON.

mod client;
mod message;

pub use client::Loader;
pub use message::{
    ENGINE_PATH, ENSURE_PATH, EngineNews, Ensure, Ensured, POLL_PATH, Poll, State, Use, Verdict,
};
