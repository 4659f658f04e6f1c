//! One process's way to the log, which can be shut: what it asks then waits until the gate opens again.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use edge::{LogError, LogService, Page, Stream};
use fake::Log;
use tokio::sync::watch;
use units::Offset;

/// A way to the log; clones share it.
#[derive(Clone)]
pub(crate) struct Gate {
    log: Log,
    reads: watch::Sender<bool>,
    appends: watch::Sender<bool>,
}

async fn open(shut: &watch::Sender<bool>) {
    // The sender is borrowed, so the channel is open.
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
        open(&self.appends).await;
        self.log.append(stream, records).await
    }

    async fn read(&self, stream: Stream, from: Offset, wait: Duration) -> Result<Page, LogError> {
        open(&self.reads).await;
        let page = self.log.read(stream, from, wait).await;
        open(&self.reads).await;
        page
    }
}
