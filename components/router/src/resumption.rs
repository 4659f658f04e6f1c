//! Decides where a stream goes on that its caller takes up.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use catalog::Route;
use events::{Event, Refusal, ResumedAt, ResumptionOutcome, emit, millis};
use http::StatusCode;
use origin::{
    Confirmation, Decision, Doubt, Established, EstablishedVersion, Evidence, ListedEndpoint,
    Lookup, OriginCheck, ReadRecords, ResumptionFacts, StreamKey, StreamOrigin, decide,
};
use platform::{RequestHeaders, ResumedStream};
use tokio::time::Instant;
use units::{EndpointId, EndpointIncarnation, ServiceName, SoftwareVersion};

use crate::caller::CallerConnection;
use crate::choose::NO_ENDPOINT_RETRY_AFTER;
use crate::in_flight::Failure;
use crate::incarnations;
use crate::origins::{self, Answers};
use crate::pause::pause;
use crate::shared::Shared;
use crate::stream_records;
use crate::stream_version::StreamVersion;

/// The pause before keepers are asked once more for a stream that none of them knew.
const SECOND_QUESTION_PAUSE: Duration = Duration::from_millis(100);
/// The pause between looks at the list for the software of an endpoint that has restarted.
const LIST_CHECK_PAUSE: Duration = Duration::from_millis(50);
/// The pause between questions to a loader that has not said yet in which incarnation its endpoint began a stream.
const LOADER_QUESTION_PAUSE: Duration = Duration::from_millis(200);
/// `Retry-After` of a stream whose loader has not answered: cut connections are opened again after about a second.
const LOADER_RETRY_AFTER: Duration = Duration::from_secs(1);
/// `Retry-After` of a stream while the store has not told yet which versions its service has had.
const RECORDS_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Fraction of the time to send a request that each of its questions to keepers may take.
const KEEPER_QUESTION_DIVISOR: u32 = 4;

/// A request for a stream, as far as it matters for where the stream goes on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ResumptionRequest<'a> {
    pub(crate) call: &'a RequestHeaders,
    pub(crate) route: &'a Route,
    /// The service that the route selects.
    pub(crate) service: &'a ServiceName,
    /// What identifies the caller, whatever its requests are.
    pub(crate) caller: &'a [u8],
    pub(crate) connection: &'a CallerConnection,
    /// The latest time at which the request may be sent.
    pub(crate) send_by: Instant,
}

impl ResumptionRequest<'_> {
    /// The key of the stream that the request with this id began.
    fn key(&self, request_id: &[u8]) -> StreamKey {
        StreamKey::new(self.call.host.as_bytes(), self.caller, request_id)
    }

    /// The key of the stream that the caller takes up, if it names one.
    pub(crate) fn resumed_key(&self) -> Option<StreamKey> {
        match self.call.resumes.as_ref()? {
            ResumedStream::Of(id) => Some(self.key(id.as_bytes())),
            ResumedStream::Malformed => None,
        }
    }

    /// Until when the request may wait for what is not known yet: time is left to send it.
    fn wait_end(&self) -> Instant {
        let now = Instant::now();
        now + (self.send_by.saturating_duration_since(now) * 3 / 4).min(origin::LIST_LAG)
    }

    /// Until when keepers may be asked: time is left to send the request, perhaps after another question.
    fn keepers_end(&self) -> Instant {
        let now = Instant::now();
        now + self.send_by.saturating_duration_since(now) / KEEPER_QUESTION_DIVISOR
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
    /// Where the stream began that the caller takes up, if that is known.
    pub(crate) origin: Option<StreamOrigin>,
}

impl Placement {
    /// The place of a request whose caller has no event.
    fn new_stream(service: ServiceName) -> Self {
        Self { service, version: StreamVersion::Open, origin: None }
    }
}

