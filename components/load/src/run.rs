//! `hyssop-load run`: an experiment file, carried out.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use thiserror::Error;
use tokio::task::JoinSet;
use tokio::time::{interval, sleep, sleep_until};
use units::ModelName;
use web::{CallError, Client};

use crate::caller::{Ask, Caller, Door};
use crate::checks::{self, Row};
use crate::children::ChildError;
use crate::clock::Clock;
use crate::evidence::{Call, Evidence};
use crate::experiment::{Experiment, Load, Target};
use crate::faults::{FaultError, FaultLog, Faults};
use crate::fleet::Fleet;
use crate::plot::{self, PlotError};
use crate::probe::{completion, unrepeatable};
use crate::publish::{self, PublishError};
use crate::report::{self, Percentiles, Report};
use crate::site::{Layout, Site, SiteError};
use crate::table;
use crate::trace::{Arrival, arrivals};
use crate::truth::Truth;
use crate::warmth::Warmth;
use crate::watch::{Samples, Watch};

/// The pause between the deployment's start and the first arrival.
const WARM_UP: Duration = Duration::from_secs(1);
/// How long the end waits, so that late executions would be seen.
const SETTLE: Duration = Duration::from_secs(2);
const PROGRESS_PAUSE: Duration = Duration::from_secs(5);

/// What to run.
#[derive(Debug)]
pub(crate) struct Job {
    /// The experiment file.
    pub(crate) file: PathBuf,
    /// Where the programs are.
    pub(crate) bin: PathBuf,
    /// Where settings files, logs and the result go.
    pub(crate) out: PathBuf,
}

