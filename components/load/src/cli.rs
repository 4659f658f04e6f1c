//! The command line.

use std::ffi::OsString;
use std::ops::Range;
use std::path::PathBuf;
use std::process::ExitCode;

use lexopt::{Arg, ValueExt};
use thiserror::Error;

use crate::affinity;
use crate::bench::{self, BenchError};
use crate::children::ChildError;
use crate::run::{self, RunError};
use crate::scale::{self, ScaleError, UnknownPart};
use crate::site::{Sample, UnknownSample};
use crate::soak;
use crate::trial::{self, Trial};

const HELP: &str = "\
hyssop-load: starts a sample deployment on loopback, sends load and faults, checks every promise

Usage: hyssop-load try [--deployment press|trust] [--bin DIR] [--out DIR]
       hyssop-load run EXPERIMENT.jsonc [--bin DIR] [--out DIR]
       hyssop-load bench [--bin DIR] [--out DIR]
       hyssop-load affinity [--bin DIR] [--out DIR]
       hyssop-load scale [--part real|large|calls] [--bin DIR] [--out DIR]
       hyssop-load soak [--seeds FROM..TO] [--restores] [--releases] [--odd-records] [--bin DIR] [--out DIR]
       hyssop-load --help | --version

  --deployment  the sample to start; press unless given
  --bin         the folder with the programs; that of hyssop-load unless given
  --seeds       the seeds of the soak, the last one left out; 1..4 unless given
  --restores    the store comes back from older copies of itself meanwhile
  --releases    engines change the version of their software meanwhile, and callers take streams up
  --odd-records other writers write records of any bytes into the topics of the system meanwhile
  --part        the part of the bench to run; the others keep their last results
  --out         the folder for settings files, logs and results; try-logs or results unless given

The exit code is 0 if every promise held, 1 if not or if something failed, 2 for a wrong command line.";

const EXIT_BROKEN: u8 = 1;
const EXIT_USAGE: u8 = 2;

/// What the tool was asked to do.
#[derive(Debug)]
enum Task {
    Help,
    Version,
    Try(Trial),
    Run(run::Job),
    Bench(bench::Job),
    Affinity(affinity::Job),
    Scale(scale::Job),
    Soak(soak::Job),
}

/// What is wrong with the command line.
#[derive(Debug, Error)]
enum UsageError {
    #[error("{0}; `--help` lists what there is")]
    Argument(#[from] lexopt::Error),
    #[error(transparent)]
    Sample(#[from] UnknownSample),
    #[error(transparent)]
    Part(#[from] UnknownPart),
    #[error("`{0}` are no seeds; write for example `1..51`")]
    Seeds(String),
    #[error("no command; use `try`, `run`, `bench`, `affinity`, `scale` or `soak`, or `--help`")]
    NoCommand,
    #[error(
        "no command `{0}`; use `try`, `run`, `bench`, `affinity`, `scale` or `soak`, or `--help`"
    )]
    Unknown(String),
    #[error(
        "no experiment; name one, as in `hyssop-load run examples/experiments/log-outage.jsonc`"
    )]
    NoExperiment,
}

