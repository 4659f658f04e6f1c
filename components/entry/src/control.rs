//! Control messages: answering those of peers, and asking the other entries for the demand that they see.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use peer::Transport;
use planner::DemandLog;
use state::State;
use wire::{Control, Demand, Reply};

use crate::core::Core;

/// The shortest pause between two gatherings of demand.
const PAUSE: Duration = Duration::from_secs(1);
/// How many entries are asked within that pause; with more of them the pause is longer.
const ASKED_A_PAUSE: u32 = 20;
/// How many are asked at the same time.
const AT_ONCE: usize = 8;
/// The longest wait for a peer.
const LIMIT: Duration = Duration::from_secs(1);

/// Answers control messages; cheap to clone.
#[derive(Clone)]
pub(crate) struct Answerer {
    pub(crate) core: Arc<Core>,
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
        match control {
            Control::FetchDemand => Reply::Demand { demand: self.core.tally.take() },
            control => self.core.journal.answer(control).await,
        }
    }
}

/// Gathers the demand of all entries while this one holds the planner lease; nobody else asks, so that what
/// an entry sends does not grow with the number of entries.
pub(crate) async fn gather_demand(
    core: Arc<Core>,
    demand: DemandLog,
    peers: Vec<SocketAddr>,
    network: Arc<dyn Transport>,
) {
    let pause = PAUSE.max(PAUSE * u32::try_from(peers.len()).unwrap_or(u32::MAX) / ASKED_A_PAUSE);
    loop {
        tokio::time::sleep(pause).await;
        let holds = |state: &State| state.lease().holder.as_ref() == Some(&core.instance);
        if core.journal.read(holds) {
            demand.add(&core.tally.take());
            demand.add(&fetch_all(&network, &peers).await);
        }
    }
}

/// What the peers have seen since they were asked last; what is lost on the way is not counted.
async fn fetch_all(network: &Arc<dyn Transport>, peers: &[SocketAddr]) -> Vec<Demand> {
    let peers = stream::iter(peers.to_vec());
    let asks = peers.map(|peer| fetch(network.clone(), peer)).buffer_unordered(AT_ONCE);
    let told: Vec<Vec<Demand>> = asks.collect().await;
    told.concat()
}

async fn fetch(network: Arc<dyn Transport>, peer: SocketAddr) -> Vec<Demand> {
    let message = serde_json::to_vec(&Control::FetchDemand).unwrap_or_default();
    let answer = network.request(peer, Bytes::from(message), LIMIT).await;
    let answer = answer.inspect_err(|error| log::debug!("control: {error}"));
    match answer.ok().and_then(|text| serde_json::from_slice(&text).ok()) {
        Some(Reply::Demand { demand }) => demand,
        _ => Vec::new(),
    }
}

#[cfg(test)]
mod tests;
