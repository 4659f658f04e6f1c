//! HTTP servers, clients and bodies on top of hyper, shared by all processes.

mod accept;
mod body;
mod budget;
mod cause;
mod channel;
mod client;
mod connector;
mod framing;
mod limit;
mod response;
mod segments;
mod server;

pub use accept::Acceptor;
pub use body::{Body, BodyError, empty, full, json, read, read_within, text};
pub use budget::{BodyBuffer, BufferFull, ByteBudget, ReservedBytes};
pub use cause::limited_cause;
pub use channel::{BodyWriter, Closed, channel, channel_within};
pub use client::{CallError, Client, is_final_status};
pub use connector::LimitedConnector;
pub use framing::{Framing, FramingError};
pub use limit::{LimitedStream, MAX_HEAD_BYTES, ReadAllowance};
pub use response::{BrokenBody, CheckedBody, CheckedResponse};
pub use segments::SegmentedBytes;
pub use server::{BindError, Listener, Protocol, ServeOptions, bind, bind_public, serve, stopped};