/// Why an experiment could not be carried through.
#[derive(Debug, Error)]
pub(crate) enum RunError {
    /// The experiment file is wrong.
    #[error(transparent)]
    Settings(#[from] process::SettingsError),
    /// A model's name is wrong.
    #[error("{name}: {cause}")]
    Model {
        /// The name.
        name: String,
        /// What is wrong.
        cause: String,
    },
    /// The deployment could not be written down.
    #[error(transparent)]
    Site(#[from] SiteError),
    /// A process failed.
    #[error(transparent)]
    Child(#[from] ChildError),
    /// The configuration is not in force.
    #[error(transparent)]
    Publish(#[from] PublishError),
    /// A fault could not be brought about.
    #[error(transparent)]
    Fault(#[from] FaultError),
    /// A stand-in did not tell the truth.
    #[error("cannot read what really happened: {0}")]
    Truth(#[from] CallError),
    /// The result can't be written.
    #[error("cannot write the result: {0}")]
    Write(#[from] std::io::Error),
    /// The result can't be drawn.
    #[error(transparent)]
    Plot(#[from] PlotError),
}

/// What an experiment found.
pub(crate) struct Found {
    pub(crate) report: Report,
    pub(crate) rows: Vec<Row>,
    pub(crate) calls: Vec<Call>,
    pub(crate) samples: Samples,
    pub(crate) warmth: Warmth,
    /// When load began.
    pub(crate) start: Duration,
}

/// Carries an experiment file out, writes the result, and says whether all promises held.
pub(crate) async fn run(job: Job) -> Result<bool, RunError> {
    let experiment: Experiment = process::load_settings(&job.file)?;
    let name = job.file.file_stem().map_or("experiment".into(), |stem| stem.to_string_lossy());
    let logs = job.out.join(format!("{name}-logs"));
    let found = carry_out(&experiment, &name, &job.bin, &logs).await?;
    let json = job.out.join(format!("{name}.json"));
    std::fs::write(&json, serde_json::to_string_pretty(&found.report).unwrap_or_default() + "\n")?;
    let svg = job.out.join(format!("{name}.svg"));
    plot::draw(&svg, &found)?;
    print(&found);
    println!("\nresult: {}, {}", json.display(), svg.display());
    Ok(found.rows.iter().all(|row| row.violations.is_empty()))
}

/// Starts a deployment, sends the load with its faults, stops all, and checks.
pub(crate) async fn carry_out(
    experiment: &Experiment,
    name: &str,
    bin: &Path,
    logs: &Path,
) -> Result<Found, RunError> {
    let clock = Clock::start();
    let layout = Layout {
        sample: experiment.deployment,
        scale: experiment.scale,
        engine: experiment.engine.clone(),
        blind: 0,
    };
    let site = Site::write(&layout, bin, logs)?;
    let mut fleet = Fleet::start(site, clock).await?;
    println!("{name}: {} processes started", fleet.len());
    let found = drive(experiment, name, bin, &mut fleet, clock).await;
    fleet.stop_rest().await;
    found
}

async fn drive(
    experiment: &Experiment,
    name: &str,
    bin: &Path,
    fleet: &mut Fleet,
    clock: Clock,
) -> Result<Found, RunError> {
    let watch = Watch::start(&fleet.site, clock);
    let published = publish::tree(experiment.deployment, &fleet.site, bin, clock).await?;
    publish::granted(&fleet.site, &models(experiment)?).await?;
    sleep(WARM_UP).await;

    let start = clock.now();
    let end = start + experiment.lasts.0;
    let load = tokio::spawn(send_all(experiment.clone(), fleet.site.doors.clone(), clock, start));
    let faults = Faults::new(fleet, clock).run(&experiment.faults, start, end).await?;
    let calls = load.await.unwrap_or_default();

    let mut evidence = Evidence { calls, ..Evidence::default() };
    evidence.publishes.push(published);
    evidence.stops = fleet.stop_system().await;
    sleep(SETTLE).await;
    let samples = watch.finish().await;
    let truth = Truth::read(&fleet.site, &Client::default()).await?;
    truth.tell(&mut evidence);
    take_in(&mut evidence, faults, &samples);
    let rows = checks::all(&evidence);
    let warmth = Warmth::new(&truth, clock, end);
    let report = Report {
        experiment: name.to_owned(),
        seconds: experiment.lasts.0.as_secs_f64(),
        classes: report::classes(&evidence.calls, &warmth),
        cold_starts: Percentiles::of(warmth.cold_starts(&evidence.calls)),
        loads: warmth.loads,
        loaded_seconds: warmth.loaded.as_secs_f64(),
        idle_seconds: warmth.loaded.saturating_sub(warmth.busy).as_secs_f64(),
        promises: rows.iter().map(Into::into).collect(),
    };
    Ok(Found { report, rows, calls: evidence.calls, samples, warmth, start })
}

/// The models that the experiment asks for.
fn models(experiment: &Experiment) -> Result<Vec<ModelName>, RunError> {
    let mut models = Vec::new();
    for load in &experiment.loads {
        let Target::Models { names, .. } = &load.target else { continue };
        for name in names {
            let own = name.split(':').next().unwrap_or(name);
            let wrong = |cause: units::ParseIdError| RunError::Model {
                name: name.clone(),
                cause: cause.to_string(),
            };
            models.push(own.parse().map_err(wrong)?);
        }
    }
    Ok(models)
}

/// Sends each request at its time, however the earlier ones fare.
async fn send_all(
    experiment: Experiment,
    doors: Vec<Door>,
    clock: Clock,
    start: Duration,
) -> Vec<Call> {
    let trace = arrivals(&experiment);
    let (sent, done) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let progress = tokio::spawn(show(trace.len(), sent.clone(), done.clone()));
    let caller = Caller::new(clock);
    let mut calls = JoinSet::new();
    for (number, arrival) in trace.into_iter().enumerate() {
        let at = start + arrival.at;
        sleep_until(clock.instant(at)).await;
        let ask = ask(&experiment, &arrival);
        let mut doors = doors.clone();
        let count = doors.len();
        doors.rotate_left(number % count);
        let (caller, done) = (caller.clone(), done.clone());
        calls.spawn(async move {
            let call = caller.send(&doors, &ask, at).await;
            done.fetch_add(1, Ordering::Relaxed);
            call
        });
        sent.fetch_add(1, Ordering::Relaxed);
    }
    let calls = calls.join_all().await;
    progress.abort();
    calls
}

async fn show(total: usize, sent: Arc<AtomicUsize>, done: Arc<AtomicUsize>) {
    let mut ticks = interval(PROGRESS_PAUSE);
    loop {
        ticks.tick().await;
        let (sent, done) = (sent.load(Ordering::Relaxed), done.load(Ordering::Relaxed));
        println!("{sent} of {total} sent, {done} ended");
    }
}

fn ask(experiment: &Experiment, arrival: &Arrival) -> Ask {
    let load: &Load = &experiment.loads[arrival.load];
    let id = format!("{}-{}", load.name, arrival.number);
    let mut ask = match &load.target {
        Target::Models { names, tokens, .. } => {
            completion(&names[arrival.model % names.len()], &id, *tokens)
        }
        Target::Unrepeatable => {
            let sample = experiment.deployment;
            unrepeatable(sample.service(), sample.unrepeatable(), &id, &id)
        }
    };
    ask.class = load.class;
    ask.deadline = load.deadline;
    ask
}

/// Adds what was sampled and what the faults did to the evidence.
fn take_in(evidence: &mut Evidence, faults: FaultLog, samples: &Samples) {
    evidence.replicas.clone_from(&samples.replicas);
    evidence.revisions.clone_from(&samples.revisions);
    for sample in &mut evidence.revisions {
        let own =
            faults.starts.iter().filter(|(name, at)| *name == sample.process && *at <= sample.at);
        sample.up = own.map(|(_, at)| *at).max().unwrap_or_default();
    }
    evidence.stops.extend(faults.stops);
    evidence.crashes = faults.crashes;
    evidence.departures = faults.departures;
}

fn print(found: &Found) {
    let report = &found.report;
    println!(
        "\n{:<12} {:>6} {:>7} {:>8} {:>8}   first token p50/p95/p99, cold p50/p95/p99 (ms)",
        "class", "calls", "served", "not run", "unknown"
    );
    for (name, class) in &report.classes {
        let lost = class.unknown + class.cut + class.silent;
        let (first, cold) = (class.first, class.cold);
        println!(
            "{name:<12} {:>6} {:>7} {:>8} {lost:>8}   {:.0}/{:.0}/{:.0}, {:.0}/{:.0}/{:.0} of {}",
            class.calls,
            class.served,
            class.not_run,
            first.p50,
            first.p95,
            first.p99,
            cold.p50,
            cold.p95,
            cold.p99,
            cold.count,
        );
    }
    for (name, class) in report.classes.iter().filter(|(_, class)| !class.reasons.is_empty()) {
        let reasons = class.reasons.iter().map(|(reason, count)| format!("{count} {reason}"));
        println!("{name}, not served: {}", reasons.collect::<Vec<_>>().join(", "));
    }
    let cold = report.cold_starts;
    println!(
        "cold starts: {}, p50 {:.0} ms, p95 {:.0} ms, max {:.0} ms; loads {}, idle {:.0} of {:.0} loaded s",
        cold.count,
        cold.p50,
        cold.p95,
        cold.max,
        report.loads,
        report.idle_seconds,
        report.loaded_seconds,
    );
    println!("\n{}", table::promises(&found.rows));
}
