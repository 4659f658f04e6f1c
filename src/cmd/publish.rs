//! `hyssopctl publish`.

use std::io::Write;
use std::path::Path;

use tokio::time::{Duration, Instant, sleep};
use tree::{Change, Tree};
use units::Revision;

use crate::error::{CmdError, Exit};
use crate::files::{self, Working};
use crate::session::Session;

/// The pause before the processes are asked again.
const ASK_AGAIN: Duration = Duration::from_millis(100);

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
        return Ok(Exit::Done);
    }
    show(&tree, &changes, out)?;
    let accepted = session.publish(changes, base).await?;
    writeln!(out, "accepted as revision {accepted}")?;
    keep(session, file, &working, accepted, out)?;
    in_force(session, accepted, out).await
}

/// What the operator changed since the pull, less what is in force already.
pub(crate) fn plan(
    file: &Path,
    working: &Working,
    tree: &Tree,
    revision: Revision,
    replace: bool,
) -> Result<Plan, CmdError> {
    let wanted = &working.file.tree;
    let Some(base) = &working.base else {
        let first = revision == Revision(0);
        if !first && !replace {
            return Err(CmdError::NotPulled { file: file.to_owned() });
        }
        return Ok(Plan { changes: tree::diff(tree, wanted), base: revision });
    };
    let mine = tree::diff(&base.tree, wanted);
    let merged = tree.overlay(&mine).map_err(CmdError::Rejected)?;
    Ok(Plan { changes: tree::diff(tree, &merged), base: base.revision })
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

/// Moves the file to the accepted revision if it is all that is in force.
fn keep(
    session: &Session,
    file: &Path,
    working: &Working,
    accepted: Revision,
    out: &mut dyn Write,
) -> Result<(), CmdError> {
    let (tree, revision) = session.tree();
    let alone = revision == accepted && tree::diff(&tree, &working.file.tree).is_empty();
    if alone {
        let text = tree::with_revision(&working.text, accepted);
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
    let until = Instant::now() + session.wait;
    loop {
        let processes = session.fleet.processes(&session.journal);
        let statuses = session.fleet.statuses(&processes).await;
        let behind: Vec<String> = statuses
            .iter()
            .filter_map(|(name, status)| match status {
                Ok(status) if status.revision >= accepted => None,
                Ok(status) => Some(format!("{name} is at revision {}", status.revision)),
                Err(error) => Some(format!("{name}: {error}")),
            })
            .collect();
        if behind.is_empty() || Instant::now() >= until {
            let count = statuses.len();
            writeln!(out, "in force on {} of {count} instances", count - behind.len())?;
            behind.iter().try_for_each(|line| writeln!(out, "  {line}"))?;
            return Ok(if behind.is_empty() { Exit::Done } else { Exit::Lagging });
        }
        sleep(ASK_AGAIN).await;
    }
}
