//! One process's connection to the log, which can be blocked: its calls then wait until it is open again.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use edge::{LogError, LogService, Page, Stream};
use fake::Log;
use tokio::sync::watch;
use units::Offset;

/// A connection to the log that can be blocked. Clones share one state.
#[derive(Clone)]
pub(crate) struct Gate {
    log: Log,
    reads: watch::Sender<bool>,
    appends: watch::Sender<bool>,
}

/// Waits until the gate is open.
async fn wait_until_open(shut: &watch::Sender<bool>) {
    // The channel cannot close while its sender is borrowed.
    let mut shut = shut.subscribe();
    let _open = shut.wait_for(|shut| !shut).await;
}

impl Gate {
    pub(crate) fn new(log: Log) -> Self {
        Self { log, reads: watch::Sender::new(false), appends: watch::Sender::new(false) }
    }

    pub(crate) fn shut_reads(&self, shut: bool) {
        self.reads.send_replace(shut);
    }

    pub(crate) fn shut_appends(&self, shut: bool) {
        self.appends.send_replace(shut);
    }
}

#[async_trait]
impl LogService for Gate {
    async fn append(&self, stream: Stream, records: Vec<Bytes>) -> Result<Offset, LogError> {
        wait_until_open(&self.appends).await;
        self.log.append(stream, records).await
    }

    async fn read(&self, stream: Stream, from: Offset, wait: Duration) -> Result<Page, LogError> {
        wait_until_open(&self.reads).await;
        let page = self.log.read(stream, from, wait).await;
        wait_until_open(&self.reads).await;
        page
    }
}
