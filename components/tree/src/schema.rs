//! The typed settings of a node.

use std::fmt;

use serde::{Deserialize, Serialize};
use units::{ServiceName, Size, Span};

/// What a node of the tree is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NodeKind {
    /// A hall, department or other group of nodes.
    Branch,
    /// A model; its name is what callers ask for.
    Model,
    /// An adapter of the model above it; callers ask for `model:adapter`.
    Adapter,
    /// A version of the model above it; the model's `version` setting chooses one.
    Version,
    /// A plain service; callers reach it at `/services/NAME/`.
    Service,
}

impl fmt::Display for NodeKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Branch => "branch",
            Self::Model => "model",
            Self::Adapter => "adapter",
            Self::Version => "version",
            Self::Service => "service",
        })
    }
}

/// The priority class of requests, most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Somebody stands and waits: a child at a kiosk, a technician at a cage.
    Urgent,
    /// Somebody sits and waits.
    Interactive,
    /// Nobody waits before a deadline: overnight series.
    Series,
}

/// A closing window: a calendar time at which the leaf must be ready.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Window {
    /// When it opens: `monthly last 08:00`, `monthly 25 08:00`, `yearly 03-31 08:00` or `once 2026-12-31T08:00`.
    pub opens: String,
    /// How long it stays open.
    pub lasts: Span,
    /// The IANA time zone of `opens`.
    pub zone: String,
    /// How many replicas must be loaded when it opens.
    pub replicas: u32,
}

/// The settings in force at a node: its own, else those of the nearest node above that has them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Settings {
    /// The platform's service whose endpoints may serve the leaf.
    pub service: Option<ServiceName>,
    /// The longest a request may wait for its whole answer.
    pub deadline: Span,
    /// The priority class of requests that name none.
    pub class: Class,
    /// The fewest replicas that are granted at any time.
    pub replicas_least: u32,
    /// The most replicas that may be granted at any time.
    pub replicas_most: u32,
    /// The version of the model that is served; empty for models without versions.
    pub version: String,
    /// The accelerator memory that the weights take.
    pub weights: Size,
    /// The accelerator memory set aside for the KV cache of one replica.
    pub kv_room: Size,
    /// The accelerator memory that one adapter takes beside its replica while it is loaded.
    pub adapter_weights: Size,
    /// How many requests one replica runs at the same time.
    pub batch: u32,
    /// How many requests may wait at one replica.
    pub queue: u32,
    /// What a second of cold start costs against an idle second of a replica.
    pub cold_weight: f64,
    /// What an idle accelerator second costs.
    pub idle_weight: f64,
    /// The longest a replica stays loaded with no request.
    pub keep_warm: Span,
    /// The closing windows.
    pub windows: Vec<Window>,
    /// Method and path prefix of calls that may not be repeated, such as `POST /badges`.
    pub not_repeatable: Vec<String>,
    /// Whether the service's endpoints refuse orders with an old fencing number.
    pub fenced: bool,
    /// How long a leaving endpoint may take to finish what runs.
    pub drain: Span,
    /// How long an idempotency key is remembered.
    pub key_window: Span,
    /// How many of the urgent and interactive requests of one caller group may wait, as a share of the queue.
    pub group_share: f64,
    /// Which classes are refused first when the queue is full, first to go first.
    pub shed: Vec<Class>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            service: None,
            deadline: Span::secs(30),
            class: Class::Interactive,
            replicas_least: 1,
            replicas_most: 1,
            version: String::new(),
            weights: Size::gib(8),
            kv_room: Size::gib(2),
            adapter_weights: Size::mib(256),
            batch: 8,
            queue: 64,
            cold_weight: 20.0,
            idle_weight: 1.0,
            keep_warm: Span::secs(300),
            windows: Vec::new(),
            not_repeatable: Vec::new(),
            fenced: true,
            drain: Span::secs(60),
            key_window: Span::secs(3600),
            group_share: 0.5,
            shed: vec![Class::Series, Class::Interactive, Class::Urgent],
        }
    }
}
