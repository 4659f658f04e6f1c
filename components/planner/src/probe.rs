//! Probes an agent at its control address, before an absence from the platform's list is taken for a loss.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use units::{InstanceId, Offset};
use wire::{Control, Reply};

use crate::run::Shared;

/// How long an agent may take to answer a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Whether an instance answers a heartbeat at its control address. An answer from another instance that has taken over
/// the address does not count.
pub(crate) async fn answers_heartbeat(
    shared: &Shared,
    instance: &InstanceId,
    control: SocketAddr,
) -> bool {
    let heartbeat = Control::Heartbeat {
        from: shared.instance.clone(),
        applied: Offset(0),
        tick: shared.recorder.clock().tick(),
    };
    let Ok(message) = serde_json::to_vec(&heartbeat) else { return false };
    let answer = shared.options.network.request(control, Bytes::from(message), PROBE_TIMEOUT).await;
    let reply = answer.ok().and_then(|bytes| serde_json::from_slice(&bytes).ok());
    match reply {
        Some(Reply::Position { from: Some(from), .. }) => from == *instance,
        Some(Reply::Position { from: None, .. }) => true,
        _ => false,
    }
}
