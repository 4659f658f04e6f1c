//! Stand-ins of the users' platform for the cases of the independent review, and the project's own programs as processes.

pub mod client;
pub mod http;
pub mod plain;
pub mod record;
pub mod server;
pub mod site;
pub mod store;
