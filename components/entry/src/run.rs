//! The entry's supervisor.

use process::{Process, StartError};

use crate::Settings;

/// Runs an entry until its shutdown is done.
pub async fn run(_settings: Settings, _process: Process) -> Result<(), StartError> {
    Ok(())
}
