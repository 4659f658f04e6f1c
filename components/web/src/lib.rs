//! HTTP servers and clients over hyper: the plumbing that every process needs.

mod body;
mod client;
mod server;

pub use body::{Body, ReadError, channel, empty, full, json, read, text};
pub use client::{CallError, Client};
pub use server::{BindError, Listener, Protocol, ServeOptions, bind, serve};
