//! Messages between routers, and between routers and loaders, sent as JSON over HTTP/1.1.

mod client;
mod demand;
mod incarnations;
mod message;
mod origins;
mod promise;
mod speeds;
mod stored_streams;
mod versions;
mod waiting;

pub use client::{
    LoaderClient, MAX_CRASH_RECORDS_BYTES, RouterClient, borrow_tokens, release_leases,
    request_grant,
};
pub use demand::{ModelRate, QueueSummary, StepTime, WaitingWorkspace};
pub use incarnations::{INCARNATIONS_PATH, IncarnationsAnswer, IncarnationsQuery, SeenAge};
pub use message::{
    BorrowRequest, BorrowResponse, CRASHES_PATH, ConfirmedVersion, DeniedKey, ENGINE_PATH,
    ENSURE_PATH, EndpointLoad, EndpointRateLimit, EndpointState, EngineUpdate, EnsureOutcome,
    EnsureRequest, EnsureResponse, GRANT_PATH, GrantRequest, GrantResponse, KeyedRecord,
    LIMITS_PATH, ListHistory, ModelUse, POLL_PATH, PastVersion, PollRequest, PollResponse,
    Position, RELEASE_PATH, ReleaseRequest, SNAPSHOT_PATH, SUSPECTS_PATH, Snapshot, Suspect,
    TOKENS_PATH, UPDATES_PATH, WORKSPACES_PATH, WorkspaceReport, WorkspacesReport,
};
pub use origins::{
    MAX_ORIGIN_AGE, MAX_ORIGIN_KEEP, MAX_ORIGIN_RECORDS, ORIGIN_PATH, ORIGINS_PATH, OriginAnswer,
    OriginQuery, OriginRecord,
};
pub use promise::{LEASES_PATH, LeaseRelease, LeasedShare, ShareRequest, TokenClaim, TokenRetry};
pub use speeds::{EndpointSpeedReport, SPEEDS_PATH, ServiceEvenness, SpeedsReport};
pub use stored_streams::{MAX_STORED_STREAMS, StoredStream, StoredStreams};
pub use versions::{ServiceVersions, VERSIONS_PATH, VersionUse, VersionsReport};
pub use waiting::{QueueReport, WAITING_PATH, WaitingReport, WorkspaceCounter};