/// Finds out where a request may be served: if its caller takes up a stream, only at the version that began it.
pub(crate) async fn place(
    shared: &Arc<Shared>,
    request: ResumptionRequest<'_>,
) -> Result<Placement, Failure> {
    let service = request.service.clone();
    let resumable = request.route.kind.streams() && request.route.kind.repeatable();
    let taken_up = request.call.has_events || request.call.resumes.is_some();
    if !taken_up || !resumable {
        return Ok(Placement::new_stream(service));
    }
    let started = Instant::now();
    let mut found = find(shared, &request).await;
    if found.may_be_known_soon() && Instant::now() + SECOND_QUESTION_PAUSE < request.wait_end() {
        // A keeper may be slow, or may hear of the stream only now.
        pause(&shared.closing, request.connection, SECOND_QUESTION_PAUSE).await?;
        found = find(shared, &request).await;
    }
    if request.call.has_events {
        found = wait_until_known(shared, &request, found).await?;
    }
    let DecidedResumption { mut decision, asked, answered, versions, origin, check } = found;
    if !request.call.has_events && matches!(decision, Decision::Nowhere(_)) {
        // The caller gets the stream from its first event.
        decision = Decision::Anywhere;
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
        endpoint: origin.as_ref().map_or("", |origin| origin.endpoint.as_str()),
        age_ms: origin.as_ref().map_or(0, |origin| millis(origin.begun.elapsed())),
        incarnation: incarnation_of(origin.as_ref()),
        confirmed: check.confirmation(),
        evidence: check.evidence(),
        versions: &if source.is_none() { origins::join_versions(&versions) } else { String::new() },
        asked,
        answered,
        took_ms: millis(started.elapsed()),
    });
    match decision {
        Decision::Anywhere => Ok(Placement::new_stream(service)),
        Decision::At { service, software, .. } => {
            Ok(Placement { service, version: StreamVersion::Held(software), origin })
        }
        Decision::Nowhere(doubt) => Err(refusal(shared, doubt)),
    }
}

/// Waits until it is known where a stream goes on, if its endpoint's loader or the list may say so in time.
async fn wait_until_known(
    shared: &Arc<Shared>,
    request: &ResumptionRequest<'_>,
    mut found: DecidedResumption,
) -> Result<DecidedResumption, Failure> {
    if found.decision == Decision::Nowhere(Doubt::Unconfirmed)
        && let Some(origin) = &found.origin
        && wait_until_settled(shared, request, origin).await?
    {
        found = find(shared, request).await;
    }
    if found.decision == Decision::Nowhere(Doubt::Unlisted)
        && let Some(origin) = &found.origin
        && wait_until_listed(shared, request, origin).await?
    {
        found = find(shared, request).await;
    }
    Ok(found)
}

/// Waits until it is known which incarnation began a stream, as far as its loader can tell, and leaves time to send the request.
/// Returns whether it is known.
async fn wait_until_settled(
    shared: &Shared,
    request: &ResumptionRequest<'_>,
    origin: &StreamOrigin,
) -> Result<bool, Failure> {
    let until = request.wait_end();
    while Instant::now() < until {
        let time = LOADER_QUESTION_PAUSE.min(until.saturating_duration_since(Instant::now()));
        pause(&shared.closing, request.connection, time).await?;
        let check = incarnations::check_origin(shared, origin, until).await;
        if !matches!(check, OriginCheck::Pending(_)) {
            return Ok(true);
        }
    }
    Ok(false)
}

/// Waits until the list shows the software of the incarnation that began a stream, and leaves time to send the request. Returns
/// whether it does.
async fn wait_until_listed(
    shared: &Shared,
    request: &ResumptionRequest<'_>,
    origin: &StreamOrigin,
) -> Result<bool, Failure> {
    let until = request.wait_end();
    loop {
        if shared.software_of(origin).is_some() {
            return Ok(true);
        }
        if Instant::now() >= until || !shared.endpoints.lock().may_list_software(origin) {
            return Ok(false);
        }
        pause(&shared.closing, request.connection, LIST_CHECK_PAUSE).await?;
    }
}

/// Where a stream goes on, and what that was decided by.
struct DecidedResumption {
    decision: Decision,
    /// Keepers that were asked, and those of them that answered.
    asked: usize,
    answered: usize,
    /// The versions of the service.
    versions: BTreeSet<SoftwareVersion>,
    /// Where the stream began, as far as it is known.
    origin: Option<StreamOrigin>,
    /// Whether its endpoint began the stream in the incarnation that the list named.
    check: OriginCheck,
}

