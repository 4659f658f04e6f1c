//! `hyssopctl speeds`.

use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use control::{EndpointSpeedReport, SPEEDS_PATH, SpeedsReport};
use web::Client;

use crate::error::{CmdError, Exit};

/// A router answers within some tens of milliseconds.
const PATIENCE: Duration = Duration::from_secs(2);

/// Shows how fast endpoints are, as a router knows it.
pub(crate) async fn list(router: SocketAddr, out: &mut dyn Write) -> Result<Exit, CmdError> {
    let client = Client::default();
    let report: SpeedsReport = client.get(router, SPEEDS_PATH, PATIENCE).await?;
    show(&report, out)?;
    Ok(Exit::Done)
}

fn show(report: &SpeedsReport, out: &mut dyn Write) -> std::io::Result<()> {
    for one in &report.services {
        let state = if one.uneven { "endpoints differ in speed" } else { "endpoints are alike" };
        writeln!(out, "{}: {state}", one.service)?;
    }
    writeln!(out, "endpoints that were measured: {}", report.endpoints.len())?;
    report.endpoints.iter().try_for_each(|one| show_endpoint(one, out))
}

fn show_endpoint(one: &EndpointSpeedReport, out: &mut dyn Write) -> std::io::Result<()> {
    write!(out, "  {} of {}: ", one.endpoint, one.service)?;
    match one.factor {
        Some(factor) => write!(out, "{factor:.2} times the median, used as {:.2}", one.used)?,
        None => write!(out, "not known yet")?,
    }
    writeln!(out, "; {} events, the last {} ms ago", one.events, one.age_ms)?;
    for step in &one.models {
        let (model, micros) = (&step.model, step.gap_us);
        let (whole, tenth) = (micros / 1_000, micros % 1_000 / 100);
        writeln!(out, "    {model}: {whole}.{tenth} ms an event, {} events", step.events)?;
    }
    Ok(())
}

#[cfg(test)]
mod tests;
