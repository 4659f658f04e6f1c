//! Processes that the tool has started; it signals no others.

use std::fs::File;
use std::net::SocketAddr;
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use thiserror::Error;
use tokio::process::{Child, Command};
use tokio::time::{Instant, sleep, timeout};
use web::Client;

const HEALTH_PAUSE: Duration = Duration::from_millis(20);
const HEALTH_CALL: Duration = Duration::from_millis(500);

/// Why a process could not be started or brought to an end.
#[derive(Debug, Error)]
pub(crate) enum ChildError {
    /// It can't be started.
    #[error("cannot start {}: {cause}; build the programs first or name their folder with --bin", program.display())]
    Start {
        /// The program.
        program: PathBuf,
        /// What the system said.
        cause: std::io::Error,
    },
    /// It ended before it was healthy.
    #[error("{name} ended with {ending} before it was healthy; see {}", log.display())]
    Ended {
        /// The process.
        name: String,
        /// Its exit status.
        ending: String,
        /// Its log.
        log: PathBuf,
    },
    /// It was not healthy in time.
    #[error("{name} was not healthy within {limit:?}; see {}", log.display())]
    Unhealthy {
        /// The process.
        name: String,
        /// How long the tool waited.
        limit: Duration,
        /// Its log.
        log: PathBuf,
    },
    /// There is none of that name.
    #[error("no process `{name}` runs in this deployment")]
    Unknown {
        /// The name.
        name: String,
    },
    /// It could not be signalled.
    #[error("cannot signal {name}: {cause}")]
    Signal {
        /// The process.
        name: String,
        /// What the system said.
        cause: String,
    },
}

/// How a process ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Exit {
    /// With an exit code.
    Code(i32),
    /// By a signal.
    Signal(i32),
    /// It did not end in time and was killed.
    Overdue,
}

/// How a process is started.
#[derive(Debug, Clone)]
pub(crate) struct Launch {
    /// Its name in reports.
    pub(crate) name: String,
    /// The program's file.
    pub(crate) program: PathBuf,
    /// Its settings file.
    pub(crate) settings: PathBuf,
    /// Where its output goes.
    pub(crate) log: PathBuf,
    /// Its admin server.
    pub(crate) admin: SocketAddr,
}

/// A process that the tool has started; it is killed when this is dropped.
#[derive(Debug)]
pub(crate) struct Process {
    pub(crate) launch: Launch,
    child: Child,
}

impl Launch {
    /// Starts the process; its output is added to its log.
    pub(crate) fn start(self) -> Result<Process, ChildError> {
        let failed = |cause| ChildError::Start { program: self.program.clone(), cause };
        let out = open_log(&self.log).map_err(failed)?;
        let err = out.try_clone().map_err(failed)?;
        let child = Command::new(&self.program)
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(err)
            .kill_on_drop(true)
            .spawn()
            .map_err(failed)?;
        Ok(Process { launch: self, child })
    }
}

fn open_log(path: &Path) -> std::io::Result<File> {
    File::options().create(true).append(true).open(path)
}

impl Process {
    /// Waits until the admin server answers.
    pub(crate) async fn healthy(
        &mut self,
        client: &Client,
        limit: Duration,
    ) -> Result<(), ChildError> {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if let Ok(Some(status)) = self.child.try_wait() {
                let launch = &self.launch;
                let (name, log) = (launch.name.clone(), launch.log.clone());
                return Err(ChildError::Ended { name, ending: status.to_string(), log });
            }
            if client.get_text(self.launch.admin, "/healthz", HEALTH_CALL).await.is_ok() {
                return Ok(());
            }
            sleep(HEALTH_PAUSE).await;
        }
        let (name, log) = (self.launch.name.clone(), self.launch.log.clone());
        Err(ChildError::Unhealthy { name, limit, log })
    }

    /// The system's id of it, until it has ended.
    pub(crate) fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Whether it has ended.
    pub(crate) fn over(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends a signal to it, if it has not ended.
    pub(crate) fn signal(&self, signal: Signal) -> Result<(), ChildError> {
        let failed = |cause: String| ChildError::Signal { name: self.launch.name.clone(), cause };
        let pid = self.id().ok_or_else(|| failed("it has ended".to_owned()))?;
        let pid = i32::try_from(pid).map_err(|error| failed(error.to_string()))?;
        kill(Pid::from_raw(pid), signal).map_err(|error| failed(error.to_string()))
    }

    /// Waits for its end; kills it after the limit.
    pub(crate) async fn ended(&mut self, limit: Duration) -> Exit {
        match timeout(limit, self.child.wait()).await {
            Ok(Ok(status)) => match (status.code(), status.signal()) {
                (Some(code), _) => Exit::Code(code),
                (None, Some(signal)) => Exit::Signal(signal),
                (None, None) => Exit::Overdue,
            },
            Ok(Err(_)) | Err(_) => {
                let _ = self.child.kill().await;
                Exit::Overdue
            }
        }
    }
}
