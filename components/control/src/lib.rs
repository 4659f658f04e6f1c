//! Messages between the routers and the loaders, over HTTP/1.1 with JSON.

mod client;
mod message;

pub use client::Loader;
pub use message::{ENGINE_PATH, Ensure, EngineNews, SYNC_PATH, State, Sync, Use, ENSURE_PATH, Verdict, Ensured};
