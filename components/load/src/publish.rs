//! Publishing a sample's tree of settings, as an operator does, and waiting for what it brings about.

use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use thiserror::Error;
use tokio::process::Command;
use tokio::time::{Instant, sleep, timeout};
use units::ModelName;

use crate::clock::Clock;
use crate::evidence::Publish;
use crate::ledger::Ledger;
use crate::site::{Sample, Site};

/// How long publishing may take, and granting after it.
const LIMIT: Duration = Duration::from_secs(20);
/// The operator's working copy of the tree, and what it was based on.
const TREE: &str = "tree.jsonc";
const TREE_BASE: &str = "tree.jsonc.base";
/// How many lines of a failed publish are shown.
const SHOWN: usize = 12;
const PAUSE: Duration = Duration::from_millis(50);

/// Why a configuration is not in force.
#[derive(Debug, Error)]
pub(crate) enum PublishError {
    /// The configuration could not be published.
    #[error("publishing {} failed: {cause}", tree.display())]
    Failed {
        /// The tree of settings.
        tree: PathBuf,
        /// What was printed.
        cause: String,
    },
    /// Nothing was granted.
    #[error("no grant for `{model}` within {LIMIT:?}; see the entries' logs")]
    NoGrant {
        /// The model.
        model: ModelName,
    },
}

/// Publishes a copy of the sample's tree with `hyssopctl`, which keeps its base beside it.
pub(crate) async fn tree(
    sample: Sample,
    site: &Site,
    bin: &Path,
    clock: Clock,
) -> Result<Publish, PublishError> {
    let tree = site.out.join(TREE);
    let failed = |cause: String| PublishError::Failed { tree: tree.clone(), cause };
    let _ = std::fs::remove_file(site.out.join(TREE_BASE));
    std::fs::copy(sample.tree(), &tree)
        .map_err(|error| failed(format!("cannot copy {}: {error}", sample.tree().display())))?;
    let run = Command::new(bin.join("hyssopctl"))
        .arg("publish")
        .arg("--log")
        .arg(site.log.to_string())
        .arg(&tree)
        .stdin(Stdio::null())
        .kill_on_drop(true)
        .output();
    let output = match timeout(LIMIT, run).await {
        Ok(Ok(output)) => output,
        Ok(Err(error)) => return Err(failed(error.to_string())),
        Err(_) => return Err(failed(format!("no end within {LIMIT:?}"))),
    };
    if !output.status.success() {
        let text = [output.stdout, output.stderr].concat();
        return Err(failed(last_lines(&String::from_utf8_lossy(&text))));
    }
    let mut ledger = Ledger::new(site.log);
    ledger.catch_up().await;
    Ok(Publish { at: clock.now(), revision: ledger.revision() })
}

/// Waits until each of the models has a grant; returns how many each has.
pub(crate) async fn granted(site: &Site, models: &[ModelName]) -> Result<Vec<usize>, PublishError> {
    let mut ledger = Ledger::new(site.log);
    let end = Instant::now() + LIMIT;
    loop {
        ledger.catch_up().await;
        let counts: Vec<usize> =
            models.iter().map(|model| ledger.state().grants_of(model).count()).collect();
        let Some(missing) = counts.iter().position(|count| *count == 0) else { return Ok(counts) };
        if Instant::now() >= end {
            return Err(PublishError::NoGrant { model: models[missing].clone() });
        }
        sleep(PAUSE).await;
    }
}

/// The end of what a program printed.
fn last_lines(text: &str) -> String {
    let lines: Vec<&str> = text.lines().collect();
    lines[lines.len().saturating_sub(SHOWN)..].join("\n")
}
