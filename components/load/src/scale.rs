//! `hyssop-load scale`: what each role takes at several sizes, for docs/CAPACITY-LOG-SERVICE.md.
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
use std::str::FromStr;
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
    /// Calls whose cost is measured were not served.
    #[error("only {served} of {of} calls were served")]
    Refused {
        /// Served calls.
        served: usize,
        /// All calls.
        of: usize,
    },
    /// A process has ended.
    #[error("a process that was measured has ended")]
    Gone,
}

/// A part of the bench that can be run by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Part {
    /// Deployments in which every member has a process.
    Real,
    /// Few processes and large states.
    Large,
    /// Calls and open streams.
    Calls,
}

/// Why a name is not a part.
#[derive(Debug, Error)]
#[error("no part `{0}`; there are `real`, `large` and `calls`")]
pub(crate) struct UnknownPart(String);

impl FromStr for Part {
    type Err = UnknownPart;

    fn from_str(text: &str) -> Result<Self, UnknownPart> {
        match text {
            "real" => Ok(Self::Real),
            "large" => Ok(Self::Large),
            "calls" => Ok(Self::Calls),
            _ => Err(UnknownPart(text.to_owned())),
        }
    }
}

/// Where the programs are and results go.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) bin: PathBuf,
    pub(crate) out: PathBuf,
    /// What to run; all if it names none. The other parts keep their last results.
    pub(crate) part: Option<Part>,
}

/// Runs the bench, prints it beside the last result, and writes it in its place.
pub(crate) async fn run(job: Job) -> Result<(), ScaleError> {
    let file = job.out.join("scale.json");
    let last = std::fs::read(&file).ok().and_then(|text| serde_json::from_slice(&text).ok());
    let last: Scaled = last.unwrap_or_default();
    let scaled = measure(&job, &job.out.join("scale-logs"), last.clone()).await?;
    scaled.print(&last);
    std::fs::write(&file, serde_json::to_string_pretty(&scaled).unwrap_or_default() + "\n")?;
    println!("result: {}", file.display());
    Ok(())
}

async fn measure(job: &Job, logs: &Path, mut scaled: Scaled) -> Result<Scaled, ScaleError> {
    let wants = |part| job.part.is_none_or(|only| only == part);
    if wants(Part::Real) {
        scaled.real.clear();
        for agents in REAL {
            scaled.real.push(note(measure::real(&job.bin, logs, agents).await?));
        }
    }
    if wants(Part::Large) {
        scaled.large.clear();
        for members in LARGE {
            scaled.large.push(note(measure::large(&job.bin, logs, FEW, members).await?));
        }
    }
    if wants(Part::Calls) {
        let calls = Calls::start(&job.bin, logs).await?;
        scaled.calls = calls.lengths().await?;
        scaled.streams = calls.streams().await?;
    }
    Ok(scaled)
}

/// Says what a size took, in case a later one fails.
fn note(point: Point) -> Point {
    println!("measured: {}", serde_json::to_string(&point).unwrap_or_default());
    point
}
