//! Reads the settings file at the start, and again on SIGHUP or when the file has changed.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use events::{Event, emit};
use serde::de::DeserializeOwned;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;

use crate::retry::retry;
use crate::start::print_error;
use crate::{SettingsError, load_settings};

/// The pause between two checks of the file's modification time: the file may change without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(5);

/// How long a process waits at its start for a settings file that is not there or not whole.
const FIRST_READ_TIMEOUT: Duration = Duration::from_secs(10);

/// The settings file of a process.
pub(crate) struct SettingsFile {
    path: PathBuf,
    hangup: Signal,
    /// When the file was last changed before it was last read.
    last_modified: Option<SystemTime>,
}

impl SettingsFile {
    /// Follows a file from now on. A signal to reload it no longer ends the process.
    pub(crate) fn new(path: PathBuf) -> std::io::Result<Self> {
        let last_modified = modified_at(&path);
        Ok(Self { path, hangup: signal(SignalKind::hangup())?, last_modified })
    }

    /// Reads the file, and waits while it is not there or not whole: it may be written at this moment.
    pub(crate) async fn read<T: DeserializeOwned>(&self) -> Result<T, SettingsError> {
        let report = |error: &SettingsError| {
            print_error(format!("{error}; waiting for the file for {FIRST_READ_TIMEOUT:?}"));
        };
        let read = || std::future::ready(load_settings(&self.path));
        retry(FIRST_READ_TIMEOUT, read, SettingsError::is_temporary, report).await
    }

    /// Reloads the file until every receiver of the settings is dropped. A file that can't be read or is invalid leaves the
    /// settings as they are.
    pub(crate) async fn follow<T: DeserializeOwned>(mut self, settings: watch::Sender<Arc<T>>) {
        loop {
            let requested = tokio::select! {
                _ = self.hangup.recv() => true,
                () = tokio::time::sleep(POLL_INTERVAL) => false,
                () = settings.closed() => return,
            };
            let modified = modified_at(&self.path);
            if requested || modified != self.last_modified {
                self.last_modified = modified;
                reload(&self.path, &settings);
            }
        }
    }
}

fn reload<T: DeserializeOwned>(file: &Path, settings: &watch::Sender<Arc<T>>) {
    match load_settings(file) {
        Ok(reloaded) => {
            settings.send_replace(Arc::new(reloaded));
            emit(&Event::Reloaded { outcome: "taken" });
        }
        Err(error) => emit(&Event::Reloaded { outcome: &error.to_string() }),
    }
}

/// When the file was last changed, if it is there.
fn modified_at(file: &Path) -> Option<SystemTime> {
    std::fs::metadata(file).and_then(|data| data.modified()).ok()
}

#[cfg(test)]
mod tests;
