//! Control messages between processes over nng's request/reply sockets.
//!
//! nng resends a request by itself when a connection is lost, so every message sent here must be idempotent.

mod client;
mod operation;
mod server;

pub use client::{Client, PeerError, Transport};
pub use server::{Listener, ServeError, listen, serve};
