//! The settings of a model engine.

use std::net::SocketAddr;

use edge::CacheTier;
use serde::Deserialize;
use units::{ModelName, Size, Span};

/// The settings of a model engine.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineSettings {
    /// Accelerator memory in all.
    pub memory: Size,
    /// Whether orders with an old fencing number are refused.
    pub fenced: bool,
    /// The weight store; without it a fetch takes `remote_load`.
    pub store: Option<SocketAddr>,
    /// Checkpoints that are cached at the start.
    pub cached: Vec<(ModelName, CacheTier)>,
    /// How many checkpoints main memory keeps.
    pub memory_kept: usize,
    /// How many checkpoints the disk keeps.
    pub disk_kept: usize,
    /// Time to load a GiB from main memory; also after a fetch.
    pub memory_load: Span,
    /// Time to load a GiB from disk.
    pub disk_load: Span,
    /// Time to fetch a GiB when there is no store.
    pub remote_load: Span,
    /// Time to load an adapter.
    pub adapter_load: Span,
    /// Time to unload a model or an adapter.
    pub unload: Span,
    /// How many requests one replica runs at the same time.
    pub slots: u32,
    /// Time from a request's start to its first token.
    pub first_token: Span,
    /// Time between tokens of a request that is alone.
    pub token: Span,
    /// How much longer tokens take for each other request that runs, as a share.
    pub crowding: f64,
    /// The part of `first_token` that a cached prefix takes.
    pub hit: f64,
    /// How many prompt prefixes are cached.
    pub prefixes: usize,
    /// How late cache events are told.
    pub cache_lag: Span,
    /// How old the usage report is.
    pub usage_lag: Span,
    /// How many requests are remembered for a resume.
    pub kept: usize,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            memory: Size::gib(40),
            fenced: true,
            store: None,
            cached: Vec::new(),
            memory_kept: 2,
            disk_kept: 16,
            memory_load: Span::millis(62),
            disk_load: Span::millis(187),
            remote_load: Span::millis(312),
            adapter_load: Span::millis(100),
            unload: Span::millis(100),
            slots: 8,
            first_token: Span::millis(50),
            token: Span::millis(20),
            crowding: 0.02,
            hit: 0.3,
            prefixes: 256,
            cache_lag: Span::millis(500),
            usage_lag: Span::millis(500),
            kept: 10_000,
        }
    }
}
