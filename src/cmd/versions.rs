//! `hyssopctl versions`.

use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use control::{ServiceVersions, VERSIONS_PATH, VersionUse, VersionsReport};
use web::Client;

use crate::error::{CmdError, Exit};

/// A router answers within some tens of milliseconds.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Shows the software versions of services, as each of the routers knows them.
pub(crate) async fn list(routers: &[SocketAddr], out: &mut dyn Write) -> Result<Exit, CmdError> {
    let client = Client::default();
    let mut exit = Exit::Done;
    for router in routers {
        match client.get::<VersionsReport>(*router, VERSIONS_PATH, TIMEOUT).await {
            Ok(report) => show(*router, &report, out)?,
            Err(error) => {
                exit = Exit::Lagging;
                writeln!(out, "{router}: {error}")?;
            }
        }
    }
    Ok(exit)
}

fn show(router: SocketAddr, report: &VersionsReport, out: &mut dyn Write) -> std::io::Result<()> {
    writeln!(out, "{router}: services with endpoints: {}", report.services.len())?;
    report.services.iter().try_for_each(|one| show_service(one, out))
}

fn show_service(one: &ServiceVersions, out: &mut dyn Write) -> std::io::Result<()> {
    let told = if one.told { "keepers are told of streams" } else { "no keeper is told" };
    writeln!(out, "  {}: {told}", one.service)?;
    for VersionUse { software, accepting, draining, streams } in &one.versions {
        let name = software.as_ref().map_or("version not known", |software| software.as_str());
        writeln!(out, "    {name}: {accepting} accepting, {draining} draining, {streams} streams")?;
    }
    Ok(())
}

#[cfg(test)]
mod tests;
