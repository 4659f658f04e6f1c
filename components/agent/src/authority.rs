//! Whether this process may order its endpoint: it is the current incarnation and knows so recently enough.

use std::sync::OnceLock;
use std::time::Duration;

use journal::Journal;
use thiserror::Error;
use tokio::time::Instant;
use units::{EndpointId, Incarnation, Span};
use wire::Refusal;

/// Why the process may not order its endpoint now.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub(crate) enum Barred {
    /// It has not attached yet.
    #[error("not attached yet")]
    Detached,
    /// Another incarnation has taken over; this one must stop.
    #[error("incarnation {current} has taken over")]
    Superseded {
        /// The incarnation in charge; 0 if the endpoint is no member any more.
        current: Incarnation,
    },
    /// It has heard nothing of the log for so long that another incarnation may be in charge.
    #[error("no news of the log for {age}")]
    Lapsed {
        /// The age of the last news.
        age: Span,
    },
    /// Orders of an older incarnation may still be under way.
    #[error("orders of an older incarnation may still be under way")]
    Early,
}

/// Says before each order whether it may be sent.
pub(crate) struct Authority {
    endpoint: EndpointId,
    journal: Journal,
    lease: Option<Duration>,
    attached: OnceLock<Attached>,
}

#[derive(Debug, Clone, Copy)]
struct Attached {
    incarnation: Incarnation,
    start: Instant,
}

impl Authority {
    /// `lease` is how old the last news of the log may be; `None` where the endpoint itself refuses old orders.
    pub(crate) fn new(endpoint: EndpointId, journal: Journal, lease: Option<Duration>) -> Self {
        Self { endpoint, journal, lease, attached: OnceLock::new() }
    }

    /// Notes the incarnation; no order goes out before `start`.
    pub(crate) fn attach(&self, incarnation: Incarnation, start: Instant) {
        let _ = self.attached.set(Attached { incarnation, start });
    }

    /// The incarnation, once attached.
    pub(crate) fn incarnation(&self) -> Incarnation {
        self.attached.get().map_or(Incarnation(0), |attached| attached.incarnation)
    }

    /// The time before which no order goes out.
    pub(crate) fn start(&self) -> Option<Instant> {
        self.attached.get().map(|attached| attached.start)
    }

    /// Whether this is the incarnation in charge, as far as the folded state says.
    pub(crate) fn current(&self) -> Result<Incarnation, Barred> {
        let ours = self.attached.get().ok_or(Barred::Detached)?.incarnation;
        let member = |state: &state::State| state.member(&self.endpoint).map(|m| m.incarnation);
        let current = self.journal.read(member).unwrap_or_default();
        if current == ours { Ok(ours) } else { Err(Barred::Superseded { current }) }
    }

    /// Whether an order may be sent right now; gives its fencing number.
    pub(crate) fn check(&self) -> Result<Incarnation, Barred> {
        let ours = self.current()?;
        let now = Instant::now();
        if self.start().is_none_or(|start| now < start) {
            return Err(Barred::Early);
        }
        let Some(lease) = self.lease else { return Ok(ours) };
        let fresh = self.journal.fresh();
        let age = fresh.map_or(Duration::MAX, |fresh| now.saturating_duration_since(fresh));
        if age > lease { Err(Barred::Lapsed { age: Span(age) }) } else { Ok(ours) }
    }
}

impl Barred {
    /// What requests are refused with that did not run because of it.
    pub(crate) fn refusal(&self) -> Refusal {
        match self {
            Self::Superseded { current } => Refusal::Incarnation { current: *current },
            Self::Detached | Self::Lapsed { .. } | Self::Early => Refusal::Leaving,
        }
    }
}
