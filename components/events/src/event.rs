//! The events that processes log. A field has the same name and meaning in all events.

use std::time::Duration;

use fleet::Tier;
use origin::{Confirmation, Evidence, Source};
use serde::Serialize;

use crate::values::{
    Dependency, OrderOutcome, Refusal, ResumedAt, ResumptionOutcome, RoomCause, RouterLoad, Step,
};

/// An event, logged as one line of JSON. The `event` field has the outer name of the variant.
#[derive(Debug, Clone, Serialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum Event<'a> {
    /// The process has started.
    Started {
        /// The name of the program.
        program: &'a str,
        /// The version of the program.
        version: &'a str,
    },
    /// The process can't listen yet and waits, for example because another process has the address.
    StartDelayed {
        /// The error.
        cause: &'a str,
    },
    /// Metrics can't be served yet; the process runs without them.
    MetricsUnavailable {
        /// The error.
        cause: &'a str,
    },
    /// The process was asked to shut down.
    Stopping {
        /// Requests in flight.
        requests: usize,
    },
    /// The process exits.
    Stopped {
        /// Requests that were interrupted.
        requests: usize,
    },
    /// Another router sent a snapshot with something newer than this router had read.
    #[serde(rename = "told")]
    SnapshotReceived {
        /// The other router.
        router: &'a str,
        /// The version of the configuration in the snapshot; 0 if it isn't newer.
        version: u64,
        /// Endpoints in the snapshot that were added or changed.
        endpoints: usize,
        /// How far the other router has read the list of endpoints: era and offset.
        read: &'a str,
    },
    /// The store was restored from an older copy, and was read anew.
    #[serde(rename = "restored")]
    StoreRestored {
        /// What was read anew.
        dependency: Dependency,
        /// How far it had been read before the restore: era and offset.
        before: &'a str,
        /// How far it has been read now: era and offset.
        read: &'a str,
    },
    /// The newest records of a topic were read page by page, or many pages have been read and there are more.
    NewestRead {
        /// The topic.
        topic: &'a str,
        /// The pages so far.
        pages: u32,
        /// The records on these pages.
        records: usize,
        /// The size of these pages, in bytes.
        bytes: usize,
        /// The time since the first page was asked for.
        took_ms: u64,
        /// Whether there are more pages.
        more: bool,
    },
    /// A router follows a topic of the store through another mirror than before, or through none.
    MirrorChosen {
        /// The topic.
        topic: &'a str,
        /// The endpoint whose loader mirrors the topic; empty if the router reads the store itself.
        mirror: &'a str,
        /// The mirror before; empty if the router read the store itself.
        before: &'a str,
    },
    /// The settings file was read again.
    Reloaded {
        /// Whether the file could be read, and why not.
        outcome: &'a str,
    },
    /// The configuration allows bodies of requests for which the instance has no memory.
    BodiesTooLarge {
        /// The largest body that the configuration allows, in bytes.
        limit_bytes: usize,
        /// The largest body that fits, in bytes; larger ones are refused.
        memory_bytes: usize,
    },
    /// Connections of callers can't be accepted, for example because the process has no descriptor left.
    AcceptFailing {
        /// The error.
        cause: &'a str,
    },
    /// Connections of callers are accepted again.
    AcceptRecovered,
    /// A task of the process panicked; it is started again.
    TaskPanicked {
        /// The task.
        task: &'a str,
        /// The message of the panic.
        cause: &'a str,
    },
    /// A dependency became unreachable.
    #[serde(rename = "lost")]
    DependencyLost {
        /// The dependency.
        dependency: Dependency,
        /// The name of the instance or store that is unreachable.
        name: &'a str,
        /// The error.
        cause: &'a str,
    },
    /// A dependency is reachable again.
    #[serde(rename = "regained")]
    DependencyRegained {
        /// The dependency.
        dependency: Dependency,
        /// The name of the instance or store that is reachable again.
        name: &'a str,
        /// How long it was unreachable.
        after_ms: u64,
    },
    /// A record can't be parsed.
    Unreadable {
        /// Where the record was read.
        dependency: Dependency,
        /// The error.
        cause: &'a str,
    },
    /// A version of the configuration came into force.
    Configured {
        /// The version.
        version: u64,
        /// The previous version; 0 if there was none.
        before: u64,
        /// The number of routes.
        routes: usize,
    },
    /// A version of the configuration was rejected, because a newer one is in force.
    Outdated {
        /// The rejected version.
        version: u64,
        /// The version in force.
        current: u64,
    },
    /// An endpoint was added, or what is known of it has changed.
    #[serde(rename = "member")]
    EndpointChanged {
        /// The endpoint.
        endpoint: &'a str,
        /// The address of the endpoint.
        addr: String,
        /// The new state: `ready`, `draining` or `gone`, `missing` if the entry in the list may only have lapsed, or
        /// `restarted` if the endpoint has restarted under the same id.
        stage: &'a str,
        /// The version of its software, if it is known.
        #[serde(skip_serializing_if = "str::is_empty")]
        software: &'a str,
        /// Why the state changed; empty if the list says so.
        cause: &'a str,
    },
    /// An endpoint gets no new requests for a while, because calls to it failed.
    #[serde(rename = "suspect")]
    EndpointPaused {
        /// The endpoint.
        endpoint: &'a str,
        /// How long it gets no new requests.
        pause_ms: u64,
        /// The error.
        cause: &'a str,
    },
    /// The limit that an endpoint announces on the requests of all routers together has changed.
    RateLimitChanged {
        /// The endpoint.
        endpoint: &'a str,
        /// The limit in requests per second; none if there is none any more.
        limit: Option<f64>,
        /// The limit before; none if there was none.
        before: Option<f64>,
        /// Where the limit was read: in an answer of the endpoint, or in the state that its loader reports. If it can't be parsed, what is wrong.
        cause: &'a str,
    },
    /// A request may not be sent to an endpoint yet, because of the endpoint's rate limit.
    RateLimited {
        /// The endpoint.
        endpoint: &'a str,
        /// The limit in requests per second.
        limit: f64,
        /// When a request may be sent again.
        after_ms: u64,
        /// Why the request may not be sent.
        cause: &'a str,
    },
    /// A request was accepted.
    Accepted {
        /// The id of the request.
        request: &'a str,
        /// The name of the route.
        route: &'a str,
        /// The kind and priority of the route.
        class: &'a str,
        /// The version of the configuration by which the request was accepted.
        version: u64,
        /// The model that the request is for.
        model: &'a str,
        /// How long the caller still waits.
        left_ms: u64,
        /// The time within which the answer should begin.
        target_ms: u64,
        /// The target for the longest pause in the answer; 0 if there is none.
        pause_ms: u64,
        /// The request whose stream the caller takes up, if it names one.
        #[serde(skip_serializing_if = "str::is_empty")]
        resumes: &'a str,
        /// The last event that the caller has of that stream.
        #[serde(skip_serializing_if = "Option::is_none")]
        last_event: Option<u64>,
    },
    /// A request reached a step.
    Step {
        /// The id of the request.
        request: &'a str,
        /// The step.
        step: Step,
        /// The endpoint.
        endpoint: &'a str,
        /// How often the request has been sent; in a `sent` step, how often it had been sent before.
        sends: u32,
        /// Requests that this router had in flight at the endpoint.
        inflight: u32,
        /// The age of the newest state of the endpoint that the router has.
        age_ms: u64,
        /// For how long the endpoint has sent nothing to the router; set in the steps `sent` and `abandoned`.
        quiet_ms: u64,
        /// How long the request waited in the queue.
        waited_ms: u64,
        /// Whether the request waited for a model to be loaded.
        cold: bool,
        /// The digest that identifies the request whatever its id; set if the request was sent.
        #[serde(skip_serializing_if = "str::is_empty")]
        digest: &'a str,
        /// The version of the endpoint's software, if it is known; set in the steps `sent` and `resumed`.
        #[serde(skip_serializing_if = "str::is_empty")]
        software: &'a str,
        /// The class in the `accepted` line.
        #[serde(skip)]
        class: &'a str,
        /// The error, if there was one.
        cause: &'a str,
    },
    /// A request began to wait in the queue for its model.
    Queued {
        /// The id of the request.
        request: &'a str,
        /// The class in the `accepted` line.
        class: &'a str,
        /// The model.
        model: &'a str,
        /// The workspace; empty if the request belongs to none.
        workspace: &'a str,
        /// How many requests go first.
        position: usize,
        /// The number of requests in the queue, including this one.
        length: usize,
        /// The expected time until the turn of the request.
        expect_ms: u64,
    },
    /// A request that waited in the queue for its model got an endpoint.
    Dequeued {
        /// The id of the request.
        request: &'a str,
        /// The class in the `accepted` line.
        #[serde(skip)]
        class: &'a str,
        /// The model.
        model: &'a str,
        /// How long the request waited in the queue.
        waited_ms: u64,
    },
    /// A request was answered by an endpoint.
    Answered {
        /// The id of the request.
        request: &'a str,
        /// The class in the `accepted` line.
        #[serde(skip)]
        class: &'a str,
        /// The HTTP status.
        status: u16,
        /// The time until the answer began.
        first_ms: u64,
        /// The time until the answer ended.
        total_ms: u64,
        /// The longest pause between two pieces of the answer.
        gap_ms: u64,
        /// Whether the answer is complete.
        whole: bool,
        /// What marked the end of the endpoint's answer: `length`, `chunked` or `close` (of its connection).
        framing: &'a str,
        /// The bytes of a stream that followed its last complete event.
        tail_bytes: usize,
    },
    /// A request was refused, or was ended by the router.
    Refused {
        /// The id of the request.
        request: &'a str,
        /// The class in the `accepted` line.
        #[serde(skip)]
        class: &'a str,
        /// The HTTP status.
        status: u16,
        /// Why the request was refused.
        cause: Refusal,
        /// When the caller may retry, if that is known.
        after_ms: u64,
        /// How long the router held the request.
        held_ms: u64,
    },
    /// It was decided where a stream goes on that is taken up.
    #[serde(rename = "resumption")]
    StreamResumption {
        /// The id of the request.
        request: &'a str,
        /// Where the stream is taken up.
        at: ResumedAt,
        /// The request that began the stream, if it is known.
        #[serde(skip_serializing_if = "str::is_empty")]
        resumes: &'a str,
        /// Where the stream goes on.
        outcome: ResumptionOutcome,
        /// The version that began the stream, if it is known.
        #[serde(skip_serializing_if = "str::is_empty")]
        software: &'a str,
        /// How that version is known.
        #[serde(skip_serializing_if = "Option::is_none")]
        source: Option<Source>,
        /// The endpoint that began the stream, if it is known.
        #[serde(skip_serializing_if = "str::is_empty")]
        endpoint: &'a str,
        /// The time since the first event of the stream; 0 if the endpoint is not known.
        age_ms: u64,
        /// The incarnation in which the endpoint began it; 0 if it is not known.
        #[serde(skip_serializing_if = "is_zero")]
        incarnation: u64,
        /// How that is known.
        #[serde(skip_serializing_if = "Option::is_none")]
        confirmed: Option<Confirmation>,
        /// What makes it doubtful.
        #[serde(skip_serializing_if = "Option::is_none")]
        evidence: Option<Evidence>,
        /// The versions that the service has had lately, separated by commas; set if the version that began the stream is not known.
        #[serde(skip_serializing_if = "str::is_empty")]
        versions: &'a str,
        /// Keepers that were asked.
        asked: usize,
        /// Keepers that answered.
        answered: usize,
        /// How long the decision took.
        took_ms: u64,
    },
    /// The software versions that a service has had lately, as far as this router has seen, have changed.
    VersionsChanged {
        /// The service.
        service: &'a str,
        /// The versions, separated by commas.
        versions: &'a str,
        /// The versions before.
        before: &'a str,
        /// The streams that this router tells keepers of because of the change.
        told: usize,
    },
    /// This router has written to the store which software versions a service has had lately.
    VersionsRecorded {
        /// The service.
        service: &'a str,
        /// The versions, separated by commas.
        versions: &'a str,
    },
    /// This router has recorded in the store where the streams began that it serves.
    StreamsRecorded {
        /// The number of streams.
        streams: usize,
        /// The size of the record.
        bytes: usize,
    },
    /// This router has read in the store where streams began that it served before it was restarted.
    StreamsRemembered {
        /// The number of streams.
        streams: usize,
    },
    /// How loaded a router was since the line before, if it was busy for most of the time or closed connections unread.
    RouterLoad(RouterLoad),
    /// A keeper could not be told where streams began.
    OriginsNotTold {
        /// The endpoint beside which the keeper runs.
        endpoint: &'a str,
        /// The number of streams.
        streams: usize,
        /// The error.
        cause: &'a str,
    },
    /// The caller disconnected.
    #[serde(rename = "left")]
    CallerLeft {
        /// The id of the request.
        request: &'a str,
        /// How long the router held the request.
        held_ms: u64,
        /// How much longer the caller could have waited.
        left_ms: u64,
    },
    /// The retry budget of a service was asked whether a request may be sent again.
    #[serde(rename = "repeat")]
    Retry {
        /// The id of the request.
        request: &'a str,
        /// The service.
        service: &'a str,
        /// Whether the request may be sent again.
        allowed: bool,
        /// Retries by this router in the current window, including this one.
        spent: u32,
        /// The retries that are allowed in the window.
        limit: u32,
    },
    /// An endpoint that interrupted requests was examined.
    #[serde(rename = "examined")]
    CrashChecked {
        /// The endpoint.
        endpoint: &'a str,
        /// The incarnation of the endpoint; 0 if the endpoint does not report it.
        #[serde(rename = "life")]
        incarnation: u64,
        /// Whether the endpoint has stopped without a planned shutdown, so that the crash may count against the requests that
        /// it ran.
        ended: bool,
        /// What showed the result.
        cause: &'a str,
        /// Requests of this router that the endpoint had started lately.
        requests: usize,
        /// The beginnings of their digests.
        digests: &'a str,
        /// The parts of their prompts, each with the number of requests that had it.
        parts: &'a str,
        /// How long the examination took.
        after_ms: u64,
    },
    /// A request, or a part of prompts, became a suspect, or is no longer one.
    #[serde(rename = "blamed")]
    SuspectChanged {
        /// The digest of the request or of the part.
        digest: &'a str,
        /// Whether it is a suspect now.
        suspect: bool,
        /// What it is, `request` or `part`; empty if it is no suspect.
        kind: &'a str,
        /// The crashes that count against it: endpoint, incarnation and age.
        ends: &'a str,
    },
    /// A request was refused because it crashes endpoints, or it is tried once more.
    #[serde(rename = "barred")]
    SuspectRequest {
        /// The id of the request.
        request: &'a str,
        /// The digest of the suspect: of the request, or of a part of its prompt.
        digest: &'a str,
        /// The ids of the parts of its prompt for which it is refused; empty if it is refused for itself.
        parts: &'a str,
        /// Whether the request is tried once more.
        tried: bool,
        /// The crashes that count against the suspect: endpoint, incarnation and age.
        ends: &'a str,
    },
    /// A request was rejected because of its key.
    #[serde(rename = "denied")]
    KeyRejected {
        /// The id of the request.
        request: &'a str,
        /// The beginning of the key's digest; empty if there is no key.
        key: &'a str,
        /// Why the request was rejected.
        cause: &'a str,
        /// The version of the configuration by which the request was rejected.
        version: u64,
        /// The time since this version was confirmed to be the newest.
        age_ms: u64,
    },
    /// A request was rejected because of the limit of its workspace.
    #[serde(rename = "limited")]
    LimitExceeded {
        /// The id of the request.
        request: &'a str,
        /// The workspace.
        workspace: &'a str,
        /// The cost of the request.
        cost: u64,
        /// What this router had left of the limit.
        left: u64,
        /// What other routers lent to this router for the request.
        lent: u64,
        /// How many routers were asked to lend.
        asked: usize,
        /// The number of equal shares that the limit is divided into; 0 if this router has no share.
        shares: u32,
        /// The version of the configuration by which the request was rejected.
        version: u64,
        /// Whether tokens are set aside for the caller's return.
        promised: bool,
        /// When the caller is told to return.
        after_ms: u64,
    },
    /// A request that had been refused returned when it was told to, and got the tokens that were set aside for it.
    #[serde(rename = "promise-kept")]
    PromiseKept {
        /// The workspace.
        workspace: &'a str,
        /// The tokens.
        tokens: u64,
    },
    /// The share of this router in all limits has changed.
    #[serde(rename = "shared")]
    ShareChanged {
        /// The number of equal shares; 0 if this router has no share.
        shares: u32,
        /// The number of shares before.
        before: u32,
    },
    /// The time factor by which requests are sent to an endpoint has changed by a quarter or more.
    EndpointSpeed {
        /// The endpoint.
        endpoint: &'a str,
        /// How long it takes for the same work, relative to the median endpoint.
        factor: f64,
        /// The number of events of streams that the factor was measured from.
        events: u32,
        /// Why the factor has changed.
        cause: &'a str,
    },
    /// The endpoints of a service have begun or ceased to differ in speed.
    EndpointsUneven {
        /// The service.
        service: &'a str,
        /// Whether they differ now.
        uneven: bool,
    },
    /// A loader was asked to load a model.
    #[serde(rename = "wanted")]
    LoadRequested {
        /// The model.
        model: &'a str,
        /// The endpoint.
        endpoint: &'a str,
        /// How long the load is expected to take.
        expect_ms: u64,
        /// Why the model is needed: `request` if a request waits for it, or `prepared` if it is loaded in advance.
        cause: &'a str,
    },
    /// A loader refused to load a model, or could not be reached.
    #[serde(rename = "declined")]
    LoadDeclined {
        /// The model.
        model: &'a str,
        /// The endpoint.
        endpoint: &'a str,
        /// When the loader may be asked again.
        after_ms: u64,
        /// Why the model was not loaded.
        cause: &'a str,
    },
    /// An order was given to an endpoint.
    Order {
        /// The endpoint.
        endpoint: &'a str,
        /// The operation: `load` or `unload`.
        work: &'a str,
        /// The model or adapter.
        model: &'a str,
        /// Orders that the endpoint had accepted before.
        sequence: u64,
        /// The result of the order.
        outcome: OrderOutcome,
    },
    /// A load is complete.
    Loaded {
        /// The endpoint.
        endpoint: &'a str,
        /// The model.
        model: &'a str,
        /// The tier that the weights were loaded from.
        tier: Tier,
        /// How long the load took.
        took_ms: u64,
        /// How long the load was expected to take.
        expect_ms: u64,
    },
    /// The models or copies on an endpoint have changed.
    #[serde(rename = "holds")]
    HoldingsChanged {
        /// The endpoint.
        endpoint: &'a str,
        /// The number of loaded models.
        models: usize,
        /// The number of copies in host memory.
        memory: usize,
        /// The number of copies on disk.
        disk: usize,
        /// The model that is being loaded; empty if there is none.
        loading: &'a str,
        /// The version of the endpoint's state.
        version: u64,
    },
    /// A loader got a fencing token.
    #[serde(rename = "token")]
    TokenAcquired {
        /// The token.
        token: u64,
    },
    /// A loader got a permit to load from the weight store.
    #[serde(rename = "lane")]
    LoadPermit {
        /// The model.
        model: &'a str,
        /// The requests per second that the load would serve.
        worth: f64,
        /// How long the loader waited for the permit.
        waited_ms: u64,
        /// Whether the loaders agreed on the permit. While the store is unreachable, each loader goes by what was agreed on before.
        agreed: bool,
    },
    /// A loader gave the room of its endpoint to a model that requests wait for, by the queues of routers.
    RoomGiven {
        /// The model.
        model: &'a str,
        /// The model that was unloaded for it; empty if there was free room.
        evicted: &'a str,
        /// The number of waiting requests that can be served in time.
        waiting: u32,
        /// The workspaces of the waiting requests, separated by commas.
        workspaces: &'a str,
        /// Why this model went first.
        cause: RoomCause,
    },
    /// Lines were dropped, because the buffer was too full.
    #[serde(rename = "dropped")]
    LinesDropped {
        /// The number of lines.
        lines: u64,
    },
}

