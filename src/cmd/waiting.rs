//! `hyssopctl waiting`.

use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use control::{QueueReport, WAITING_PATH, WaitingReport, WorkspaceCounter};
use web::Client;

use crate::error::{CmdError, Exit};

/// A router answers within some tens of milliseconds.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Shows the requests that wait for models at a router, and the tokens that workspaces were served lately.
pub(crate) async fn list(router: SocketAddr, out: &mut dyn Write) -> Result<Exit, CmdError> {
    let client = Client::default();
    let report: WaitingReport = client.get(router, WAITING_PATH, TIMEOUT).await?;
    show(&report, out)?;
    Ok(Exit::Done)
}

fn show(report: &WaitingReport, out: &mut dyn Write) -> std::io::Result<()> {
    writeln!(out, "queues: {}", report.queues.len())?;
    for queue in &report.queues {
        show_queue(queue, out)?;
    }
    writeln!(out, "tokens served lately, by workspace: {}", report.counters.len())?;
    for WorkspaceCounter { workspace, tokens } in &report.counters {
        let name = workspace.as_ref().map_or("none", |name| name.as_str());
        writeln!(out, "  {name}: {tokens}")?;
    }
    Ok(())
}

fn show_queue(queue: &QueueReport, out: &mut dyn Write) -> std::io::Result<()> {
    let QueueReport { service, model, software, summary, expect_ms, per_s } = queue;
    write!(out, "  {service} {model}")?;
    if let Some(software) = software {
        write!(out, " at version {software}")?;
    }
    write!(out, ": {} waiting, ", summary.waiting)?;
    write!(out, "the oldest for {} ms, ", summary.oldest.as_millis())?;
    write!(out, "expected wait {expect_ms} ms, ")?;
    match per_s {
        None => writeln!(out, "rate unknown")?,
        Some(rate) => writeln!(out, "{rate:.1}/s")?,
    }
    for workspace in &summary.workspaces {
        writeln!(out, "    {}: {}", workspace.name, workspace.waiting)?;
    }
    Ok(())
}

#[cfg(test)]
mod tests;
