//! Asking an agent itself whether it lives, before the platform's list is believed.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use units::Offset;
use wire::{Control, Reply};

use crate::run::Shared;

/// How long an agent may take to answer.
const LIMIT: Duration = Duration::from_secs(1);

/// Whether a process answers a heartbeat at a control address.
pub(crate) async fn answers(shared: &Shared, control: SocketAddr) -> bool {
    let heartbeat = Control::Heartbeat {
        from: shared.instance.clone(),
        applied: Offset(0),
        tick: shared.recorder.clock().tick(),
        demand: Vec::new(),
    };
    let Ok(message) = serde_json::to_vec(&heartbeat) else { return false };
    let answer = shared.options.network.ask(control, Bytes::from(message), LIMIT).await;
    let reply = answer.ok().and_then(|bytes| serde_json::from_slice(&bytes).ok());
    matches!(reply, Some(Reply::Position { .. }))
}
