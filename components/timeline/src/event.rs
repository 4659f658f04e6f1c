//! One event of one process.

use std::fmt;

use serde::{Deserialize, Serialize};
use units::{EndpointId, InstanceId, ModelName, RequestId};

use crate::Tick;

/// What happened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A process started.
    Started,
    /// A process began its graceful shutdown.
    Stopping,
    /// A process ended its graceful shutdown.
    Stopped,
    /// An entry accepted a caller's request.
    Accepted,
    /// An entry sent a request to an agent.
    Dispatched,
    /// An agent queued a request.
    Queued,
    /// An agent handed a request to its endpoint.
    Running,
    /// An entry asked again for a request whose connection failed.
    Resumed,
    /// A request got its final outcome.
    Answered,
    /// A request was cancelled.
    Cancelled,
    /// An agent ordered a load.
    LoadOrdered,
    /// The inventory showed a load done.
    Loaded,
    /// An agent ordered an unload.
    UnloadOrdered,
    /// The inventory showed a replica gone.
    Unloaded,
    /// A process woke the next replica.
    Woken,
    /// A record was folded and took effect.
    Applied,
    /// A record was folded and is void.
    Voided,
    /// A process became the planner.
    Elected,
    /// A process lost the planner lease.
    Deposed,
    /// The log service failed to answer in time.
    LogDown,
    /// The log service answers again.
    LogUp,
    /// An endpoint left or was dropped.
    Gone,
    /// A fault was switched on in a stand-in.
    Fault,
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = serde_json::to_value(self).ok();
        let text = text.as_ref().and_then(|value| value.as_str()).unwrap_or_default();
        f.pad(text)
    }
}

/// One event of one process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// The logical clock at the event.
    pub tick: Tick,
    /// Wall clock in milliseconds since 1970, for people; never used for order.
    pub wall: u64,
    /// The process.
    pub instance: InstanceId,
    /// What happened.
    pub kind: Kind,
    /// The request it is about.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestId>,
    /// The model it is about.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<ModelName>,
    /// The endpoint it is about.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub endpoint: Option<EndpointId>,
    /// More for people, in a few words.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub note: String,
}

impl Event {
    /// Adds the request the event is about.
    #[must_use]
    pub fn request(mut self, id: &RequestId) -> Self {
        self.request = Some(id.clone());
        self
    }

    /// Adds the model the event is about.
    #[must_use]
    pub fn model(mut self, name: &ModelName) -> Self {
        self.model = Some(name.clone());
        self
    }

    /// Adds the endpoint the event is about.
    #[must_use]
    pub fn endpoint(mut self, id: &EndpointId) -> Self {
        self.endpoint = Some(id.clone());
        self
    }

    /// Adds a few words.
    #[must_use]
    pub fn note(mut self, note: impl Into<String>) -> Self {
        self.note = note.into();
        self
    }
}

/// Sorts events of several processes so that causes come before effects.
pub(crate) fn order(event: &Event) -> (Tick, u64, &str) {
    (event.tick, event.wall, event.instance.as_str())
}
