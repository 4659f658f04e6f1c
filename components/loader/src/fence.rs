//! The fencing token of a loader: the position of a record that it appends to the store when it starts, and again when
//! the endpoint has refused an order because it has seen a higher token.
//!
//! Positions only grow, even if an instance is replaced, its clock steps, or the store was unreachable in between or
//! was restored from an older copy. A loader without a token gives no orders; its endpoint continues to serve the
//! models that it holds.

use std::sync::Arc;
use std::time::Duration;

use events::{Dependency, Event, emit};
use platform::{MAX_APPEND_QUEUE, Store};
use tokio::sync::{Notify, watch};
use units::{FencingToken, StorePosition};

/// The topic of the loaders' records: their starts, each the name of the loader's instance, and their requests for
/// permits to load from the weight store.
pub(crate) const TOPIC: &str = "loader-starts";
/// The delay after the first failed append; it doubles with each further failure.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(300);
/// The longest delay between attempts; calls to the store are paid for.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Appends a start record, and another one each time that `refused` reports a refused token. `start` has the position
/// of the newest one, or nothing while it is being appended.
pub(crate) async fn maintain_start_record(
    store: Store,
    instance: String,
    start: watch::Sender<Option<StorePosition>>,
    refused: Arc<Notify>,
) {
    loop {
        let position = append_start(&store, &instance).await;
        emit(&Event::TokenAcquired { token: FencingToken::from(position).0 });
        start.send_replace(Some(position));
        refused.notified().await;
        start.send_replace(None);
    }
}

/// Appends a start record; retries until the store accepts it. All loaders of a deployment may start at the same time, and one that
/// gave up before the store has handled its append would add another one to the queue.
async fn append_start(store: &Store, instance: &str) -> StorePosition {
    let mut delay = INITIAL_RETRY_DELAY;
    loop {
        match store.append(TOPIC, instance.as_bytes(), MAX_APPEND_QUEUE).await {
            Ok(position) => return position,
            Err(error) => emit(&Event::DependencyLost {
                dependency: Dependency::Fencing,
                name: "store",
                cause: &error.to_string(),
            }),
        }
        // All loaders lose the store at the same time and would retry together, so the delay is random.
        tokio::time::sleep(delay.mul_f64(rand::random_range(0.5..1.0))).await;
        delay = (delay * 2).min(MAX_RETRY_DELAY);
    }
}

#[cfg(test)]
mod tests;
