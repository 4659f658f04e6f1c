//! Processes that follow one log in memory.

#![allow(dead_code, reason = "each test file uses its part")]

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use edge::LogService;
use fake::{Log, Net};
use journal::{AppendError, Journal, Options};
use record::{Attach, Body};
pub(crate) use sample::claim;
use sample::id;
use state::{Applied, State};
use timeline::Recorder;
use tokio::time::{sleep, timeout};
use units::{InstanceId, Offset, Size};

pub(crate) const LIMIT: Duration = Duration::from_secs(30);
/// Longer than any test waits for something that comes.
const PATIENCE: Duration = Duration::from_secs(600);

pub(crate) fn addr(number: u16) -> SocketAddr {
    sample::addr(10_000 + number)
}

/// One process: its journal, its address, and its end.
pub(crate) struct Node {
    pub(crate) journal: Journal,
    pub(crate) addr: SocketAddr,
    pub(crate) recorder: Recorder,
    net: Net,
}

/// The platform and network that the processes share.
#[derive(Clone, Default)]
pub(crate) struct Site {
    pub(crate) log: Log,
    pub(crate) net: Net,
}

impl Site {
    pub(crate) fn node(&self, number: u16, seeds: &[u16]) -> Node {
        self.node_with(number, seeds, |_| {})
    }

    pub(crate) fn node_with(
        &self,
        number: u16,
        seeds: &[u16],
        change: impl FnOnce(&mut Options),
    ) -> Node {
        self.node_over(Arc::new(self.log.clone()), number, seeds, change)
    }

    /// A process that reaches the log in its own way.
    pub(crate) fn node_over(
        &self,
        log: Arc<dyn LogService>,
        number: u16,
        seeds: &[u16],
        change: impl FnOnce(&mut Options),
    ) -> Node {
        let instance: InstanceId = format!("likhari-{number}").parse().expect("a right id");
        let recorder = Recorder::new(instance.clone());
        let mut options = Options {
            seeds: seeds.iter().map(|seed| addr(*seed)).collect(),
            network: Arc::new(self.net.port(addr(number))),
            ..Options::default()
        };
        change(&mut options);
        let journal = journal::start(log, instance, recorder.clone(), options);
        let answerer = journal.clone();
        self.net.serve(addr(number), move |message: Bytes| {
            let journal = answerer.clone();
            async move {
                let control = serde_json::from_slice(&message).expect("a control message");
                Bytes::from(serde_json::to_vec(&journal.answer(control).await).expect("text"))
            }
        });
        Node { journal, addr: addr(number), recorder, net: self.net.clone() }
    }
}

impl Node {
    pub(crate) fn offset(&self) -> u64 {
        self.journal.read(State::offset).0
    }

    pub(crate) fn net(&self) -> Net {
        self.net.clone()
    }

    pub(crate) async fn ready(&self) {
        timeout(PATIENCE, self.journal.ready()).await.expect("it gets ready");
    }

    pub(crate) fn is_ready(&self) -> bool {
        let ready = self.journal.ready();
        let mut ready = std::pin::pin!(ready);
        let mut context = std::task::Context::from_waker(std::task::Waker::noop());
        ready.as_mut().poll(&mut context).is_ready()
    }

    pub(crate) async fn reaches(&self, offset: u64) {
        let mut changes = self.journal.changes();
        let reached = changes.wait_for(|now| *now >= Offset(offset));
        timeout(PATIENCE, reached).await.expect("it gets there").expect("the journal lives");
    }

    pub(crate) async fn append(&self, body: Body) -> Result<Applied, AppendError> {
        self.journal.append(body, LIMIT).await
    }

    pub(crate) fn text(&self) -> String {
        self.journal.read(state::to_text)
    }

    /// Ends the process: nothing answers for it and its tasks end.
    pub(crate) fn end(self) {
        self.net.remove(self.addr);
    }
}

pub(crate) fn attach(number: u16) -> Body {
    let endpoint = format!("endpoint-{number}");
    let instance = id(&format!("likhari-{number}"));
    Body::Attach(Attach {
        instance,
        memory: Size::gib(48),
        ..sample::attach(&endpoint, addr(number))
    })
}

/// Something that never happens within the time.
pub(crate) async fn pass(seconds: u64) {
    sleep(Duration::from_secs(seconds)).await;
}
