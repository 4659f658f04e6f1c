//! Holds a stream to the version of the software that began it: what two versions write does not fit together.

use origin::StreamOrigin;
use tokio::time::Instant;
use units::SoftwareVersion;

use crate::in_flight::InFlightRequest;
use crate::origins;
use crate::reservation::Reservation;
use crate::resumption::REPORT_TIMEOUT;

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
        if let Some(software) = software.filter(|_| self.route.kind.repeatable()) {
            let (service, endpoint) = (self.service.clone(), reservation.id.clone());
            let origin = StreamOrigin { service, software, endpoint, begun: Instant::now() };
            origins::record(&self.shared, self.stream_key, origin, self.deadline);
        }
        true
    }

    /// Whether the endpoint that has begun to answer runs the version to which the stream is held. The list may not show yet
    /// that the endpoint has restarted under its id with other software, so the endpoint is asked for its incarnation where
    /// the service has several versions.
    pub(crate) async fn answers_with_held_version(&self, reservation: &Reservation) -> bool {
        let Some(wanted) = self.stream_version.wanted() else { return true };
        if reservation.software().as_ref() != Some(wanted) {
            return false;
        }
        let (Some(incarnation), true) =
            (reservation.incarnation, self.shared.has_several_versions(&self.service))
        else {
            return true;
        };
        let (client, addr) = (&self.shared.client, reservation.pool.addr());
        match platform::fetch_report(client, addr, REPORT_TIMEOUT).await {
            Ok(report) => report.incarnation == Some(incarnation),
            Err(error) => {
                log::debug!("router: the incarnation of {} is not known: {error}", reservation.id);
                false
            }
        }
    }
}

#[cfg(test)]
mod tests;
