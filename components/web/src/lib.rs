//! HTTP servers and clients over hyper: the plumbing that every process needs.

mod body;
mod channel;
mod client;
mod server;

pub use body::{Body, BodyError, empty, full, json, read, text};
pub use channel::{Closed, BodyWriter, channel};
pub use client::{CallError, Client};
pub use server::{BindError, Listener, Protocol, ServeOptions, bind, serve, stopped};
