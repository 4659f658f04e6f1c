//! Asking an agent itself whether it lives, before the platform's list is believed.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use peer::Client;
use timeline::Recorder;
use units::{InstanceId, Offset};
use wire::{Control, Reply};

/// Asks agents whether they live.
#[async_trait]
pub trait Probe: Send + Sync {
    /// Whether a process answers at a control address.
    async fn answers(&self, control: SocketAddr) -> bool;
}

/// Asks with a heartbeat over the control socket.
pub struct PeerProbe {
    client: Client,
    instance: InstanceId,
    recorder: Recorder,
    limit: Duration,
}

impl PeerProbe {
    /// A probe that waits for an answer up to `limit`.
    pub fn new(instance: InstanceId, recorder: Recorder, limit: Duration) -> Self {
        Self { client: Client::default(), instance, recorder, limit }
    }
}

#[async_trait]
impl Probe for PeerProbe {
    async fn answers(&self, control: SocketAddr) -> bool {
        let heartbeat = Control::Heartbeat {
            from: self.instance.clone(),
            applied: Offset(0),
            tick: self.recorder.clock().tick(),
            demand: Vec::new(),
        };
        let message = serde_json::to_vec(&heartbeat).unwrap_or_default();
        let answer = self.client.ask(control, Bytes::from(message), self.limit).await;
        let reply = answer.ok().and_then(|bytes| serde_json::from_slice(&bytes).ok());
        matches!(reply, Some(Reply::Position { .. }))
    }
}
