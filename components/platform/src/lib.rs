//! Edges to the platform: the log service, the instance list, engines and services.
//!
//! Each edge has a trait and one small module that knows the wire format; the rest of the system sees
//! only the types here.

mod endpoint;
mod list;
mod log_service;

pub use endpoint::{
    CacheTier, Endpoint, EndpointError, Inventory, Loaded, Order, OrderKind, ReplicaPhase, Usage,
};
pub use list::{Instance, InstanceList, InstanceState, ListError};
pub use log_service::{Entry, LogError, LogService, Page, Stream};
