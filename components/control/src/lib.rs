//! Messages among routers and between them and the loaders, over HTTP/1.1 with JSON.

mod client;
mod message;

pub use client::{Loader, ask_snapshot};
pub use message::{
    ENGINE_PATH, ENSURE_PATH, EngineNews, Ensure, Ensured, Load, POLL_PATH, Poll, Polled, Position,
    SNAPSHOT_PATH, Snapshot, State, Use, Verdict,
};
