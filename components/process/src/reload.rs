//! Reloads the settings file on SIGHUP or when the file has changed.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use events::{Event, emit};
use serde::de::DeserializeOwned;
use tokio::signal::unix::Signal;
use tokio::sync::watch;

use crate::load_settings;

/// The pause between two checks of the file's modification time: the file may change without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(5);

/// Reloads the settings file until every receiver of the settings is dropped. A file that can't be read or is invalid
/// leaves the settings as they are. `last_modified` is from before the settings were read first.
pub(crate) async fn follow<T: DeserializeOwned>(
    file: PathBuf,
    mut last_modified: Option<SystemTime>,
    mut hangup: Signal,
    settings: watch::Sender<Arc<T>>,
) {
    loop {
        let requested = tokio::select! {
            _ = hangup.recv() => true,
            () = tokio::time::sleep(POLL_INTERVAL) => false,
            () = settings.closed() => return,
        };
        let modified = modified_at(&file);
        if requested || modified != last_modified {
            last_modified = modified;
            reload(&file, &settings);
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
pub(crate) fn modified_at(file: &Path) -> Option<SystemTime> {
    std::fs::metadata(file).and_then(|data| data.modified()).ok()
}

#[cfg(test)]
mod tests;
