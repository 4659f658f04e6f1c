//! Messages among routers and between them and the loaders, over HTTP/1.1 with JSON.

mod client;
mod message;

pub use client::{LoaderClient, borrow_tokens, exchange_crash_records, fetch_snapshot};
pub use message::{
    BorrowRequest, BorrowResponse, CRASHES_PATH, ConfirmedVersion, DeniedKey, ENGINE_PATH,
    ENSURE_PATH, EndpointLoad, EndpointState, EngineUpdate, EnsureOutcome, EnsureRequest,
    EnsureResponse, KeyedRecord, ModelUse, POLL_PATH, PollRequest, PollResponse, Position,
    RELEASE_PATH, ReleaseRequest, SNAPSHOT_PATH, SUSPECTS_PATH, Snapshot, Suspect, TOKENS_PATH,
    WORKSPACES_PATH, WorkspaceReport, WorkspacesReport,
};