/// Why a task failed.
#[derive(Debug, Error)]
enum TaskError {
    #[error(transparent)]
    Run(#[from] RunError),
    #[error(transparent)]
    Soak(#[from] ChildError),
    #[error(transparent)]
    Bench(#[from] BenchError),
    #[error(transparent)]
    Scale(#[from] ScaleError),
    #[error("the runtime can't be started: {0}")]
    Runtime(#[from] std::io::Error),
}

/// Runs the tool with the words of a command line, the program's name first.
pub fn main(words: impl IntoIterator<Item = OsString>) -> ExitCode {
    let task = match parse(words) {
        Ok(task) => task,
        Err(error) => {
            eprintln!("error: {error}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match carry_out(task) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => {
            println!("NOT ALL PROMISES HELD");
            ExitCode::from(EXIT_BROKEN)
        }
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::from(EXIT_BROKEN)
        }
    }
}

fn parse(words: impl IntoIterator<Item = OsString>) -> Result<Task, UsageError> {
    let mut parser = lexopt::Parser::from_iter(words);
    let command = match parser.next()? {
        None => return Err(UsageError::NoCommand),
        Some(Arg::Short('h') | Arg::Long("help")) => return Ok(Task::Help),
        Some(Arg::Short('V') | Arg::Long("version")) => return Ok(Task::Version),
        Some(Arg::Value(command)) => command.string()?,
        Some(other) => return Err(other.unexpected().into()),
    };
    match command.as_str() {
        "try" => parse_try(parser),
        "run" => parse_run(parser),
        "bench" => parse_bench(parser),
        "affinity" => parse_affinity(parser),
        "scale" => parse_scale(parser),
        "soak" => parse_soak(parser),
        _ => Err(UsageError::Unknown(command)),
    }
}

fn parse_try(mut parser: lexopt::Parser) -> Result<Task, UsageError> {
    let mut trial =
        Trial { sample: Sample::Press, bin: trial::own_folder(), out: PathBuf::from("try-logs") };
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("deployment") => trial.sample = parser.value()?.string()?.parse()?,
            Arg::Long("bin") => trial.bin = parser.value()?.into(),
            Arg::Long("out") => trial.out = parser.value()?.into(),
            Arg::Short('h') | Arg::Long("help") => return Ok(Task::Help),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Task::Try(trial))
}

fn parse_run(mut parser: lexopt::Parser) -> Result<Task, UsageError> {
    let (mut file, mut bin, mut out) = (None, trial::own_folder(), PathBuf::from("results"));
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("bin") => bin = parser.value()?.into(),
            Arg::Long("out") => out = parser.value()?.into(),
            Arg::Short('h') | Arg::Long("help") => return Ok(Task::Help),
            Arg::Value(path) if file.is_none() => file = Some(PathBuf::from(path)),
            other => return Err(other.unexpected().into()),
        }
    }
    let file = file.ok_or(UsageError::NoExperiment)?;
    Ok(Task::Run(run::Job { file, bin, out }))
}

fn parse_soak(mut parser: lexopt::Parser) -> Result<Task, UsageError> {
    let mut job = soak::Job {
        seeds: 1..4,
        restores: false,
        releases: false,
        odd_records: false,
        bin: trial::own_folder(),
        out: PathBuf::from("soak-logs"),
    };
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("seeds") => job.seeds = seeds(&parser.value()?.string()?)?,
            Arg::Long("restores") => job.restores = true,
            Arg::Long("releases") => job.releases = true,
            Arg::Long("odd-records") => job.odd_records = true,
            Arg::Long("bin") => job.bin = parser.value()?.into(),
            Arg::Long("out") => job.out = parser.value()?.into(),
            Arg::Short('h') | Arg::Long("help") => return Ok(Task::Help),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Task::Soak(job))
}

fn seeds(text: &str) -> Result<Range<u64>, UsageError> {
    let ends = || {
        let (from, to) = text.split_once("..")?;
        let (from, to) = (from.parse().ok()?, to.parse().ok()?);
        (from < to).then_some(from..to)
    };
    ends().ok_or_else(|| UsageError::Seeds(text.to_owned()))
}

/// Where the programs are and results go.
struct Folders {
    bin: PathBuf,
    out: PathBuf,
}

/// Reads the options of a task that has no others; nothing if help is asked for.
fn parse_folders(mut parser: lexopt::Parser) -> Result<Option<Folders>, UsageError> {
    let mut folders = Folders { bin: trial::own_folder(), out: PathBuf::from("results") };
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("bin") => folders.bin = parser.value()?.into(),
            Arg::Long("out") => folders.out = parser.value()?.into(),
            Arg::Short('h') | Arg::Long("help") => return Ok(None),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Some(folders))
}

fn parse_bench(parser: lexopt::Parser) -> Result<Task, UsageError> {
    let folders = parse_folders(parser)?;
    Ok(folders.map_or(Task::Help, |Folders { bin, out }| Task::Bench(bench::Job { bin, out })))
}

fn parse_affinity(parser: lexopt::Parser) -> Result<Task, UsageError> {
    let folders = parse_folders(parser)?;
    let task = |Folders { bin, out }| Task::Affinity(affinity::Job { bin, out });
    Ok(folders.map_or(Task::Help, task))
}

fn parse_scale(mut parser: lexopt::Parser) -> Result<Task, UsageError> {
    let (bin, out) = (trial::own_folder(), PathBuf::from("results"));
    let mut job = scale::Job { bin, out, part: None };
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("bin") => job.bin = parser.value()?.into(),
            Arg::Long("out") => job.out = parser.value()?.into(),
            Arg::Long("part") => job.part = Some(parser.value()?.string()?.parse()?),
            Arg::Short('h') | Arg::Long("help") => return Ok(Task::Help),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Task::Scale(job))
}

fn carry_out(task: Task) -> Result<bool, TaskError> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    match task {
        Task::Help => println!("{HELP}"),
        Task::Version => println!("hyssoplock {}", env!("CARGO_PKG_VERSION")),
        Task::Try(trial) => return Ok(runtime.block_on(trial::run(trial))?),
        Task::Run(job) => return Ok(runtime.block_on(run::run(job))?),
        Task::Affinity(job) => runtime.block_on(affinity::run(job))?,
        Task::Bench(job) => runtime.block_on(bench::run(job))?,
        Task::Scale(job) => runtime.block_on(scale::run(job))?,
        Task::Soak(job) => return Ok(runtime.block_on(soak::run(&job))?),
    }
    Ok(true)
}

#[cfg(test)]
mod tests;
