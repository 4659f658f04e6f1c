//! Decides where a stream goes on that its caller takes up.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use catalog::Route;
use events::{Event, Refusal, ResumedAt, ResumptionOutcome, emit, millis};
use http::StatusCode;
use origin::{
    Decision, Doubt, ListedEndpoint, Lookup, ResumptionFacts, StreamKey, StreamOrigin, decide,
};
use platform::{RequestHeaders, ResumedStream};
use tokio::time::Instant;
use units::{EndpointId, ServiceName, SoftwareVersion};

use crate::choose::NO_ENDPOINT_RETRY_AFTER;
use crate::in_flight::Failure;
use crate::origins::{self, Answers};
use crate::shared::Shared;
use crate::software::StreamVersion;

/// The timeout of asking an endpoint for its incarnation, which it answers without waiting for a slot.
pub(crate) const REPORT_TIMEOUT: Duration = Duration::from_millis(250);

/// A request for a stream, as far as it matters for where the stream goes on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ResumptionRequest<'a> {
    pub(crate) call: &'a RequestHeaders,
    pub(crate) route: &'a Route,
    /// The service that the route selects.
    pub(crate) service: &'a ServiceName,
    /// What identifies the caller, whatever its requests are.
    pub(crate) caller: &'a [u8],
}

impl ResumptionRequest<'_> {
    /// The key of the stream that the request with this id began.
    fn key(&self, request_id: &[u8]) -> StreamKey {
        StreamKey::new(self.call.host.as_bytes(), self.caller, request_id)
    }

    /// The key of the stream that the caller takes up, if it names one.
    fn resumed_key(&self) -> Option<StreamKey> {
        match self.call.resumes.as_ref()? {
            ResumedStream::Of(id) => Some(self.key(id.as_bytes())),
            ResumedStream::Malformed => None,
        }
    }

    /// The key of the stream that the request itself begins or goes on with.
    pub(crate) fn own_key(&self) -> StreamKey {
        self.key(self.call.id.as_bytes())
    }
}

/// The id of the request whose stream the caller takes up, as it is logged; empty if the caller names none.
pub(crate) fn resumed_id(call: &RequestHeaders) -> &str {
    match &call.resumes {
        Some(ResumedStream::Of(id)) => id.to_str().unwrap_or("unprintable"),
        Some(ResumedStream::Malformed) => "malformed",
        None => "",
    }
}

/// Where a request for a stream may be served.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Placement {
    pub(crate) service: ServiceName,
    pub(crate) version: StreamVersion,
}

/// Finds out where a request may be served: if its caller takes up a stream, only at the version that began it.
pub(crate) async fn place(
    shared: &Arc<Shared>,
    request: ResumptionRequest<'_>,
) -> Result<Placement, Failure> {
    let service = request.service.clone();
    if request.call.last_event.is_none() || !request.route.kind.streams() {
        return Ok(Placement { service, version: StreamVersion::Open });
    }
    let started = Instant::now();
    let key = request.resumed_key();
    let own = key.map_or(Lookup::Unknown, |key| shared.origins.get(key));
    let answers = match (key, &own) {
        (Some(key), Lookup::Unknown) => origins::ask(shared, key, request.service).await,
        _ => Answers::default(),
    };
    let (asked, answered) = (answers.asked, answers.answers.len());
    let origin = first_known(&own, &answers).cloned();
    let services = request.route.services.iter().filter(|weighted| weighted.weight > 0);
    let allowed: Vec<ServiceName> = services.map(|weighted| weighted.service.clone()).collect();
    let facts = facts(shared, &request, &allowed, own, answers);
    let mut decision = decide(&facts);
    if let (Decision::At { .. }, Some(origin)) = (&decision, &origin)
        && has_restarted(shared, origin).await
    {
        decision = Decision::Nowhere(Doubt::Restarted);
    }
    let (software, source) = match &decision {
        Decision::At { software, source, .. } => (software.as_str(), Some(*source)),
        Decision::Anywhere | Decision::Nowhere(_) => ("", None),
    };
    emit(&Event::StreamResumption {
        request: request.call.id.to_str().unwrap_or(""),
        at: ResumedAt::Caller,
        resumes: resumed_id(request.call),
        outcome: ResumptionOutcome::from(&decision),
        software,
        source,
        versions: &if source.is_none() { join_versions(&facts.versions) } else { String::new() },
        asked,
        answered,
        took_ms: millis(started.elapsed()),
    });
    match decision {
        Decision::Anywhere => Ok(Placement { service, version: StreamVersion::Open }),
        Decision::At { service, software, .. } => {
            Ok(Placement { service, version: StreamVersion::Held(software) })
        }
        Decision::Nowhere(doubt) => Err(refusal(shared, doubt)),
    }
}

