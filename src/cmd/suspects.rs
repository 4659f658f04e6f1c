//! `hyssopctl suspects` and `hyssopctl release`.

use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use control::{RELEASE_PATH, ReleaseRequest, SUSPECTS_PATH, Suspect};
use quarantine::{Digest, SuspectKind};
use web::Client;

use crate::error::{CmdError, Exit};

/// A router answers within some tens of milliseconds.
const PATIENCE: Duration = Duration::from_secs(2);

/// Shows the requests, and the parts of prompts, that a router refuses, since they crash endpoints.
pub(crate) async fn list(router: SocketAddr, out: &mut dyn Write) -> Result<Exit, CmdError> {
    let client = Client::default();
    let suspects: Vec<Suspect> = client.get(router, SUSPECTS_PATH, PATIENCE).await?;
    writeln!(out, "suspects: {}", suspects.len())?;
    for suspect in &suspects {
        let kind = match suspect.kind {
            SuspectKind::Request => "request",
            SuspectKind::Part => "part of prompts",
        };
        writeln!(out, "  {} ({kind})", suspect.digest)?;
        for end in &suspect.crashes {
            let life = end.incarnation.map_or("unknown".to_owned(), |life| life.to_string());
            writeln!(out, "    endpoint {} ended, life {life}, at {} ms", end.endpoint, end.at)?;
        }
    }
    Ok(Exit::Done)
}

/// Lets one of them go, at all routers.
pub(crate) async fn release(
    router: SocketAddr,
    digest: Digest,
    out: &mut dyn Write,
) -> Result<Exit, CmdError> {
    let let_go = ReleaseRequest { digest };
    let _: ReleaseRequest = Client::default().post(router, RELEASE_PATH, &let_go, PATIENCE).await?;
    writeln!(out, "{digest} is served again")?;
    Ok(Exit::Done)
}

#[cfg(test)]
mod tests;