impl DecidedResumption {
    /// Whether a keeper that was asked may know the stream a moment later.
    fn may_be_known_soon(&self) -> bool {
        matches!(self.decision, Decision::Nowhere(Doubt::Unknown | Doubt::Unread)) && self.asked > 0
    }
}

/// Decides where a stream goes on by what this router and the keepers know of it.
async fn find(shared: &Arc<Shared>, request: &ResumptionRequest<'_>) -> DecidedResumption {
    let key = request.resumed_key();
    let mut own = key.map_or(Lookup::Unknown, |key| shared.origins.get(key));
    let mut answers = match key {
        // Another caller may have used the same id at another router.
        Some(key)
            if own == Lookup::Unknown || shared.may_have_several_versions(request.service) =>
        {
            origins::ask(shared, key, request.service, request.keepers_end()).await
        }
        _ => Answers::default(),
    };
    let nobody_knows = own == Lookup::Unknown
        && answers.answers.iter().all(|answer| answer.origin == Lookup::Unknown);
    let (mut stored, mut records) = (Lookup::Unknown, None);
    if nobody_knows && needs_records(shared, request.service, &answers) {
        if stream_records::refresh(shared, request.keepers_end()).await {
            let established = key.and_then(|_| established_version(shared, request.service));
            records = Some(ReadRecords { established });
        }
        stored = key.map_or(Lookup::Unknown, |key| shared.stream_records.find(key));
    }
    if let (Some(key), Lookup::Known(origin)) = (key, &stored) {
        shared.origins.remember(key, origin.clone());
    }
    for answer in &answers.answers {
        if let (Some(key), Lookup::Known(origin)) = (key, &answer.origin) {
            shared.origins.remember(key, origin.clone());
        }
    }
    let mut origin = key.and_then(|key| shared.origins.recorded(key));
    let check = match &mut origin {
        Some(origin) => {
            origin.software = shared.software_of(origin);
            let check = incarnations::check_origin(shared, origin, request.wait_end()).await;
            if let (OriginCheck::Confirmed(_), Some(key)) = (check, key) {
                origin.confirmed = true;
                shared.origins.remember(key, origin.clone());
            }
            check
        }
        None => OriginCheck::Unchecked,
    };
    if let Some(key) = key {
        // The table has seen restarts, and what is known by now of the incarnation.
        let found = match (check, &origin) {
            (OriginCheck::Pending(_), Some(origin)) => Lookup::Known(origin.clone()),
            _ => shared.origins.get(key),
        };
        if own != Lookup::Unknown {
            own = found.clone();
        }
        if stored != Lookup::Unknown {
            stored = found.clone();
        }
        for answer in &mut answers.answers {
            if matches!(answer.origin, Lookup::Known(_)) {
                answer.origin = found.clone();
            }
        }
    }
    let (asked, answered) = (answers.asked, answers.answers.len());
    let services = request.route.services.iter().filter(|weighted| weighted.weight > 0);
    let allowed: Vec<ServiceName> = services.map(|weighted| weighted.service.clone()).collect();
    let facts = facts(shared, request, &allowed, Known { own, stored, answers, records });
    let decision = match check.restrict(decide(&facts)) {
        Decision::Nowhere(Doubt::Unlisted) if !may_be_listed(shared, origin.as_ref()) => {
            Decision::Nowhere(Doubt::Unknown)
        }
        decision => decision,
    };
    DecidedResumption { decision, asked, answered, versions: facts.versions, origin, check }
}

/// Whether the records may tell where a stream of a service began that neither this router nor a keeper knows.
fn needs_records(shared: &Shared, service: &ServiceName, answers: &Answers) -> bool {
    let table = shared.endpoints.lock();
    let mut software = table.software_of(service, Instant::now());
    let told = answers.answers.iter().flat_map(|answer| &answer.versions);
    software.versions.extend(told.cloned());
    let unheard = answers.asked > 0 && answers.answers.is_empty();
    !table.knows_past_versions || software.several() || unheard
}

