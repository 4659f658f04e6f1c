//! Restarts tasks that panic.

use std::any::Any;
use std::time::Duration;

use events::{Event, emit};

/// The pause before a task that panicked is started again.
const RESTART_PAUSE: Duration = Duration::from_secs(1);

/// Spawns a task, and starts it anew if it panics. A panic ends only its own task, so that the process would go on without what the
/// task does. Restarts end when the task returns.
pub fn spawn_restarting<F>(task: &'static str, start: impl Fn() -> F + Send + 'static)
where
    F: Future<Output = ()> + Send + 'static,
{
    tokio::spawn(async move {
        while let Err(error) = tokio::spawn(start()).await {
            let Ok(panic) = error.try_into_panic() else { return };
            emit(&Event::TaskPanicked { task, cause: message(&*panic) });
            tokio::time::sleep(RESTART_PAUSE).await;
        }
    });
}

/// The message of a panic; empty if its payload is no text.
fn message(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<&str>().copied();
    text.or_else(|| panic.downcast_ref::<String>().map(String::as_str)).unwrap_or_default()
}

#[cfg(test)]
mod tests;
