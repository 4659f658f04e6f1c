//! Opens the listeners of a program that runs on one thread.

use std::time::Duration;

use events::{Event, emit};
use web::{BindError, Listener};

use crate::retry::retry;
use crate::{Shutdown, ShutdownPhase, StartError};

/// How long a process waits for an address. It is longer than a process takes that is asked to end, which may still have the address.
const ADDRESS_TIMEOUT: Duration = Duration::from_secs(30);

/// Opens a listener. Waits while its address is in use or not there yet, unless the process is asked to end.
pub async fn listen<F>(shutdown: &Shutdown, bind: impl FnMut() -> F) -> Result<Listener, StartError>
where
    F: Future<Output = Result<Listener, BindError>>,
{
    let report = |error: &BindError| emit(&Event::StartDelayed { cause: &error.to_string() });
    tokio::select! {
        listener = retry(ADDRESS_TIMEOUT, bind, BindError::is_temporary, report) => {
            listener.map_err(StartError::new)
        }
        () = shutdown.reached(ShutdownPhase::Drain) => {
            Err(StartError::new("the process was asked to end before it could listen"))
        }
    }
}
