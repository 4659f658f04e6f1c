//! One event of one process.

use std::fmt;

use serde::{Deserialize, Serialize};
use units::{EndpointId, InstanceId, ModelName, RequestId};

use crate::Tick;

/// The kind of an event.
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
    /// An entry resumed a request whose connection had failed.
    Resumed,
    /// A request got its final outcome.
    Answered,
    /// A request was cancelled.
    Cancelled,
    /// An agent ordered a load.
    LoadOrdered,
    /// The endpoint's inventory showed that a load had finished.
    Loaded,
    /// An agent ordered an unload.
    UnloadOrdered,
    /// The endpoint's inventory no longer showed a replica.
    Unloaded,
    /// A process activated the next replica of a model.
    Woken,
    /// A record was applied to the state and took effect.
    Applied,
    /// A record was read from the log and rejected as void.
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
    /// A fault was enabled in a stand-in for tests.
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
    /// The reading of the logical clock at the event.
    pub tick: Tick,
    /// The wall-clock time in milliseconds since 1970, for display; when events are sorted, it only breaks ties
    /// between equal ticks.
    pub wall: u64,
    /// The instance on which the event happened.
    pub instance: InstanceId,
    /// The kind of the event.
    pub kind: Kind,
    /// The request that the event is about, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestId>,
    /// The model that the event is about, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<ModelName>,
    /// The endpoint that the event is about, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub endpoint: Option<EndpointId>,
    /// Further details for display, in a few words.
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

    /// Adds further details.
    #[must_use]
    pub fn note(mut self, note: impl Into<String>) -> Self {
        self.note = note.into();
        self
    }
}

/// The sort key by which causes come before their effects, across processes.
pub(crate) fn sort_key(event: &Event) -> (Tick, u64, &str) {
    (event.tick, event.wall, event.instance.as_str())
}
