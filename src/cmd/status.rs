//! `hyssopctl status`.

use std::io::Write;

use state::State;

use crate::error::{CmdError, Exit};
use crate::fleet::Status;
use crate::session::Session;

/// Shows the planner, the grants and every process.
pub(crate) async fn run(session: &Session, out: &mut dyn Write) -> Result<Exit, CmdError> {
    let log = if session.journal.log_up() { "up" } else { "down; this is what the processes know" };
    let lines = session.journal.read(folded);
    writeln!(out, "log: {log}")?;
    lines.iter().try_for_each(|line| writeln!(out, "{line}"))?;
    let processes = session.fleet.processes(&session.journal);
    let statuses = session.fleet.statuses(&processes).await;
    writeln!(out, "processes: {}", statuses.len())?;
    let mut exit = Exit::Done;
    for (name, status) in &statuses {
        match status {
            Ok(status) => writeln!(out, "  {name}: {}", words(status))?,
            Err(error) => {
                exit = Exit::Lagging;
                writeln!(out, "  {name}: {error}")?;
            }
        }
    }
    Ok(exit)
}

/// What the log says.
fn folded(state: &State) -> Vec<String> {
    let lease = state.lease();
    let holder = lease.holder.as_ref().map_or("nobody".to_owned(), ToString::to_string);
    let mut lines = vec![
        format!("revision: {} at offset {}", state.revision(), state.offset()),
        format!("planner: {holder}, epoch {}", lease.epoch),
        format!("members: {}", state.members().count()),
    ];
    for member in state.members() {
        let leaving = if member.leaving { ", leaving" } else { "" };
        let attach = &member.attach;
        lines.push(format!(
            "  {} on {} in {}, service {}, incarnation {}{leaving}",
            attach.endpoint, attach.instance, attach.domain, attach.service, member.incarnation,
        ));
    }
    lines.push(format!("grants: {}", state.grants().count()));
    for grant in state.grants() {
        let revoked = if grant.revoked { ", revoked" } else { "" };
        lines.push(format!(
            "  {} replica {} on {}{revoked}: {}",
            grant.artifact, grant.index, grant.endpoint, grant.reason,
        ));
    }
    lines
}

/// What a process says, on one line.
fn words(status: &Status) -> String {
    let more = status.more.iter().map(|(key, value)| format!(", {key} {value}"));
    more.fold(format!("revision {}", status.revision), |line, word| line + &word)
}
