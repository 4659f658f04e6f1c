//! Asking and answering peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use edge::Entry;
use units::Offset;
use wire::{Control, Reply};

use crate::folded::{Shared, Source};

/// How long a peer may take to say where it is.
const POSITION_LIMIT: Duration = Duration::from_millis(700);
/// How long a peer may take to answer.
const ASK_LIMIT: Duration = Duration::from_secs(2);
/// How long a peer may take to send its whole state.
const STATE_LIMIT: Duration = Duration::from_secs(10);
/// The most bytes of records in one message.
const RECORDS_LIMIT: usize = 64 << 10;

/// The other processes that follow the same log.
#[derive(Clone)]
pub(crate) struct Peers {
    shared: Arc<Shared>,
}

impl Peers {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    async fn ask(&self, addr: SocketAddr, control: &Control, limit: Duration) -> Option<Reply> {
        let message = Bytes::from(serde_json::to_vec(control).ok()?);
        let answer = self.shared.options.network.request(addr, message, limit).await;
        let answer = answer.inspect_err(|error| log::debug!("journal: {error}")).ok()?;
        serde_json::from_slice(&answer).ok()
    }

    /// The newest offset that a peer has applied.
    pub(crate) async fn position(&self, addr: SocketAddr) -> Option<Offset> {
        let heartbeat = Control::Heartbeat {
            from: self.shared.instance.clone(),
            applied: self.shared.offset(),
            tick: self.shared.recorder.clock().tick(),
        };
        self.placed(addr, &heartbeat, POSITION_LIMIT).await
    }

    async fn placed(&self, addr: SocketAddr, control: &Control, limit: Duration) -> Option<Offset> {
        match self.ask(addr, control, limit).await? {
            Reply::Position { applied, tick, .. } => {
                self.shared.recorder.clock().observe(tick);
                Some(applied)
            }
            _ => None,
        }
    }

    /// Fetches what a peer has and this process misses; says whether it got all up to `target`.
    pub(crate) async fn fetch(&self, addr: SocketAddr, target: Offset) -> bool {
        while self.shared.offset() < target {
            let before = self.shared.offset();
            // The last folded record comes again, to see that both follow the same log.
            let from = before.max(Offset(1));
            let Some(Reply::Records { records }) =
                self.ask(addr, &Control::Fetch { from }, ASK_LIMIT).await
            else {
                return false;
            };
            if records.is_empty() {
                return self.fetch_state(addr).await && self.shared.offset() >= target;
            }
            self.take(records);
            if self.shared.offset() == before {
                return false;
            }
        }
        true
    }

    /// Takes over a peer's state if it is newer.
    pub(crate) async fn fetch_state(&self, addr: SocketAddr) -> bool {
        match self.ask(addr, &Control::FetchState, STATE_LIMIT).await {
            Some(Reply::State { upto, data }) => self.take_state(upto, &data),
            _ => false,
        }
    }

    /// Gives a peer what it misses, and before that the newest record that it has.
    pub(crate) async fn offer(&self, addr: SocketAddr, theirs: Offset) {
        let records = self.shared.kept(theirs.max(Offset(1)), RECORDS_LIMIT);
        if !records.is_empty() {
            self.placed(addr, &Control::Offer { records }, ASK_LIMIT).await;
        }
    }

    /// Gives a peer the whole state.
    pub(crate) async fn offer_state(&self, addr: SocketAddr) {
        let (upto, data) = self.shared.text();
        let offer = Control::OfferState { upto, data: data.to_string() };
        if let Some(reached) = self.placed(addr, &offer, STATE_LIMIT).await {
            log::info!(
                "journal: gave the state to the peer at {addr}, which is at offset {reached}"
            );
        }
    }

    pub(crate) fn answer(&self, control: Control) -> Reply {
        match control {
            Control::Heartbeat { tick, .. } => {
                self.shared.recorder.clock().observe(tick);
                self.here()
            }
            Control::Fetch { from } => {
                Reply::Records { records: self.shared.kept(from, RECORDS_LIMIT) }
            }
            Control::FetchState => {
                let (upto, data) = self.shared.text();
                Reply::State { upto, data: data.to_string() }
            }
            Control::Offer { records } => {
                self.take(records);
                self.here()
            }
            Control::OfferState { upto, data } => {
                if !*self.shared.ready.borrow() {
                    self.take_state(upto, &data);
                }
                self.here()
            }
            Control::Wake { .. } | Control::Leaving { .. } | Control::FetchDemand => Reply::Unknown,
        }
    }

    fn here(&self) -> Reply {
        Reply::Position {
            applied: self.shared.offset(),
            tick: self.shared.recorder.clock().tick(),
            from: Some(self.shared.instance.clone()),
        }
    }

    fn take(&self, records: Vec<(Offset, String)>) {
        let entry = |(offset, text): (Offset, String)| Entry { offset, data: text.into() };
        let entries: Vec<Entry> = records.into_iter().map(entry).collect();
        if let Err(fork) = self.shared.fold(&entries, Source::Peer) {
            log::error!("journal: a peer has another record at offset {}", fork.0);
        }
    }

    fn take_state(&self, upto: Offset, data: &str) -> bool {
        match state::from_text(data) {
            Ok(state) if state.offset() == upto => self.shared.adopt(state),
            Ok(_) => false,
            Err(error) => {
                log::warn!("journal: a peer's state can't be taken over: {error}");
                false
            }
        }
    }
}