/// The version that began the streams of a service that nobody knows, if this router has seen the other versions appear with new
/// endpoints.
fn established_version(shared: &Shared, service: &ServiceName) -> Option<Established> {
    let version = shared.stream_records.established(service)?;
    let EstablishedVersion { software, versions } = &version;
    let table = shared.endpoints.lock();
    // An endpoint that restarts with other software may have begun streams before the list showed it.
    let others = table.map.values().filter(|tracked| {
        tracked.endpoint.service == *service && tracked.endpoint.software.as_ref() != Some(software)
    });
    let is_stale = shared.stale_feeds.borrow().membership();
    if is_stale || others.into_iter().any(|tracked| shared.origins.has_restarted(tracked)) {
        return None;
    }
    let others = versions.iter().filter(|version| *version != software);
    let appeared: Option<Vec<Instant>> =
        others.map(|version| table.version_history().appeared(service, version)).collect();
    let others_for = appeared?.into_iter().min()?.elapsed() + origin::LIST_LAG;
    Some(Established { version, others_for })
}

/// Whether the list may come to show which version began a stream.
fn may_be_listed(shared: &Shared, origin: Option<&StreamOrigin>) -> bool {
    let table = shared.endpoints.lock();
    origin.is_some_and(|origin| table.may_list_software(origin))
}

/// What a list entry shows of an endpoint that runs other software than a stream began at.
fn listed_evidence(listed: &ListedEndpoint) -> Evidence {
    if listed.software.is_some() { Evidence::OtherListed } else { Evidence::NoneListed }
}

/// What is known of a stream, by who knows it.
struct Known {
    own: Lookup,
    stored: Lookup,
    answers: Answers,
    records: Option<ReadRecords>,
}

fn first_known<'a>(
    own: &'a Lookup,
    stored: &'a Lookup,
    answers: &'a Answers,
) -> Option<&'a StreamOrigin> {
    let answered = answers.answers.iter().map(|answer| &answer.origin);
    [own, stored].into_iter().chain(answered).find_map(|lookup| match lookup {
        Lookup::Known(origin) => Some(origin),
        Lookup::Unknown | Lookup::Conflicting => None,
    })
}

fn facts<'a>(
    shared: &Shared,
    request: &ResumptionRequest<'a>,
    allowed: &'a [ServiceName],
    known: Known,
) -> ResumptionFacts<'a> {
    let Known { own, stored, answers, records } = known;
    let now = Instant::now();
    let table = shared.endpoints.lock();
    let software = table.software_of(request.service, now);
    let listed: HashMap<EndpointId, ListedEndpoint> = first_known(&own, &stored, &answers)
        .and_then(|origin| table.map.get(&origin.endpoint))
        .filter(|tracked| tracked.endpoint.software.is_some() || software.several())
        .map(|tracked| (tracked.endpoint.id.clone(), tracked.as_listed(now)))
        .into_iter()
        .collect();
    let Answers { asked, answers, unheard } = answers;
    ResumptionFacts {
        service: request.service,
        allowed,
        has_events: true,
        own,
        stored,
        asked,
        answers,
        unheard,
        records,
        listed,
        versions: software.versions,
        watched: table.versions_watched(request.service, now),
        has_unknown_version: software.unknown,
        knows_past_versions: table.knows_past_versions,
        list_is_stale: shared.stale_feeds.borrow().membership(),
        list_age: table.list_age(now),
    }
}

/// Which incarnation of an endpoint answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AnsweringIncarnation {
    /// The one that the list names.
    Same,
    /// Another one, perhaps with other software.
    Other,
    /// The endpoint did not say.
    Unknown,
    /// The endpoint has no models, so it can't be asked.
    Unasked,
}

