//! Graceful shutdown on the first signal, forced shutdown on the second.

use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// The phase of a process's shutdown, in the order in which they follow each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// The process runs; no shutdown was requested.
    Run,
    /// After the first signal: accept no new work and finish the requests in flight.
    Drain,
    /// After the second signal: end the requests in flight at once, each with an outcome that is true.
    Force,
}

/// Tells the tasks of a process which phase its shutdown has reached; cheap to clone.
#[derive(Debug, Clone)]
pub struct Shutdown {
    phase: watch::Receiver<ShutdownPhase>,
}

impl Shutdown {
    /// A shutdown whose phase is set through the returned sender, for tests and for roles within a process.
    pub fn manual() -> (watch::Sender<ShutdownPhase>, Self) {
        let (sender, phase) = watch::channel(ShutdownPhase::Run);
        (sender, Self { phase })
    }

    /// A shutdown that SIGTERM and SIGINT advance.
    pub fn on_signals() -> std::io::Result<Self> {
        let mut term = signal(SignalKind::terminate())?;
        let mut int = signal(SignalKind::interrupt())?;
        let (sender, shutdown) = Self::manual();
        tokio::spawn(async move {
            for phase in [ShutdownPhase::Drain, ShutdownPhase::Force] {
                tokio::select! {
                    _ = term.recv() => {}
                    _ = int.recv() => {}
                }
                if sender.send(phase).is_err() {
                    return;
                }
            }
            sender.closed().await;
        });
        Ok(shutdown)
    }

    /// The current phase.
    pub fn phase(&self) -> ShutdownPhase {
        *self.phase.borrow()
    }

    /// Waits until the shutdown has reached this phase or a later one; a dropped sender counts as `Force`.
    pub async fn reached(&self, phase: ShutdownPhase) {
        let mut current = self.phase.clone();
        let _ = current.wait_for(|current| *current >= phase).await;
    }

    /// A stop signal for servers: turns true once the shutdown has reached this phase.
    pub fn flag(&self, phase: ShutdownPhase) -> watch::Receiver<bool> {
        let (sender, flag) = watch::channel(false);
        let shutdown = self.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = shutdown.reached(phase) => { let _ = sender.send(true); }
                () = sender.closed() => {}
            }
        });
        flag
    }
}

#[cfg(test)]
mod tests;
