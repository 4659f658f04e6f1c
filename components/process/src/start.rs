//! Starting a process: arguments, logs, metrics, signals, admin server.

use std::future::Future;
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
use crate::{
    Args, Identity, Shutdown, ShutdownPhase, StallDetector, StatusProvider, load_settings,
    parse_args, reload,
};

/// The exit code of a process that failed while running.
pub const EXIT_FAILURE: u8 = 1;
/// The exit code of a wrong command line or settings file.
pub const EXIT_USAGE: u8 = 2;

/// What a running process shares with its tasks.
#[derive(Debug, Clone)]
pub struct Process {
    /// Who it is.
    pub identity: Identity,
    /// Its events.
    pub recorder: Recorder,
    /// Its shutdown.
    pub shutdown: Shutdown,
    metrics: PrometheusHandle,
}

/// How many threads run a process's tasks.
#[derive(Debug, Clone, Copy)]
pub enum Workers {
    /// As many as the machine has cores.
    Cores,
    /// No more than these, so that what a process takes does not depend on the cores of its machine.
    AtMost(usize),
}

impl Workers {
    fn count(self) -> usize {
        let cores = std::thread::available_parallelism().map_or(1, NonZero::get);
        match self {
            Self::Cores => cores,
            Self::AtMost(most) => cores.min(most).max(1),
        }
    }
}

/// Why a process could not start or had to end.
#[derive(Debug, Error)]
#[error(transparent)]
pub struct StartError(Box<dyn std::error::Error + Send + Sync>);

impl StartError {
    /// Wraps the cause.
    pub fn new(cause: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> Self {
        Self(cause.into())
    }
}

/// What a process of one thread shares with its tasks.
#[derive(Debug, Clone)]
pub struct SingleThreadProcess<T> {
    /// Its settings, read again when the file changes; addresses take effect at a start only.
    pub settings: watch::Receiver<Arc<T>>,
    /// Notices that the machine stood still.
    pub stall_detector: Arc<StallDetector>,
    /// Its shutdown.
    pub shutdown: Shutdown,
}

/// Runs a program on one thread: small machines have one core and pay for memory.
pub fn run_single_threaded<T, B, F>(about: &str, instance: fn(&T) -> &str, body: B) -> ExitCode
where
    T: DeserializeOwned + Send + Sync + 'static,
    B: FnOnce(SingleThreadProcess<T>) -> F,
    F: Future<Output = Result<(), StartError>>,
{
    launch(about, |settings: T, file| {
        let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
            Ok(runtime) => runtime,
            Err(error) => return failure(&error),
        };
        let ended = runtime.block_on(async {
            let program = about.split(':').next().unwrap_or(about);
            events::install(instance(&settings)).map_err(StartError::new)?;
            let shutdown = Shutdown::on_signals().map_err(StartError::new)?;
            events::emit(&Event::Started { program, version: env!("CARGO_PKG_VERSION") });
            let (sender, settings) = watch::channel(Arc::new(settings));
            tokio::spawn(reload::follow(file, sender));
            let stall_detector = Arc::new(StallDetector::default());
            let beating = stall_detector.clone();
            tokio::spawn(async move { beating.run().await });
            body(SingleThreadProcess { settings, stall_detector, shutdown }).await
        });
        match ended {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => failure(&error),
        }
    })
}

/// Runs a server program: reads its arguments and settings file, starts the runtime and the body.
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
    launch(about, |settings: T, _| serve(settings, workers, identity, body))
}

/// Reads the arguments and the settings file, and starts the rest.
fn launch<T: DeserializeOwned>(about: &str, rest: impl FnOnce(T, PathBuf) -> ExitCode) -> ExitCode {
    let file = match parse_args(std::env::args_os()) {
        Ok(Args::Help) => {
            println!(
                "{about}\n\nUsage: PROGRAM [--check-config] FILE\n       PROGRAM --help | --version"
            );
            return ExitCode::SUCCESS;
        }
        Ok(Args::Version) => {
            println!("hyssoplock {}", env!("CARGO_PKG_VERSION"));
            return ExitCode::SUCCESS;
        }
        Ok(Args::Check(file)) => return check::<T>(&file),
        Ok(Args::Run(file)) => file,
        Err(error) => return usage(&error),
    };
    let settings: T = match load_settings(&file) {
        Ok(settings) => settings,
        Err(error) => return usage(&error),
    };
    rest(settings, file)
}

fn serve<T, B, F>(settings: T, workers: Workers, identity: fn(&T) -> &Identity, body: B) -> ExitCode
where
    B: FnOnce(T, Process) -> F,
    F: Future<Output = Result<(), StartError>>,
{
    let who = identity(&settings).clone();
    init_logs(&who);
    let runtime = match runtime(workers) {
        Ok(runtime) => runtime,
        Err(error) => return failure(&error),
    };
    let ended = runtime.block_on(async {
        let process = Process::start(who)?;
        let recorder = process.recorder.clone();
        recorder.record(recorder.event(Kind::Started));
        let ended = body(settings, process).await;
        recorder.record(recorder.event(Kind::Stopped));
        ended
    });
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => failure(&error),
    }
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
        let stopping = (recorder.clone(), shutdown.clone());
        tokio::spawn(async move {
            let (recorder, shutdown) = stopping;
            shutdown.reached(ShutdownPhase::Drain).await;
            log::info!("process: stopping after the work in flight");
            recorder.record(recorder.event(Kind::Stopping));
        });
        Ok(Self { identity, recorder, shutdown, metrics })
    }
}

/// Binds and starts the admin server, which lives until the runtime ends, so that a drain can be watched.
pub async fn spawn_admin(
    process: &Process,
    status: StatusProvider,
) -> Result<JoinHandle<()>, StartError> {
    let listener = web::bind(process.identity.admin).await.map_err(StartError::new)?;
    let admin =
        Admin { metrics: process.metrics.clone(), recorder: process.recorder.clone(), status };
    let (keep, never) = tokio::sync::watch::channel(false);
    Ok(tokio::spawn(async move {
        let handler = move |request, peer| admin.clone().answer(request, peer);
        web::serve(listener, web::ServeOptions::default(), never, handler).await;
        drop(keep);
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
    eprintln!("error: {error}");
    ExitCode::from(EXIT_USAGE)
}

fn failure(error: &dyn std::error::Error) -> ExitCode {
    eprintln!("error: {error}");
    ExitCode::from(EXIT_FAILURE)
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
        eprintln!("process: the logger is set already");
    }
}
