//! The agent's settings file.

use std::net::SocketAddr;

use process::Identity;
use serde::Deserialize;
use units::{EndpointId, ServiceName, Size, Span};

/// What the endpoint is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// The agent's settings.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Who the process is.
    pub identity: Identity,
    /// The endpoint it has charge of.
    pub endpoint: EndpointId,
    /// What the endpoint is.
    pub kind: EndpointKind,
    /// The platform's service the endpoint belongs to.
    pub service: ServiceName,
    /// The endpoint's address.
    pub address: SocketAddr,
    /// Whether the endpoint refuses orders with an old fencing number.
    pub fenced: bool,
    /// The accelerator memory of the endpoint.
    pub memory: Size,
    /// Where the agent takes requests from entries.
    pub dispatch: SocketAddr,
    /// Where the agent takes control messages.
    pub control: SocketAddr,
    /// Control addresses of some entries.
    pub seeds: Vec<SocketAddr>,
    /// The log service.
    pub log: SocketAddr,
    /// The instance list.
    pub list: SocketAddr,
    /// The most requests that the table remembers.
    #[serde(default = "default_table")]
    pub table: usize,
    /// The longest that an order to the endpoint can stay under way.
    #[serde(default = "default_order")]
    pub order_limit: Span,
}

fn default_table() -> usize {
    20_000
}

fn default_order() -> Span {
    Span::secs(5)
}
