//! `hyssopctl workspaces`.

use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use control::{WORKSPACES_PATH, WorkspaceReport, WorkspacesReport};
use web::Client;

use crate::error::{CmdError, Exit};

/// A router answers within some tens of milliseconds.
const PATIENCE: Duration = Duration::from_secs(2);

/// Shows workspaces with keys, limits and use at a router, and the keys that it refused of late.
pub(crate) async fn list(router: SocketAddr, out: &mut dyn Write) -> Result<Exit, CmdError> {
    let client = Client::default();
    let report: WorkspacesReport = client.get(router, WORKSPACES_PATH, PATIENCE).await?;
    let age = report.age_ms.map_or("never read".to_owned(), |age| format!("proved {age} ms ago"));
    let serves = if report.serves { "keys are served" } else { "no key is served" };
    writeln!(out, "configuration {}, {age}: {serves}", report.version)?;
    match report.shares {
        0 => writeln!(out, "no share in limits yet")?,
        shares => writeln!(out, "one of {shares} equal shares in each limit")?,
    }
    for workspace in &report.workspaces {
        show(workspace, out)?;
    }
    for denied in &report.denied {
        let key = if denied.key.is_empty() { "none" } else { &denied.key };
        writeln!(out, "refused {} times: key {key}, {}", denied.count, denied.cause)?;
    }
    Ok(Exit::Done)
}

fn show(workspace: &WorkspaceReport, out: &mut dyn Write) -> std::io::Result<()> {
    let keys = workspace.keys.join(", ");
    writeln!(out, "{}: keys {keys}", workspace.name)?;
    match workspace.limit {
        None => writeln!(out, "  no limit"),
        Some(limit) => {
            write!(
                out,
                "  limit {:.0} a second and {:.0} at once, over all routers; here {:.0} a second, {:.0} left, {} refused",
                limit.rate, limit.burst, workspace.rate, workspace.left, workspace.refused
            )?;
            if workspace.promised > 0.0 {
                write!(out, ", {:.0} promised", workspace.promised)?;
            }
            writeln!(out)
        }
    }
}

#[cfg(test)]
mod tests;
