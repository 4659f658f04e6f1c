//! Holds a stream to the version of the software that began it: what two versions write does not fit together.

use events::{Event, ResumedAt, ResumptionOutcome, emit, millis};
use origin::{Evidence, OriginCheck, Source, StreamKey, StreamNeeds, StreamOrigin};
use tokio::time::Instant;
use units::SoftwareVersion;

use crate::in_flight::InFlightRequest;
use crate::incarnations::{self, IncarnationCheck, REPORT_TIMEOUT};
use crate::origins;
use crate::reservation::Reservation;
use crate::resumption::{self, AnsweringIncarnation};

/// Fraction of the time left to a request that the check of its origin may take inside the answer.
const DOUBT_DIVISOR: u32 = 2;

/// The software version to which a request for a stream is held.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) enum StreamVersion {
    /// The caller has no event yet, so any version may serve the request.
    #[default]
    Open,
    /// The caller has events of this version.
    Held(SoftwareVersion),
    /// The caller has events of an endpoint whose version is not known, so no other endpoint may continue the stream.
    Unknown,
}

impl StreamVersion {
    /// The version that an endpoint must run to serve the request, if it matters.
    pub(crate) fn wanted(&self) -> Option<&SoftwareVersion> {
        match self {
            Self::Held(software) => Some(software),
            Self::Open | Self::Unknown => None,
        }
    }

    /// Whether another endpoint may continue the stream.
    pub(crate) fn can_resume(&self) -> bool {
        *self != Self::Unknown
    }

    /// Whether events of an endpoint that runs this version, if that is known, may reach the caller. Holds the stream to the
    /// version from then on.
    pub(crate) fn admit(&mut self, software: Option<SoftwareVersion>) -> bool {
        match (&*self, software) {
            (Self::Open, Some(software)) => *self = Self::Held(software),
            (Self::Open, None) => *self = Self::Unknown,
            (Self::Held(held), software) => return software.as_ref() == Some(held),
            (Self::Unknown, _) => return false,
        }
        true
    }
}

impl InFlightRequest {
    /// Whether events of an endpoint may reach the caller. Records where the stream began.
    pub(crate) fn admit_events(&mut self, reservation: &Reservation) -> bool {
        let software = reservation.software();
        if !self.stream_version.admit(software.clone()) {
            return false;
        }
        if !self.route.kind.repeatable() {
            return true;
        }
        // Callers go on to name the request that began the stream, so that record is prolonged.
        let keys = std::iter::once(self.stream_key).chain(self.resumed_key);
        if software.is_none() && reservation.incarnation.is_none() {
            keys.for_each(|key| self.shared.origins.record_unknown(key, self.deadline));
            return true;
        }
        if self.origin.is_none() {
            self.origin_check = reservation.incarnation_check.clone();
        }
        let needs = match self.call.model {
            Some(_) => StreamNeeds::Model,
            None => StreamNeeds::Nothing,
        };
        let check = self.origin_check.as_ref();
        let confirmed = check.is_some_and(IncarnationCheck::is_confirmed);
        let origin = self.origin.get_or_insert_with(|| StreamOrigin {
            service: self.service.clone(),
            software,
            endpoint: reservation.id.clone(),
            incarnation: reservation.incarnation,
            confirmed,
            needs,
            begun: Instant::now(),
        });
        let keys: Vec<StreamKey> = keys.collect();
        let keep = origins::keep_time(self.deadline, Instant::now());
        keys.iter().for_each(|key| origins::record(&self.shared, *key, origin.clone(), keep));
        if let Some(check) = check.filter(|_| !origin.confirmed) {
            let (shared, check) = (self.shared.clone(), check.clone());
            let origin = StreamOrigin { confirmed: true, ..origin.clone() };
            tokio::spawn(async move {
                if check.finish().await == AnsweringIncarnation::Same {
                    keys.iter().for_each(|key| {
                        origins::record_again(&shared, *key, origin.clone(), keep);
                    });
                }
            });
        }
        true
    }

    /// Records that the caller has got the last event of its stream.
    pub(crate) fn finish_stream(&self) {
        let keys = std::iter::once(self.stream_key).chain(self.resumed_key);
        origins::finish(&self.shared, keys);
    }

    /// Holds the first event of a stream back until its origin is known elsewhere, too: the caller may have to take the stream up
    /// at another router by the next one. Returns false if that was not possible, and the stream would count as one of another
    /// version.
    pub(crate) async fn wait_until_told(&self) -> bool {
        if !self.depends_on_version() {
            return true;
        }
        self.shared.origins.wait_until_told(self.stream_key).await;
        // Of a stream that is taken up its first request is known.
        if self.resumed_key.is_some() {
            return true;
        }
        let records = &self.shared.stream_records;
        match self.stream_version.wanted() {
            Some(software)
                if self.shared.origins.has_keepers()
                    && records.must_be_known(&self.service, software) =>
            {
                origins::wait_until_known(&self.shared, self.stream_key, &self.service, software)
                    .await
            }
            Some(_) | None => true,
        }
    }

