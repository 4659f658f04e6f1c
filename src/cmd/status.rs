//! `hyssopctl status`.

use std::collections::BTreeMap;
use std::io::Write;

use serde_json::{Map, Value};
use state::State;

use crate::error::{CmdError, Exit};
use crate::fleet::Status;
use crate::session::Session;

/// The phase of replicas that are granted and not loaded, which are most.
const COLD: &str = "cold";

/// Shows the planner, the grants and every process.
pub(crate) async fn run(session: &Session, out: &mut dyn Write) -> Result<Exit, CmdError> {
    let log = if session.journal.log_up() { "up" } else { "down; this is what the processes know" };
    let lines = session.journal.read(folded);
    writeln!(out, "log: {log}")?;
    lines.iter().try_for_each(|line| writeln!(out, "{line}"))?;
    let targets = session.fleet.targets(&session.journal);
    let statuses = session.fleet.statuses(&targets).await;
    writeln!(out, "processes: {}", statuses.len())?;
    session.fleet.remark().map_or(Ok(()), |remark| writeln!(out, "  {remark}"))?;
    let mut exit = Exit::Done;
    for (target, status) in &statuses {
        let name = &target.name;
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
    let more = status.more.iter().map(|(key, value)| format!(", {key} {}", brief(value)));
    more.fold(format!("revision {}", status.revision), |line, word| line + &word)
}

/// A value in a few words: of a list only the length, of replicas their phases.
fn brief(value: &Value) -> String {
    match value {
        Value::Array(list) => list.len().to_string(),
        Value::String(text) => text.clone(),
        Value::Object(object) => {
            let parts = phases(object).unwrap_or_else(|| {
                object.iter().map(|(key, value)| format!("{key} {}", brief(value))).collect()
            });
            format!("({})", parts.join(", "))
        }
        plain => plain.to_string(),
    }
}

/// Replicas by their phase, with names unless they are cold; nothing if these are no replicas.
fn phases(object: &Map<String, Value>) -> Option<Vec<String>> {
    let mut phases: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for (name, value) in object {
        phases.entry(value.get("phase")?.as_str()?).or_default().push(name);
    }
    let part = |(phase, names): (&str, Vec<&str>)| match phase {
        COLD => format!("{} {phase}", names.len()),
        _ => format!("{phase}: {}", names.join(" ")),
    };
    Some(phases.into_iter().map(part).collect())
}