/// Asks an endpoint whether it is the incarnation that the list names.
pub(crate) async fn ask_incarnation(
    shared: &Shared,
    id: &EndpointId,
    incarnation: EndpointIncarnation,
    limit: Duration,
) -> AnsweringIncarnation {
    let addr = {
        let table = shared.endpoints.lock();
        let tracked = table.map.get(id).filter(|tracked| tracked.endpoint.holdings.is_some());
        tracked.map(|tracked| tracked.endpoint.addr)
    };
    let Some(addr) = addr else { return AnsweringIncarnation::Unasked };
    match platform::fetch_report(&shared.client, addr, limit).await {
        Ok(report) if EndpointIncarnation::differ(report.incarnation, Some(incarnation)) => {
            AnsweringIncarnation::Other
        }
        Ok(_) => AnsweringIncarnation::Same,
        Err(error) => {
            log::debug!("router: the incarnation of {id} is not known: {error}");
            AnsweringIncarnation::Unknown
        }
    }
}

/// Finds out from the list and the endpoint itself whether the endpoint that began a stream perhaps ran other software then than
/// the list named. The endpoint has the time `limit` to answer.
pub(crate) async fn check_endpoint(
    shared: &Shared,
    origin: &StreamOrigin,
    limit: Duration,
) -> OriginCheck {
    if shared.origins.has_past_restart(origin) {
        return OriginCheck::Doubtful(Evidence::PastRestart);
    }
    let now = Instant::now();
    let listed = {
        let table = shared.endpoints.lock();
        table.map.get(&origin.endpoint).map(|one| (one.as_listed(now), one.endpoint.incarnation))
    };
    let several = shared.may_have_several_versions(&origin.service);
    // Among several versions, an incarnation that nobody has seen after the first event needs evidence.
    let unseen = match origin.incarnation {
        Some(_) if several => OriginCheck::Doubtful(Evidence::Unseen),
        _ => OriginCheck::Unchecked,
    };
    let Some((listed, incarnation)) = listed else { return unseen };
    if listed.software.is_none() && !several {
        // The list does not show yet what the restarted endpoint runs, and no other version is known.
        return OriginCheck::Unchecked;
    }
    // Of several restarts since the list was read, only the last one is known.
    let restarted = several && EndpointIncarnation::differ(origin.incarnation, incarnation);
    if restarted || origin.software.is_some() && listed.software != origin.software {
        let doubtful = listed.since.is_none_or(|since| origin.begun + origin::LIST_LAG > since);
        return if doubtful {
            OriginCheck::Doubtful(listed_evidence(&listed))
        } else {
            OriginCheck::Unchecked
        };
    }
    let Some(incarnation) = incarnation.filter(|_| several) else { return OriginCheck::Unchecked };
    match ask_incarnation(shared, &origin.endpoint, incarnation, limit).await {
        AnsweringIncarnation::Other => OriginCheck::Doubtful(Evidence::OtherIncarnation),
        AnsweringIncarnation::Same if origin.incarnation == Some(incarnation) => {
            OriginCheck::Confirmed(Confirmation::Endpoint)
        }
        // The list would show a restart from before the first event by now.
        AnsweringIncarnation::Unknown if origin.begun + origin::LIST_LAG > now => unseen,
        AnsweringIncarnation::Same
        | AnsweringIncarnation::Unknown
        | AnsweringIncarnation::Unasked => OriginCheck::Unchecked,
    }
}

/// The incarnation of the endpoint that began a stream, as it is logged; 0 if it is not known.
pub(crate) fn incarnation_of(origin: Option<&StreamOrigin>) -> u64 {
    origin.and_then(|origin| origin.incarnation).unwrap_or_default().0
}

fn refusal(shared: &Shared, doubt: Doubt) -> Failure {
    let after = match doubt {
        Doubt::NoEndpoint => Some(shared.store_retry_after().unwrap_or(NO_ENDPOINT_RETRY_AFTER)),
        Doubt::Unconfirmed => Some(LOADER_RETRY_AFTER),
        Doubt::Unread => Some(RECORDS_RETRY_AFTER),
        Doubt::Unlisted => Some(shared.store_retry_after().unwrap_or(origin::LIST_LAG)),
        // No later time is known at which more would be known.
        Doubt::Unknown | Doubt::Conflicting | Doubt::OtherService | Doubt::Restarted => None,
    };
    let cause = match doubt {
        Doubt::NoEndpoint => Refusal::NoEndpoint,
        _ => Refusal::UnknownVersion,
    };
    Failure { status: StatusCode::SERVICE_UNAVAILABLE, cause, after }
}
