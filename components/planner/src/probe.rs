//! Asking an agent itself whether it lives, before the platform's list is believed.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use units::{InstanceId, Offset};
use wire::{Control, Reply};

use crate::run::Shared;

/// How long an agent may take to answer.
const LIMIT: Duration = Duration::from_secs(1);

/// Whether an instance answers a heartbeat at its control address. Another instance that has taken the
/// address over proves nothing of the one before.
pub(crate) async fn answers(shared: &Shared, instance: &InstanceId, control: SocketAddr) -> bool {
    let heartbeat = Control::Heartbeat {
        from: shared.instance.clone(),
        applied: Offset(0),
        tick: shared.recorder.clock().tick(),
    };
    let Ok(message) = serde_json::to_vec(&heartbeat) else { return false };
    let answer = shared.options.network.request(control, Bytes::from(message), LIMIT).await;
    let reply = answer.ok().and_then(|bytes| serde_json::from_slice(&bytes).ok());
    match reply {
        Some(Reply::Position { from: Some(from), .. }) => from == *instance,
        Some(Reply::Position { from: None, .. }) => true,
        _ => false,
    }
}
