//! `hyssopctl limits`.

use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use control::{EndpointRateLimit, LIMITS_PATH};
use web::Client;

use crate::error::{CmdError, Exit};

/// A router answers within some tens of milliseconds.
const PATIENCE: Duration = Duration::from_secs(2);

/// Shows the endpoints that announce rate limits, as a router knows them.
pub(crate) async fn list(router: SocketAddr, out: &mut dyn Write) -> Result<Exit, CmdError> {
    let client = Client::default();
    let limits: Vec<EndpointRateLimit> = client.get(router, LIMITS_PATH, PATIENCE).await?;
    writeln!(out, "endpoints with rate limits: {}", limits.len())?;
    for limit in &limits {
        show(limit, out)?;
    }
    Ok(Exit::Done)
}

fn show(limit: &EndpointRateLimit, out: &mut dyn Write) -> std::io::Result<()> {
    let EndpointRateLimit { endpoint, limit, pause_ms } = limit;
    write!(out, "  {endpoint}: {limit} from all routers")?;
    match pause_ms {
        0 => writeln!(out),
        pause => writeln!(out, "; none from this one for {pause} ms"),
    }
}

#[cfg(test)]
mod tests;
