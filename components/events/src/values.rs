//! The values of events' fields that are one of several.

use origin::{Decision, Doubt};
use serde::Serialize;

/// Something that a process depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Dependency {
    /// The platform's store, as the source of the configuration.
    Configuration,
    /// The platform's store, as the source of the list of endpoints.
    Membership,
    /// The loader of an endpoint.
    Loader,
    /// The endpoint of a loader.
    Endpoint,
    /// The platform's store, as the source of fencing tokens.
    Fencing,
    /// The platform's store, in which loaders agree on permits to load from the weight store.
    #[serde(rename = "lanes")]
    LoadPermits,
    /// The platform's store, through which routers exchange crash records.
    #[serde(rename = "ends")]
    CrashRecords,
    /// The platform's store, in which routers register for a share in the limits of workspaces.
    Roster,
    /// The platform's store, as the source of a topic that a loader mirrors.
    MirroredTopic,
    /// A loader that mirrors topics of the store for this router.
    Mirror,
    /// A router that tells a loader where streams began.
    Origins,
    /// The platform's store, in which routers record the versions of services and where streams began.
    StreamRecords,
}

/// Why a request was refused. Most variants go to the caller under their own names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// No configuration has arrived yet.
    NoConfiguration,
    /// No route matches the request.
    NoRoute,
    /// The request can't be parsed or exceeds a limit.
    Malformed,
    /// The prompt of the request has more parts than are accepted.
    TooManyParts,
    /// No endpoint of the service can take the request.
    NoEndpoint,
    /// The model can't be loaded in time.
    ColdTooLong,
    /// The request has waited for the longest allowed time.
    TimedOut,
    /// The request may have been executed and can't be sent again.
    Unknown,
    /// The status of the endpoint's response indicates that the request was not executed, but the response doesn't state it.
    UnconfirmedRefusal,
    /// The router is shutting down.
    Stopping,
    /// Too many requests that wait for the model go first for the request to be served in time.
    QueueTooLong,
    /// The router is shutting down, and the turn of the request would not have come soon.
    HandedBack,
    /// The caller has disconnected.
    Left,
    /// The request crashes the endpoints that run it.
    Crashes,
    /// The request was running on several endpoints that crashed a moment ago, and other routers may still tell that it runs well.
    MayCrash,
    /// The request has no key, or a key of no workspace.
    Unauthorized,
    /// The router can't tell whether the key is still valid, because it hasn't read the store for too long.
    Unproved,
    /// The workspace has exceeded its limit.
    OverQuota,
    /// This router has no share in the limit of the workspace yet.
    NoShare,
    /// The request takes up a stream, and it is not known which software version began it.
    UnknownVersion,
    /// The request takes up a stream, and no endpoint runs the software version that began it.
    NoVersion,
    /// The bodies of other requests need all of the memory for bodies.
    NoMemory,
    /// The body of the request arrived too slowly or not at all, and another request needed its memory or its connection.
    Stalled,
}

/// A step of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Step {
    /// The request was sent to an endpoint.
    Sent,
    /// The caller disconnected before the endpoint began to answer.
    Abandoned,
    /// The endpoint answered that it has not executed the request.
    NotRun,
    /// The connection or the answer failed.
    Broken,
    /// The router does not send an interrupted request again, since a part of its prompt may crash endpoints.
    GivenUp,
    /// The request continues at another endpoint after the last event that arrived.
    Resumed,
    /// The request waits for a model to be loaded.
    #[serde(rename = "waits")]
    WaitsForLoad,
}

/// Where a stream is taken up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ResumedAt {
    /// At the caller, which sends another request.
    Caller,
    /// At the router, since the endpoint failed inside the answer.
    Router,
}

/// Where a stream goes on that is taken up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ResumptionOutcome {
    /// At any endpoint: the caller has no event of it.
    Anywhere,
    /// At endpoints of the version that began it.
    SameVersion,
    /// Nowhere: nobody knows where it began, and the service has several versions.
    Unknown,
    /// Nowhere yet: nobody knows where it began, and the store has not told yet which versions the service has had.
    Unread,
    /// Nowhere: streams of several versions began under the same id.
    Conflicting,
    /// Nowhere: it began at another service.
    OtherService,
    /// Nowhere: the endpoint that began it restarted at about that time, perhaps with other software.
    Restarted,
    /// Nowhere yet: the endpoint that began it restarted at about that time, and its loader may show in which incarnation it did.
    Unconfirmed,
    /// Nowhere yet: the list does not show which version the endpoint runs since its restart.
    Unlisted,
    /// Nowhere: no endpoint of the service is listed.
    NoEndpoint,
    /// Nowhere: no endpoint of the version that began it is left.
    NoVersion,
}

impl ResumptionOutcome {
    /// Whether the stream does not go on.
    pub(crate) fn is_refusal(self) -> bool {
        !matches!(self, Self::Anywhere | Self::SameVersion)
    }
}

impl From<&Decision> for ResumptionOutcome {
    fn from(decision: &Decision) -> Self {
        match decision {
            Decision::Anywhere => Self::Anywhere,
            Decision::At { .. } => Self::SameVersion,
            Decision::Nowhere(Doubt::Unknown) => Self::Unknown,
            Decision::Nowhere(Doubt::Unread) => Self::Unread,
            Decision::Nowhere(Doubt::Conflicting) => Self::Conflicting,
            Decision::Nowhere(Doubt::OtherService) => Self::OtherService,
            Decision::Nowhere(Doubt::Restarted) => Self::Restarted,
            Decision::Nowhere(Doubt::Unconfirmed) => Self::Unconfirmed,
            Decision::Nowhere(Doubt::Unlisted) => Self::Unlisted,
            Decision::Nowhere(Doubt::NoEndpoint) => Self::NoEndpoint,
        }
    }
}

/// The result of an order to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderOutcome {
    /// The endpoint carries the order out.
    Accepted,
    /// The order had already been carried out.
    Done,
    /// The endpoint is busy with another order.
    Busy,
    /// The endpoint has received a higher fencing token.
    Fenced,
    /// Another endpoint has the address.
    Other,
    /// The endpoint refused the order.
    Refused,
    /// No answer arrived; the order may still be carried out.
    Unknown,
}

/// Why a model went ahead of the others that waited for room at its endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RoomCause {
    /// A caller would have been lost if another load had gone first.
    Deadline,
    /// Its load serves the most requests for its duration.
    Requests,
}

/// How loaded a router was during a time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct RouterLoad {
    /// Connections of callers that were accepted.
    pub accepted: u32,
    /// Requests that were read.
    pub read: u32,
    /// Connections that were closed although a request had arrived, which was not read.
    pub closed_unread: u32,
    /// Connections at the end of the time on which nothing had been read yet.
    pub unread: u32,
    /// Connections that were open at the end of the time.
    pub open: u32,
    /// Connections that were closed for new ones because there were too many.
    pub evicted: u32,
    /// New connections that were closed because there were too many and all others were busy.
    pub refused: u32,
    /// The memory that the bodies of requests used at the end of the time.
    pub body_bytes: u64,
    /// For how much of the time the router was busy, in percent.
    pub busy_percent: u32,
    /// The processor time that the router used.
    pub processor_ms: u64,
    /// The longest time between accepting a connection and first attending to it.
    pub attend_delay_ms: u64,
    /// The longest time by which a timer was late.
    pub timer_delay_ms: u64,
    /// Bytes that were written to callers.
    pub sent_bytes: u64,
}
