//! The fencing token: made of the position of a record that the loader appends at its start, and again when it was refused
//! for a higher one.
//!
//! Positions only grow, also when a machine is replaced, its clock steps, or the store was away in between or came back from
//! an older copy. A loader that has none yet gives no orders; its endpoint goes on serving what it holds.

use std::sync::Arc;
use std::time::Duration;

use events::{Dependency, Event, emit};
use platform::Store;
use tokio::sync::{Notify, watch};
use units::{FencingToken, StorePosition};

/// Where the records are: starts of loaders, each the name of its instance, and what they ask of the weight store.
pub(crate) const TOPIC: &str = "loader-starts";
/// The first pause after a failed append.
const PAUSE: Duration = Duration::from_millis(300);
/// The longest pause: calls are paid for.
const LONGEST: Duration = Duration::from_secs(2);

/// Writes that the loader has started, and again whenever it is told that somebody has had a higher token. `start` is where that
/// stands.
pub(crate) async fn keep(
    store: Store,
    instance: String,
    start: watch::Sender<Option<StorePosition>>,
    fenced: Arc<Notify>,
) {
    loop {
        let written = write(&store, &instance).await;
        emit(&Event::TokenAcquired { token: FencingToken::from(written).0 });
        start.send_replace(Some(written));
        fenced.notified().await;
        start.send_replace(None);
    }
}

/// Writes that the loader has started, however long that takes.
async fn write(store: &Store, instance: &str) -> StorePosition {
    let mut pause = PAUSE;
    loop {
        match store.append(TOPIC, instance.as_bytes()).await {
            Ok(start) => return start,
            Err(error) => emit(&Event::DependencyLost {
                dependency: Dependency::Fencing,
                name: "store",
                cause: &error.to_string(),
            }),
        }
        // All loaders lose the store at once, and find it back together.
        tokio::time::sleep(pause.mul_f64(rand::random_range(0.5..1.0))).await;
        pause = (pause * 2).min(LONGEST);
    }
}
