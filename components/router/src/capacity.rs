//! How many connections and bodies of callers the instance has room for.

use admission::BodyMemory;
use process::MachineLimits;

use crate::settings::LimitSettings;

/// The part of the memory for the bodies and the connections of callers.
const INTAKE_MEMORY_SHARE: f64 = 17.0 / 30.0;
/// The part of the memory for bodies, unless one body needs more.
const BODY_MEMORY_SHARE: f64 = 1.0 / 6.0;
/// The largest part of the memory for bodies.
const MAX_BODY_MEMORY_SHARE: f64 = 0.4;
/// What may arrive on a connection before it is read, in bytes.
pub(crate) const RECEIVE_BUFFER_BYTES: u32 = 64 << 10;
/// What a connection needs, in bytes: the head of its request, buffers, the state of the request, and what has arrived and is not read
/// yet. Hardly any needs all of them at once.
const CONNECTION_BYTES: u64 = 96 << 10;
/// Descriptors for everything but sockets.
const FILE_DESCRIPTORS: u64 = 200;
/// A caller's connection may need another one to an endpoint.
const DESCRIPTORS_PER_CONNECTION: u64 = 2;
/// The fewest connections of callers that are kept, however little the instance has.
const MIN_CONNECTIONS: usize = 16;

/// What the requests of callers may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct IntakeCapacity {
    /// The memory for bodies, in bytes.
    pub(crate) body_bytes: usize,
    /// The number of open connections.
    pub(crate) connections: usize,
}

impl IntakeCapacity {
    /// The largest body that fits, in bytes.
    pub(crate) fn largest_body(self) -> usize {
        BodyMemory::largest_body(self.body_bytes)
    }

    /// What fits the instance, where a body may have this size, in bytes; the settings go before what the machine reports.
    pub(crate) fn new(settings: LimitSettings, machine: MachineLimits, max_body: usize) -> Self {
        let memory = settings.memory.map(|size| size.0).filter(|bytes| *bytes > 0);
        let memory = memory.unwrap_or(machine.memory_bytes);
        let files = settings.open_files.unwrap_or(machine.open_files);
        let share = |share: f64| (memory as f64 * share) as u64;
        let one_body = u64::try_from(BodyMemory::capacity_for(max_body)).unwrap_or(u64::MAX);
        let body_bytes = one_body.clamp(share(BODY_MEMORY_SHARE), share(MAX_BODY_MEMORY_SHARE));
        let by_memory = (share(INTAKE_MEMORY_SHARE) - body_bytes) / CONNECTION_BYTES;
        let by_files = files.saturating_sub(FILE_DESCRIPTORS) / DESCRIPTORS_PER_CONNECTION;
        let connections = usize::try_from(by_memory.min(by_files)).unwrap_or(usize::MAX);
        Self {
            body_bytes: usize::try_from(body_bytes).unwrap_or(usize::MAX),
            connections: connections.max(MIN_CONNECTIONS),
        }
    }
}

#[cfg(test)]
mod tests;
