//! Writes snapshots of the folded state, so that the state survives when old records of the log expire.

use std::time::Duration;

use journal::AppendError;
use tokio::time::sleep;

use crate::run::Shared;

/// How often the loop checks whether a snapshot is due.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// How long writing a snapshot may take, until this process has read it back from the log.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(30);

/// Writes a snapshot whenever one is due and this process holds the lease. Returns when the journal closes.
pub(crate) async fn write_snapshots(shared: &Shared) {
    loop {
        if shared.appendable_epoch().is_some() && shared.journal.snapshot_due() {
            match shared.journal.append_snapshot(SNAPSHOT_TIMEOUT).await {
                Ok(_) => metrics::counter!("planner_snapshots_total").increment(1),
                Err(AppendError::Closed) => return,
                Err(error) => log::warn!("planner: failed to write a snapshot: {error}"),
            }
        }
        sleep(CHECK_INTERVAL).await;
    }
}
