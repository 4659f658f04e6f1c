//! Graceful shutdown on the first signal, a faster one on the second.

use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// How far a shutdown has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// Running.
    Run,
    /// The first signal: take no new work, finish what is in flight.
    Drain,
    /// The second signal: end what is in flight with true outcomes, now.
    Force,
}

/// Tells the tasks of a process how far its shutdown has come; cheap to clone.
#[derive(Debug, Clone)]
pub struct Shutdown {
    phase: watch::Receiver<ShutdownPhase>,
}

impl Shutdown {
    /// A shutdown driven by a sender, for tests and for roles within a process.
    pub fn manual() -> (watch::Sender<ShutdownPhase>, Self) {
        let (sender, phase) = watch::channel(ShutdownPhase::Run);
        (sender, Self { phase })
    }

    /// A shutdown driven by SIGTERM and SIGINT.
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

    /// The phase now.
    pub fn phase(&self) -> ShutdownPhase {
        *self.phase.borrow()
    }

    /// Waits until the shutdown has come this far; a dropped sender counts as `Force`.
    pub async fn reached(&self, phase: ShutdownPhase) {
        let mut seen = self.phase.clone();
        let _ = seen.wait_for(|now| *now >= phase).await;
    }

    /// A signal for servers: true once the shutdown has come this far.
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
