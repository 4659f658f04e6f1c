//! The agent's supervisor.

use process::{Process, StartError};

use crate::Settings;

/// Runs an agent until its shutdown is done.
pub async fn run(_settings: Settings, _process: Process) -> Result<(), StartError> {
    Ok(())
}
