//! Control messages: answering those of peers, and telling the other entries the demand seen here.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use journal::Journal;
use planner::DemandLog;
use timeline::Recorder;
use wire::{Control, Reply};

use crate::core::Core;

/// The pause between two tellings of demand.
const PAUSE: Duration = Duration::from_secs(1);
/// The longest wait for a peer.
const LIMIT: Duration = Duration::from_secs(1);

/// Answers control messages; cheap to clone.
#[derive(Clone)]
pub(crate) struct Answerer {
    pub(crate) journal: Journal,
    pub(crate) demand: DemandLog,
    pub(crate) recorder: Recorder,
}

impl Answerer {
    /// Answers one message.
    pub(crate) async fn answer(self, message: Bytes) -> Bytes {
        let reply = match serde_json::from_slice::<Control>(&message) {
            Ok(control) => self.reply(control).await,
            Err(error) => {
                log::warn!("control: a message can't be read: {error}");
                Reply::Unknown
            }
        };
        serde_json::to_vec(&reply).unwrap_or_default().into()
    }

    async fn reply(&self, control: Control) -> Reply {
        if let Control::Heartbeat { demand, tick, .. } = &control {
            self.recorder.clock().observe(*tick);
            self.demand.add(demand);
        }
        self.journal.answer(control).await
    }
}

/// Counts this entry's demand here and tells it to the other entries, any of which may be the planner.
pub(crate) async fn spread_demand(core: Arc<Core>, demand: DemandLog, peers: Vec<SocketAddr>) {
    let client = peer::Client::default();
    loop {
        tokio::time::sleep(PAUSE).await;
        let seen = core.tally.take();
        if seen.is_empty() {
            continue;
        }
        demand.add(&seen);
        let heartbeat = Control::Heartbeat {
            from: core.instance.clone(),
            applied: core.journal.read(state::State::offset),
            tick: core.recorder.clock().tick(),
            demand: seen,
        };
        let message = Bytes::from(serde_json::to_vec(&heartbeat).unwrap_or_default());
        for peer in &peers {
            tell(client.clone(), *peer, message.clone(), core.recorder.clone());
        }
    }
}

fn tell(client: peer::Client, peer: SocketAddr, message: Bytes, recorder: Recorder) {
    tokio::spawn(async move {
        match client.ask(peer, message, LIMIT).await {
            Ok(reply) => {
                if let Ok(Reply::Position { tick, .. }) = serde_json::from_slice(&reply) {
                    recorder.clock().observe(tick);
                }
            }
            Err(error) => log::debug!("control: {error}"),
        }
    });
}
