//! Messages among routers and between them and the loaders, over HTTP/1.1 with JSON.

mod client;
mod message;

pub use client::{Loader, ask_snapshot, ask_tokens, exchange_ends};
pub use message::{
    Borrow, DeniedKey, ENDS_PATH, ENGINE_PATH, ENSURE_PATH, EngineNews, Ensure, Ensured, Kept,
    Lent, LetGo, Load, POLL_PATH, Poll, Polled, Position, Proved, RELEASE_PATH, SNAPSHOT_PATH,
    SUSPECTS_PATH, Snapshot, State, Suspect, TOKENS_PATH, Use, Verdict, WORKSPACES_PATH,
    WorkspaceReport, WorkspacesReport,
};
