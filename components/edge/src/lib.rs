//! Edges to the platform: the log service, the instance list, engines and services.
//!
//! Each edge has a trait and one small module that knows the wire format; the rest of the system sees
//! only the types here.

mod cache;
mod endpoint;
mod http_endpoint;
mod http_list;
mod http_log;
mod link;
mod list;
mod log_service;
mod streaming;

pub use cache::{CacheChange, CacheEvent, CacheEvents, PrefixHash};
pub use endpoint::{
    CacheTier, Endpoint, EndpointError, Inventory, Loaded, Order, OrderKind, ReplicaPhase, Usage,
};
pub use http_endpoint::{HttpEndpoint, PRIORITY_HEADER, REQUEST_HEADER, SeenBody};
pub use http_list::{HttpList, InstancesBody};
pub use http_log::{AppendBody, FirstBody, HttpLog, PageBody, RecordBody};
pub use list::{Instance, InstanceList, InstanceState, ListError};
pub use log_service::{Entry, LogError, LogService, Page, Stream};