    /// Whether another endpoint may continue the stream, as far as its version goes.
    pub(crate) fn version_is_known(&mut self) -> bool {
        if self.stream_version == StreamVersion::Unknown
            && let Some(origin) = &mut self.origin
        {
            origin.software = origin.software.take().or_else(|| self.shared.software_of(origin));
            if let Some(software) = &origin.software {
                self.stream_version = StreamVersion::Held(software.clone());
            }
        }
        self.stream_version.can_resume()
    }

    /// Whether the stream may go on only at the version of the endpoint that has it, so that it matters in which incarnation the
    /// endpoint began it. In a service with one version any endpoint may go on with it.
    pub(crate) fn depends_on_version(&self) -> bool {
        let resumable = self.route.kind.streams() && self.route.kind.repeatable();
        let held = self.stream_version.wanted().is_some();
        resumable && (held || self.shared.origins.tells(&self.service))
    }

    /// Whether the endpoint that began the stream perhaps ran other software than the list named then, so that the stream may go
    /// on nowhere.
    pub(crate) async fn doubts_origin(&mut self) -> bool {
        let Some(origin) = &mut self.origin else { return false };
        let started = Instant::now();
        origin.confirmed |= self.origin_check.as_ref().is_some_and(IncarnationCheck::is_confirmed);
        let end = started + self.deadline.saturating_duration_since(started) / DOUBT_DIVISOR;
        let check = incarnations::check_origin(&self.shared, origin, end).await;
        let outcome = match check {
            OriginCheck::Confirmed(_) => {
                origin.confirmed = true;
                return false;
            }
            OriginCheck::Unchecked => return false,
            OriginCheck::Pending(_) => ResumptionOutcome::Unconfirmed,
            OriginCheck::Doubtful(_) => ResumptionOutcome::Restarted,
        };
        self.log_decision(outcome, check.evidence(), started);
        true
    }

    /// Logs whether the stream goes on inside the answer.
    pub(crate) fn log_resumption(&self, outcome: ResumptionOutcome, started: Instant) {
        self.log_decision(outcome, None, started);
    }

    fn log_decision(
        &self,
        outcome: ResumptionOutcome,
        evidence: Option<Evidence>,
        started: Instant,
    ) {
        let Some(software) = self.stream_version.wanted() else { return };
        let origin = self.origin.as_ref();
        emit(&Event::StreamResumption {
            request: &self.request_id,
            at: ResumedAt::Router,
            resumes: "",
            outcome,
            software: software.as_str(),
            source: Some(Source::Own),
            endpoint: origin.map_or("", |origin| origin.endpoint.as_str()),
            age_ms: origin.map_or(0, |origin| millis(origin.begun.elapsed())),
            incarnation: resumption::incarnation_of(origin),
            confirmed: None,
            evidence,
            versions: "",
            asked: 0,
            answered: 0,
            took_ms: millis(started.elapsed()),
        });
    }

    /// Finds out whether the endpoint that has begun to answer runs the version to which the stream is held. The list may not show
    /// yet that the endpoint has restarted under its id with other software, so its loader is asked for its incarnation, or else the
    /// endpoint. Where the service has one version only, as far as is known, they need not answer.
    pub(crate) async fn answering_incarnation(
        &self,
        reservation: &Reservation,
    ) -> AnsweringIncarnation {
        let Some(wanted) = self.stream_version.wanted() else { return AnsweringIncarnation::Same };
        if reservation.software().as_ref() != Some(wanted) {
            return AnsweringIncarnation::Other;
        }
        let Some(incarnation) = reservation.incarnation else { return AnsweringIncarnation::Same };
        let answering = async {
            match &reservation.incarnation_check {
                Some(check) => check.finish().await,
                None => {
                    let (shared, id) = (&self.shared, &reservation.id);
                    resumption::ask_incarnation(shared, id, incarnation, REPORT_TIMEOUT).await
                }
            }
        };
        let answering = tokio::time::timeout_at(self.deadline, answering).await;
        match answering.unwrap_or(AnsweringIncarnation::Unknown) {
            AnsweringIncarnation::Unknown
                if !self.shared.may_have_several_versions(&self.service) =>
            {
                AnsweringIncarnation::Same
            }
            answering => answering,
        }
    }
}

#[cfg(test)]
mod tests;
