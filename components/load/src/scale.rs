//! `hyssop-load scale`: what each role takes at several sizes, for docs/CAPACITY.md.
//!
//! The system's processes are real; the stand-ins run within the tool, so that a few hundred processes
//! are enough. Larger states are reached with members that have no process of their own.

mod calls;
mod content;
mod measure;
mod meter;
mod report;
mod slope;
mod stage;
mod usage;

use std::path::{Path, PathBuf};
use std::time::Duration;

use thiserror::Error;
use web::BindError;

use crate::children::ChildError;
use crate::scale::calls::Calls;
use crate::scale::report::{Point, Result as Scaled};
use crate::site::SiteError;

/// Agent processes of the deployments in which every member has one.
const REAL: [usize; 3] = [40, 80, 160];
/// Members of the deployments with few processes; the last is the two-year size.
const LARGE: [usize; 3] = [650, 1300, 2600];
/// Agent processes of those.
const FEW: usize = 24;

/// Why the bench could not be carried through.
#[derive(Debug, Error)]
pub(crate) enum ScaleError {
    /// The deployment could not be written down.
    #[error(transparent)]
    Site(#[from] SiteError),
    /// A process failed.
    #[error(transparent)]
    Child(#[from] ChildError),
    /// A stand-in could not be started.
    #[error(transparent)]
    Bind(#[from] BindError),
    /// A file or socket failed.
    #[error("the bench failed: {0}")]
    System(#[from] std::io::Error),
    /// Something did not come about.
    #[error("{what}: not within {limit:?}")]
    Overdue {
        /// What was waited for.
        what: &'static str,
        /// How long.
        limit: Duration,
    },
    /// The log did not take an edit.
    #[error("the log did not take an edit: {0}")]
    Log(String),
    /// The list did not take a change.
    #[error("the list did not take a change: {0}")]
    List(String),
    /// A call was not served.
    #[error("a call was not served: {0}")]
    Wake(String),
    /// A process has ended.
    #[error("a process that was measured has ended")]
    Gone,
}

/// Where the programs are and results go.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) bin: PathBuf,
    pub(crate) out: PathBuf,
}

/// Runs the bench, prints it beside the last result, and writes it in its place.
pub(crate) async fn run(job: Job) -> Result<(), ScaleError> {
    let file = job.out.join("scale.json");
    let last = std::fs::read(&file).ok().and_then(|text| serde_json::from_slice(&text).ok());
    let scaled = measure(&job.bin, &job.out.join("scale-logs")).await?;
    scaled.print(last.as_ref());
    std::fs::write(&file, serde_json::to_string_pretty(&scaled).unwrap_or_default() + "\n")?;
    println!("result: {}", file.display());
    Ok(())
}

async fn measure(bin: &Path, logs: &Path) -> Result<Scaled, ScaleError> {
    let mut scaled = Scaled::default();
    for agents in REAL {
        scaled.real.push(note(measure::real(bin, logs, agents).await?));
    }
    for members in LARGE {
        scaled.large.push(note(measure::large(bin, logs, FEW, members).await?));
    }
    let calls = Calls::start(bin, logs).await?;
    scaled.calls = calls.lengths().await?;
    println!("measured: {}", serde_json::to_string(&scaled.calls).unwrap_or_default());
    scaled.streams = calls.streams().await?;
    Ok(scaled)
}

/// Says that a size is done.
fn note(point: Point) -> Point {
    println!("measured: {}", serde_json::to_string(&point).unwrap_or_default());
    point
}
