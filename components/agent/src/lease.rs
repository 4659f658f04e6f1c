//! How recently this process has had news of the log, which bounds what it may order.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::agent::Agent;

/// The pause between two looks.
const LOOK: Duration = Duration::from_millis(250);

/// A look that comes later than this after the one before follows a pause of the process.
const PAUSED: Duration = Duration::from_secs(1);

/// Renews the lease while the log can be read; after a pause of the process it waits for fresh news.
pub(crate) async fn keep(agent: Arc<Agent>) {
    let mut last = Instant::now();
    loop {
        tokio::time::sleep(LOOK).await;
        let now = Instant::now();
        let paused = now.saturating_duration_since(last) > PAUSED;
        last = now;
        if !paused && agent.journal.log_up() {
            agent.authority.renew(now);
        }
    }
}
