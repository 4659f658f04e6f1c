//! Publishing a sample's tree of settings, as an operator does, and waiting for what it brings about.

use std::ffi::OsStr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use state::State;
use thiserror::Error;
use tokio::process::Command;
use tokio::time::{Instant, sleep, timeout};
use units::{ModelName, Span};

use crate::clock::Clock;
use crate::evidence::Publish;
use crate::ledger::Ledger;
use crate::site::{Sample, Site};

/// How long publishing may take, and granting after it.
const LIMIT: Duration = Duration::from_secs(20);
/// The change of one setting.
const CHANGE: &str = "deadline=40s";
/// How long the configuration may take to be in force everywhere.
const IN_FORCE: Span = Span::secs(10);
/// The operator's working copy of the tree, and what it was based on.
const TREE: &str = "tree.jsonc";
const TREE_BASE: &str = "tree.jsonc.base";
/// How many lines of a failed publish are shown.
const SHOWN: usize = 12;
const PAUSE: Duration = Duration::from_millis(50);

/// Why a configuration is not in force.
#[derive(Debug, Error)]
pub(crate) enum PublishError {
    /// The sample's tree can't be copied.
    #[error("cannot copy {}: {cause}; start in the folder of the checkout", tree.display())]
    Copy {
        /// The tree of settings.
        tree: PathBuf,
        /// What the system said.
        cause: std::io::Error,
    },
    /// The operator's command failed.
    #[error("hyssopctl {command} failed: {cause}")]
    Failed {
        /// The command.
        command: String,
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
    let _ = std::fs::remove_file(site.out.join(TREE_BASE));
    let copied = std::fs::copy(sample.tree(), &tree);
    copied.map_err(|cause| PublishError::Copy { tree: sample.tree().to_owned(), cause })?;
    let words = ["publish".as_ref(), tree.as_os_str()];
    operate(site, bin, clock, &words).await
}

/// Changes one setting of the sample's tree.
pub(crate) async fn change(
    sample: Sample,
    site: &Site,
    bin: &Path,
    clock: Clock,
) -> Result<Publish, PublishError> {
    let words = ["set", sample.branch(), CHANGE].map(OsStr::new);
    operate(site, bin, clock, &words).await
}

/// Runs `hyssopctl` until its edit is in force.
async fn operate(
    site: &Site,
    bin: &Path,
    clock: Clock,
    words: &[&OsStr],
) -> Result<Publish, PublishError> {
    let command = || words.join(OsStr::new(" ")).to_string_lossy().into_owned();
    let failed = |cause: String| PublishError::Failed { command: command(), cause };
    let run = Command::new(bin.join("hyssopctl"))
        .args(words)
        .arg("--log")
        .arg(site.log.to_string())
        .arg("--wait")
        .arg(IN_FORCE.to_string())
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

/// Waits until each of the models that are always granted has a grant; returns how many each has.
pub(crate) async fn granted(site: &Site, models: &[ModelName]) -> Result<Vec<usize>, PublishError> {
    let mut ledger = Ledger::new(site.log);
    let end = Instant::now() + LIMIT;
    loop {
        ledger.catch_up().await;
        let counts: Vec<usize> =
            models.iter().map(|model| ledger.state().grants_of(model).count()).collect();
        let missing = models
            .iter()
            .zip(&counts)
            .find(|(model, count)| **count == 0 && always_granted(ledger.state(), model));
        let Some((missing, _)) = missing else { return Ok(counts) };
        if Instant::now() >= end {
            return Err(PublishError::NoGrant { model: missing.clone() });
        }
        sleep(PAUSE).await;
    }
}

fn always_granted(state: &State, model: &ModelName) -> bool {
    state.tree().model(model).is_none_or(|leaf| leaf.settings.replicas_least > 0)
}

/// The end of what a program printed.
fn last_lines(text: &str) -> String {
    let lines: Vec<&str> = text.lines().collect();
    lines[lines.len().saturating_sub(SHOWN)..].join("\n")
}

/// The endpoint that has the first grant of a model.
pub(crate) async fn holder(site: &Site, model: &ModelName) -> Result<String, PublishError> {
    let mut ledger = Ledger::new(site.log);
    ledger.catch_up().await;
    let first = ledger.state().grants_of(model).next();
    let first = first.ok_or_else(|| PublishError::NoGrant { model: model.clone() })?;
    Ok(first.endpoint.to_string())
}