fn join_versions(versions: &BTreeSet<SoftwareVersion>) -> String {
    let texts: Vec<&str> = versions.iter().map(SoftwareVersion::as_str).collect();
    texts.join(",")
}

fn first_known<'a>(own: &'a Lookup, answers: &'a Answers) -> Option<&'a StreamOrigin> {
    let answered = answers.answers.iter().map(|answer| &answer.origin);
    std::iter::once(own).chain(answered).find_map(|lookup| match lookup {
        Lookup::Known(origin) => Some(origin),
        Lookup::Unknown | Lookup::Conflicting => None,
    })
}

fn facts<'a>(
    shared: &Shared,
    request: &ResumptionRequest<'a>,
    allowed: &'a [ServiceName],
    own: Lookup,
    answers: Answers,
) -> ResumptionFacts<'a> {
    let now = Instant::now();
    let table = shared.endpoints.lock();
    let listed: HashMap<EndpointId, ListedEndpoint> = first_known(&own, &answers)
        .and_then(|origin| table.map.get(&origin.endpoint))
        .map(|tracked| (tracked.endpoint.id.clone(), tracked.as_listed(now)))
        .into_iter()
        .collect();
    let Answers { asked, answers } = answers;
    ResumptionFacts {
        service: request.service,
        allowed,
        has_events: true,
        own,
        asked,
        answers,
        listed,
        versions: table.software_versions(request.service, now),
        watched: table.versions_watched(request.service, now),
        has_unknown_version: table.has_unknown_version(request.service),
        list_is_stale: shared.stale_feeds.borrow().membership(),
    }
}

/// Whether the endpoint that began a stream has restarted under its id since, which the list may not show yet. It may have begun
/// the stream with other software than the list named then.
async fn has_restarted(shared: &Shared, origin: &StreamOrigin) -> bool {
    if !shared.has_several_versions(&origin.service) {
        return false;
    }
    let listed = shared.endpoints.lock().map.get(&origin.endpoint).map(|tracked| {
        let endpoint = &tracked.endpoint;
        (endpoint.addr, endpoint.incarnation)
    });
    let Some((addr, Some(incarnation))) = listed else { return false };
    match platform::fetch_report(&shared.client, addr, REPORT_TIMEOUT).await {
        Ok(report) => report.incarnation.is_some_and(|other| other != incarnation),
        // It has ended, or can't be reached.
        Err(_) => false,
    }
}

fn refusal(shared: &Shared, doubt: Doubt) -> Failure {
    let after = match doubt {
        Doubt::NoEndpoint => Some(shared.store_retry_after().unwrap_or(NO_ENDPOINT_RETRY_AFTER)),
        Doubt::Unconfirmed => Some(origin::LIST_LAG),
        // No later time is known at which more would be known.
        Doubt::Unknown | Doubt::Conflicting | Doubt::OtherService | Doubt::Restarted => None,
    };
    let cause = match doubt {
        Doubt::NoEndpoint => Refusal::NoEndpoint,
        _ => Refusal::UnknownVersion,
    };
    Failure { status: StatusCode::SERVICE_UNAVAILABLE, cause, after }
}
