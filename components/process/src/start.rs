//! Starts a program: arguments, logs, metrics, signals and admin server.

use std::fmt::Display;
use std::future::Future;
use std::io::Write;
use std::num::NonZero;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

use events::Event;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use serde::de::DeserializeOwned;
use simplelog::{ColorChoice, ConfigBuilder, TermLogger, TerminalMode};
use thiserror::Error;
use timeline::{Kind, Recorder};
use tokio::runtime::Runtime;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::admin::Admin;
use crate::reload::SettingsFile;
use crate::{
    Args, Identity, IdleMeter, Shutdown, ShutdownPhase, StallDetector, StatusProvider,
    load_settings, parse_args,
};

/// The exit code of a process that failed while running.
pub const EXIT_FAILURE: u8 = 1;
/// The exit code of a process whose command line or settings file is invalid.
pub const EXIT_USAGE: u8 = 2;

/// What a multi-threaded program shares with its tasks.
#[derive(Debug, Clone)]
pub struct Process {
    /// The identity of the process.
    pub identity: Identity,
    /// The recorder of the process's events.
    pub recorder: Recorder,
    /// The shutdown of the process.
    pub shutdown: Shutdown,
    metrics: PrometheusHandle,
}

/// The number of worker threads that run a process's tasks.
#[derive(Debug, Clone, Copy)]
pub enum Workers {
    /// One thread per core of the machine.
    Cores,
    /// One thread per core, but no more than this many, so that what a process uses of the machine does not depend on
    /// the number of cores.
    AtMost(usize),
}

impl Workers {
    fn count(self) -> usize {
        let cores = std::thread::available_parallelism().map_or(1, NonZero::get);
        match self {
            Self::Cores => cores,
            Self::AtMost(limit) => cores.min(limit).max(1),
        }
    }
}

/// Why a process could not start or had to stop.
#[derive(Debug, Error)]
#[error(transparent)]
pub struct StartError(Box<dyn std::error::Error + Send + Sync>);

