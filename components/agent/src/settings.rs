//! The agent's settings file.

use std::net::SocketAddr;
use std::time::Duration;

use process::Identity;
use serde::Deserialize;
use units::{EndpointId, ModelName, ServiceName, Size, Span};

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
    /// The most bytes of answers that are kept before new requests are refused.
    #[serde(default = "default_bytes")]
    pub table_bytes: Size,
    /// How long a request is remembered beyond its deadline.
    #[serde(default = "default_grace")]
    pub grace: Span,
    /// The longest from the last news of the log that an order was based on to its effect; it bounds how long
    /// a paused agent's orders can stay under way.
    #[serde(default = "default_order")]
    pub order_limit: Span,
}

fn default_table() -> usize {
    20_000
}

fn default_bytes() -> Size {
    Size::mib(64)
}

fn default_grace() -> Span {
    Span::secs(60)
}

impl Settings {
    /// How old the news of the log may be when an order is sent; `None` where the endpoint refuses old orders.
    /// With the time that an order may take it makes up `order_limit`.
    pub(crate) fn lease(&self) -> Option<Duration> {
        (!self.fenced).then(|| self.order_limit.0 / 2)
    }

    /// What stands for the model where the endpoint is a plain service.
    pub(crate) fn service_model(&self) -> ModelName {
        let name = self.service.as_str().parse();
        name.expect("every service name is a model name")
    }
}

fn default_order() -> Span {
    Span::secs(5)
}
