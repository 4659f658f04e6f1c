//! Reads the settings file again, on SIGHUP or when it has changed.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use events::{Event, emit};
use serde::de::DeserializeOwned;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use crate::load_settings;

/// How often the file is looked at: it may change without a signal.
const PACE: Duration = Duration::from_secs(5);

/// Follows the settings file for as long as somebody reads the settings. A file that can't be read changes nothing.
pub(crate) async fn follow<T: DeserializeOwned>(
    file: PathBuf,
    settings: watch::Sender<Arc<T>>,
) -> std::io::Result<()> {
    let mut hangup = signal(SignalKind::hangup())?;
    let mut seen = changed(&file);
    loop {
        let asked = tokio::select! {
            _ = hangup.recv() => true,
            () = tokio::time::sleep(PACE) => false,
            () = settings.closed() => return Ok(()),
        };
        let now = changed(&file);
        if asked || now != seen {
            seen = now;
            read(&file, &settings);
        }
    }
}

fn read<T: DeserializeOwned>(file: &Path, settings: &watch::Sender<Arc<T>>) {
    match load_settings(file) {
        Ok(fresh) => {
            settings.send_replace(Arc::new(fresh));
            emit(&Event::Reloaded { outcome: "taken" });
        }
        Err(error) => emit(&Event::Reloaded { outcome: &error.to_string() }),
    }
}

fn changed(file: &Path) -> Option<SystemTime> {
    std::fs::metadata(file).and_then(|data| data.modified()).ok()
}

#[cfg(test)]
mod tests;
