//! `hyssopctl publish`.

use std::io::Write;
use std::path::Path;

use tokio::time::{Duration, Instant, sleep};
use tree::{ApplyError, Change, Tree};
use units::Revision;
use web::CallError;

use crate::error::{CmdError, Exit};
use crate::files::{self, Working};
use crate::fleet::{Status, Target};
use crate::session::Session;

/// The pause before the processes are asked again.
const ASK_AGAIN: Duration = Duration::from_millis(100);

/// The longest wait until an edit is in force everywhere: twice what is promised, since an instance that is
/// gone would otherwise hold up every publish.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(10);

/// What a publish would append.
#[derive(Debug)]
pub(crate) struct Plan {
    pub(crate) changes: Vec<Change>,
    pub(crate) base: Revision,
}

pub(crate) async fn run(
    session: &Session,
    file: &Path,
    replace: bool,
    out: &mut dyn Write,
) -> Result<Exit, CmdError> {
    let (tree, revision) = session.tree();
    let working = files::read_working(file, revision)?;
    let Plan { changes, base } = plan(file, &working, &tree, revision, replace)?;
    if changes.is_empty() {
        writeln!(out, "no change: revision {revision} has all of it; nothing was published")?;
        keep(session, file, &working, revision, out)?;
        return Ok(Exit::Done);
    }
    let accepted = send(session, &tree, changes, base, out).await?;
    keep(session, file, &working, accepted, out)?;
    in_force(session, accepted, out).await
}

/// Appends changes and shows what became of them.
pub(crate) async fn send(
    session: &Session,
    tree: &Tree,
    changes: Vec<Change>,
    base: Revision,
    out: &mut dyn Write,
) -> Result<Revision, CmdError> {
    show(tree, &changes, out)?;
    let sent = session.publish(changes, base).await;
    match &sent {
        Ok(accepted) => writeln!(out, "accepted as revision {accepted}")?,
        Err(CmdError::Rejected(error)) => winner(session, error, out).await?,
        Err(_) => {}
    }
    sent
}

/// Shows who won a race, and with what value.
async fn winner(
    session: &Session,
    error: &ApplyError,
    out: &mut dyn Write,
) -> Result<(), CmdError> {
    let ApplyError::Conflict { path, what, winner, .. } = error else { return Ok(()) };
    let author = session.author(*winner).await;
    let author = author.map_or_else(String::new, |author| format!(" by {author}"));
    let (tree, _) = session.tree();
    let node = tree.nodes().get(path);
    let value = node.and_then(|node| node.settings.get(what.as_str()));
    let change = match (node, value) {
        (_, Some(value)) => format!("set {path} {what} = {}", value.value),
        (Some(_), None) => format!("changed {path} {what}"),
        (None, None) => format!("removed {path}"),
    };
    writeln!(out, "revision {winner}{author} {change}")?;
    Ok(())
}

/// What the operator changed since the pull, less what is in force already; all that differs if the file is
/// to replace all there is, or is the first.
pub(crate) fn plan(
    file: &Path,
    working: &Working,
    tree: &Tree,
    revision: Revision,
    replace: bool,
) -> Result<Plan, CmdError> {
    let wanted = &working.file.tree;
    match &working.base {
        Some(base) if !replace => {
            let mine = tree::diff(&base.tree, wanted);
            let merged = tree.overlay(&mine).map_err(CmdError::Rejected)?;
            Ok(Plan { changes: tree::diff(tree, &merged), base: base.revision })
        }
        None if !replace && revision > Revision(0) => {
            Err(CmdError::NotPulled { file: file.to_owned() })
        }
        _ => Ok(Plan { changes: tree::diff(tree, wanted), base: revision }),
    }
}

/// Shows changes with the values before them.
pub(crate) fn show(tree: &Tree, changes: &[Change], out: &mut dyn Write) -> Result<(), CmdError> {
    for change in changes {
        let before = match change {
            Change::Set { path, setting, .. } | Change::Clear { path, setting } => {
                let node = tree.nodes().get(path);
                node.and_then(|node| node.settings.get(setting)).map(|value| &value.value)
            }
            Change::Add { .. } | Change::Remove { .. } => None,
        };
        match before {
            Some(before) => writeln!(out, "  {change} (was {before})")?,
            None => writeln!(out, "  {change}")?,
        }
    }
    Ok(())
}

/// Moves the file to a revision if what it says is all that is in force.
fn keep(
    session: &Session,
    file: &Path,
    working: &Working,
    wanted: Revision,
    out: &mut dyn Write,
) -> Result<(), CmdError> {
    let (tree, revision) = session.tree();
    let alone = revision == wanted && tree::diff(&tree, &working.file.tree).is_empty();
    if alone {
        let text = tree::with_revision(&working.text, wanted);
        return files::write_working(file, &text, &text);
    }
    writeln!(
        out,
        "others have published since your pull; run `hyssopctl pull {}`",
        file.display()
    )?;
    Ok(())
}

/// Waits until an edit is in force at every process, and says where it is not.
pub(crate) async fn in_force(
    session: &Session,
    accepted: Revision,
    out: &mut dyn Write,
) -> Result<Exit, CmdError> {
    let until = Instant::now() + session.wait.min(IN_FORCE_LIMIT);
    let targets = session.fleet.targets(&session.journal);
    let mut behind = targets.clone();
    let mut reasons = Vec::new();
    while !behind.is_empty() {
        let statuses = session.fleet.statuses(&behind).await;
        let late = statuses.into_iter().filter_map(|(target, status)| {
            let reason = lag(&target, status, accepted)?;
            Some((target, reason))
        });
        (behind, reasons) = late.unzip();
        if behind.is_empty() || Instant::now() >= until {
            break;
        }
        sleep(ASK_AGAIN).await;
    }
    let count = targets.len();
    writeln!(out, "in force on {} of {count} instances", count - behind.len())?;
    reasons.iter().try_for_each(|reason| writeln!(out, "  {reason}"))?;
    session.fleet.remark().map_or(Ok(()), |remark| writeln!(out, "  {remark}"))?;
    Ok(if behind.is_empty() { Exit::Done } else { Exit::Lagging })
}

/// Why an edit was not seen in force at a process, if it was not.
fn lag(target: &Target, status: Result<Status, CallError>, accepted: Revision) -> Option<String> {
    match status {
        Ok(status) if status.revision >= accepted => None,
        Ok(status) => Some(format!("{} is at revision {}", target.name, status.revision)),
        Err(error) => Some(format!("{}: {error}", target.name)),
    }
}
