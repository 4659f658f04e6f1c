//! Writing snapshots of the folded state in time, so that no record is lost when old ones expire.

use std::time::Duration;

use journal::AppendError;
use tokio::time::sleep;

use crate::run::Shared;

/// The pause between two looks at whether a snapshot is due.
const LOOK: Duration = Duration::from_secs(5);
/// How long a snapshot may take until it is read back.
const LIMIT: Duration = Duration::from_secs(30);

/// Writes a snapshot whenever one is due while the lease is held; ends with the journal.
pub(crate) async fn write(shared: &Shared) {
    loop {
        if shared.may_append().is_some() && shared.journal.snapshot_due() {
            match shared.journal.append_snapshot(LIMIT).await {
                Ok(_) => metrics::counter!("planner_snapshots_total").increment(1),
                Err(AppendError::Closed) => return,
                Err(error) => log::warn!("planner: no snapshot: {error}"),
            }
        }
        sleep(LOOK).await;
    }
}