/// Whole milliseconds of a duration, for the fields of events.
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

impl Event<'_> {
    /// The id of the request that the event is about.
    pub(crate) fn request(&self) -> Option<&str> {
        match self {
            Self::Accepted { request, .. }
            | Self::Step { request, .. }
            | Self::Queued { request, .. }
            | Self::Dequeued { request, .. }
            | Self::Answered { request, .. }
            | Self::Refused { request, .. }
            | Self::Retry { request, .. }
            | Self::SuspectRequest { request, .. }
            | Self::KeyRejected { request, .. }
            | Self::LimitExceeded { request, .. }
            | Self::StreamResumption { request, .. }
            | Self::CallerLeft { request, .. } => Some(request),
            _ => None,
        }
    }

    /// Whether the event reports a failure. Failures are kept in preference to other lines.
    pub(crate) fn is_failure(&self) -> bool {
        match self {
            Self::Refused { .. }
            | Self::BodiesTooLarge { .. }
            | Self::StartDelayed { .. }
            | Self::MetricsUnavailable { .. }
            | Self::AcceptFailing { .. }
            | Self::TaskPanicked { .. }
            | Self::DependencyLost { .. }
            | Self::EndpointPaused { .. }
            | Self::CrashChecked { .. }
            | Self::SuspectChanged { .. }
            | Self::SuspectRequest { .. }
            | Self::KeyRejected { .. }
            | Self::LimitExceeded { .. }
            | Self::OriginsNotTold { .. } => true,
            Self::StreamResumption { outcome, .. } => outcome.is_refusal(),
            Self::Answered { status, whole, .. } => *status >= 500 || !whole,
            _ => false,
        }
    }
}

#[allow(clippy::trivially_copy_pass_by_ref, reason = "serde passes a reference")]
fn is_zero(number: &u64) -> bool {
    *number == 0
}

#[cfg(test)]
mod tests;