impl StartError {
    /// Wraps the cause of the failure.
    pub fn new(cause: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> Self {
        Self(cause.into())
    }
}

/// What a single-threaded program shares with its tasks.
#[derive(Debug, Clone)]
pub struct SingleThreadProcess<T> {
    /// The settings, reloaded when the file changes; a changed address takes effect only at the next start.
    pub settings: watch::Receiver<Arc<T>>,
    /// Detects that the machine was suspended or frozen.
    pub stall_detector: Arc<StallDetector>,
    /// Measures how long the thread of the program is idle; none if the thread also runs other programs.
    pub idle_meter: Option<Arc<IdleMeter>>,
    /// The shutdown of the process.
    pub shutdown: Shutdown,
}

/// Runs a program on one thread, because small machines have one core and threads cost memory.
pub fn run_single_threaded<T, B, F>(about: &str, instance: fn(&T) -> &str, body: B) -> ExitCode
where
    T: DeserializeOwned + Send + Sync + 'static,
    B: FnOnce(SingleThreadProcess<T>) -> F,
    F: Future<Output = Result<(), StartError>>,
{
    let file = match settings_file::<T>(about) {
        Ok(file) => file,
        Err(code) => return code,
    };
    let idle_meter = Arc::new(IdleMeter::default());
    let runtime = match measured_runtime(&idle_meter) {
        Ok(runtime) => runtime,
        Err(error) => return failure(&error),
    };
    runtime.block_on(async {
        let file = match SettingsFile::new(file) {
            Ok(file) => file,
            Err(error) => return failure(&error),
        };
        let settings: T = match file.read().await {
            Ok(settings) => settings,
            Err(error) => return usage(&error),
        };
        let program = about.split(':').next().unwrap_or(about);
        match serve_single_threaded(program, instance, settings, file, idle_meter, body).await {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => failure(&error),
        }
    })
}

async fn serve_single_threaded<T, B, F>(
    program: &str,
    instance: fn(&T) -> &str,
    settings: T,
    file: SettingsFile,
    idle_meter: Arc<IdleMeter>,
    body: B,
) -> Result<(), StartError>
where
    T: DeserializeOwned + Send + Sync + 'static,
    B: FnOnce(SingleThreadProcess<T>) -> F,
    F: Future<Output = Result<(), StartError>>,
{
    events::install(instance(&settings)).map_err(StartError::new)?;
    let shutdown = Shutdown::on_signals().map_err(StartError::new)?;
    events::emit(&Event::Started { program, version: env!("CARGO_PKG_VERSION") });
    let stopping = shutdown.clone();
    let (sender, settings) = watch::channel(Arc::new(settings));
    tokio::spawn(file.follow(sender));
    let stall_detector = Arc::new(StallDetector::default());
    let detector = stall_detector.clone();
    tokio::spawn(async move { detector.run().await });
    let idle_meter = Some(idle_meter);
    let process = SingleThreadProcess { settings, stall_detector, idle_meter, shutdown };
    match body(process).await {
        // What could not be started need not be.
        Err(_) if stopping.phase() != ShutdownPhase::Run => Ok(()),
        result => result,
    }
}

/// Runs a multi-threaded server program: reads its arguments and settings file, starts the runtime, and runs the body.
pub fn run<T, B, F>(
    about: &str,
    workers: Workers,
    identity: fn(&T) -> &Identity,
    body: B,
) -> ExitCode
where
    T: DeserializeOwned,
    B: FnOnce(T, Process) -> F,
    F: Future<Output = Result<(), StartError>>,
{
    let file = match settings_file::<T>(about) {
        Ok(file) => file,
        Err(code) => return code,
    };
    match load_settings(&file) {
        Ok(settings) => serve(settings, workers, identity, body),
        Err(error) => usage(&error),
    }
}

/// Reads the arguments, and returns the settings file that they name; other actions end here.
fn settings_file<T: DeserializeOwned>(about: &str) -> Result<PathBuf, ExitCode> {
    match parse_args(std::env::args_os()) {
        Ok(Args::Help) => {
            println!(
                "{about}\n\nUsage: PROGRAM [--check-config] FILE\n       PROGRAM --help | --version"
            );
            Err(ExitCode::SUCCESS)
        }
        Ok(Args::Version) => {
            println!("hyssoplock {}", env!("CARGO_PKG_VERSION"));
            Err(ExitCode::SUCCESS)
        }
        Ok(Args::Check(file)) => Err(check::<T>(&file)),
        Ok(Args::Run(file)) => Ok(file),
        Err(error) => Err(usage(&error)),
    }
}

fn serve<T, B, F>(settings: T, workers: Workers, identity: fn(&T) -> &Identity, body: B) -> ExitCode
where
    B: FnOnce(T, Process) -> F,
    F: Future<Output = Result<(), StartError>>,
{
    let identity = identity(&settings).clone();
    init_logs(&identity);
    let runtime = match runtime(workers) {
        Ok(runtime) => runtime,
        Err(error) => return failure(&error),
    };
    let result = runtime.block_on(async {
        let process = Process::start(identity)?;
        let recorder = process.recorder.clone();
        recorder.record(recorder.event(Kind::Started));
        let result = body(settings, process).await;
        recorder.record(recorder.event(Kind::Stopped));
        result
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => failure(&error),
    }
}

/// A runtime on this thread whose idle time is measured.
fn measured_runtime(idle_meter: &Arc<IdleMeter>) -> std::io::Result<Runtime> {
    let (parked, unparked) = (idle_meter.clone(), idle_meter.clone());
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .on_thread_park(move || parked.begin())
        .on_thread_unpark(move || unparked.end())
        .build()
}

fn runtime(workers: Workers) -> std::io::Result<Runtime> {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    builder.worker_threads(workers.count()).enable_all().build()
}

impl Process {
    fn start(identity: Identity) -> Result<Self, StartError> {
        let recorder = Recorder::new(identity.instance.clone());
        let shutdown = Shutdown::on_signals().map_err(StartError::new)?;
        let metrics = PrometheusBuilder::new().install_recorder().map_err(StartError::new)?;
        let for_task = (recorder.clone(), shutdown.clone());
        tokio::spawn(async move {
            let (recorder, shutdown) = for_task;
            shutdown.reached(ShutdownPhase::Drain).await;
            log::info!("process: shutdown requested; finishing the work in flight");
            recorder.record(recorder.event(Kind::Stopping));
        });
        Ok(Self { identity, recorder, shutdown, metrics })
    }
}

/// Binds and starts the admin server, which runs until the runtime stops, so that a drain can be observed.
pub async fn spawn_admin(
    process: &Process,
    status: StatusProvider,
) -> Result<JoinHandle<()>, StartError> {
    let listener = web::bind(process.identity.admin).await.map_err(StartError::new)?;
    let admin =
        Admin { metrics: process.metrics.clone(), recorder: process.recorder.clone(), status };
    let (stop_sender, stop) = tokio::sync::watch::channel(false);
    Ok(tokio::spawn(async move {
        let handler = move |request, peer| admin.clone().respond(request, peer);
        web::serve(listener, web::ServeOptions::default(), stop, handler).await;
        drop(stop_sender);
    }))
}

fn check<T: DeserializeOwned>(file: &Path) -> ExitCode {
    match load_settings::<T>(file) {
        Ok(_) => {
            println!("{}: settings are right", file.display());
            ExitCode::SUCCESS
        }
        Err(error) => usage(&error),
    }
}

fn usage(error: &dyn std::error::Error) -> ExitCode {
    print_error(error);
    ExitCode::from(EXIT_USAGE)
}

fn failure(error: &dyn std::error::Error) -> ExitCode {
    print_error(error);
    ExitCode::from(EXIT_FAILURE)
}

/// Prints an error where that is possible.
pub(crate) fn print_error(error: impl Display) {
    let _ = writeln!(std::io::stderr(), "error: {error}");
}

fn init_logs(identity: &Identity) {
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_target_level(simplelog::LevelFilter::Off)
        .set_thread_level(simplelog::LevelFilter::Off)
        .set_location_level(simplelog::LevelFilter::Off)
        .build();
    let started =
        TermLogger::init(identity.log.into(), config, TerminalMode::Stderr, ColorChoice::Never);
    if started.is_err() {
        eprintln!("process: the logger is already initialized");
    }
}
