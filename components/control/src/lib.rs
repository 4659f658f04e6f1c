//! Messages among routers and between them and the loaders, over HTTP/1.1 with JSON.

mod client;
mod message;

pub use client::{Loader, ask_snapshot, exchange_ends};
pub use message::{
    ENDS_PATH, ENGINE_PATH, ENSURE_PATH, EngineNews, Ensure, Ensured, Kept, LetGo, Load, POLL_PATH,
    Poll, Polled, Position, RELEASE_PATH, SNAPSHOT_PATH, SUSPECTS_PATH, Snapshot, State, Suspect,
    Use, Verdict,
};
