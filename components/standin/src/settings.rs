//! The settings file of the stand-in program.

use std::net::SocketAddr;

use process::Identity;
use serde::Deserialize;

use crate::{EngineSettings, ListSettings, LogSettings, ServiceSettings, StoreSettings};

/// The settings of one stand-in.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Who the process is.
    pub identity: Identity,
    /// Where it serves.
    pub address: SocketAddr,
    /// What it stands in for.
    pub role: Role,
}

/// What a stand-in stands in for.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// The append-only log service.
    Log(LogSettings),
    /// The instance list.
    List(ListSettings),
    /// The weight store.
    Store(StoreSettings),
    /// A model engine.
    Engine(Box<EngineSettings>),
    /// A plain service.
    Service(ServiceSettings),
}
