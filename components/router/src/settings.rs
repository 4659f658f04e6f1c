//! Settings of a router.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use units::{Domain, InstanceId, Size, Span};

/// Settings of a router.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The instance that the router runs on.
    pub instance: InstanceId,
    /// The failure domain of the instance.
    pub domain: Domain,
    /// The address at which callers reach the router.
    pub callers: SocketAddr,
    /// The address at which the load balancer asks whether the router accepts callers.
    pub ready: SocketAddr,
    /// The address at which other routers and operators ask the router for its state.
    pub control: SocketAddr,
    /// The other routers, which are asked for their state while the store is unreachable.
    pub peers: Vec<SocketAddr>,
    /// The address of `GET /metrics`, if metrics are served.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// The port of the loader, at the address of each model server.
    #[serde(rename = "loader-port")]
    pub loader: u16,
    /// The time that a graceful stop may take.
    pub grace: Span,
    /// Time limits for acting on changes in the store.
    pub bounds: Bounds,
    /// Limits on retries.
    pub repeats: RetrySettings,
    /// By how much the quotas of workspaces may be exceeded.
    #[serde(default)]
    pub quota: Option<QuotaSettings>,
    /// The names of the platform's rule groups that are in force at the deployment.
    #[serde(default)]
    pub rules: Vec<String>,
    /// How requests are scheduled where endpoints are short of room or differ in speed.
    #[serde(default)]
    pub scheduling: SchedulingSettings,
    /// What the instance gives to the process.
    #[serde(default)]
    pub limits: LimitSettings,
}

impl Settings {
    /// Whether requests wait in queues, and callers over their quota are promised a time to return.
    pub fn queues(&self) -> bool {
        match self.scheduling.queues {
            Switch::Auto => platform::memory_pressure(&self.rules),
            Switch::On => true,
            Switch::Off => false,
        }
    }

    /// Whether an overloaded router closes connections on which it has read nothing.
    pub fn sheds_connections(&self) -> bool {
        match self.scheduling.shedding {
            Switch::Auto => platform::callers_retry(&self.rules),
            Switch::On => true,
            Switch::Off => false,
        }
    }
}

/// How requests are scheduled where endpoints are short of room or differ in speed, or the router is overloaded.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SchedulingSettings {
    /// Whether requests wait in queues, and callers over their quota are promised a time to return; automatically where the
    /// platform's rules on memory pressure are in force.
    #[serde(default)]
    pub queues: Switch,
    /// Whether endpoints get requests by their speed; automatically where they differ in it.
    #[serde(default)]
    pub speeds: Switch,
    /// Whether an overloaded router closes connections on which it has read nothing; automatically where callers then reach another
    /// router.
    #[serde(default)]
    pub shedding: Switch,
}

/// Whether a function is used.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Switch {
    /// The router decides from what it knows of the deployment.
    #[default]
    Auto,
    /// Always.
    On,
    /// Never.
    Off,
}

/// What the instance gives to the process.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LimitSettings {
    /// The memory of the process; left out, that of the machine.
    #[serde(default)]
    pub memory: Option<Size>,
    /// The number of files and sockets that the process may have open; left out, what the operating system allows.
    #[serde(default, rename = "open-files")]
    pub open_files: Option<u64>,
}

/// Time limits for acting on changes in the store, counted from the moment at which a change was
/// stored.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// The time within which a version of the configuration must be in force.
    pub apply: Span,
    /// The time within which a draining endpoint must no longer get requests.
    pub drain: Span,
    /// The time after which a revoked key must not be served any more, even by a router that is
    /// cut off.
    #[serde(default)]
    pub revoke: Option<Span>,
}

/// Limits on retries, over all routers together.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetrySettings {
    /// Retries that are allowed for each request.
    pub ratio: f64,
    /// Retries in a window that are allowed beyond that ratio.
    pub slack: f64,
    /// The length of the window.
    pub window: Span,
}

/// By how much the quotas of workspaces may be exceeded, over all routers together.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QuotaSettings {
    /// The length of the windows in which requests are counted.
    pub window: Span,
    /// The fraction of a quota by which it may be exceeded.
    pub overshoot: f64,
    /// Units by which a quota may be exceeded in addition.
    pub slack: f64,
}

impl Default for QuotaSettings {
    /// Quotas must not be exceeded at all.
    fn default() -> Self {
        Self { window: Span(Duration::from_secs(1)), overshoot: 0.0, slack: 0.0 }
    }
}
