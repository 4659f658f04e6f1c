//! Guards against processes that end by themselves at their start because of what passes within moments.

use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::sys::stat::Mode;
use nix::unistd::{Pid, mkfifo};
use rstest::rstest;
use serde_json::json;
use standin_platform::{Server, Store, address, exchange};
use tempfile::TempDir;

/// How long a process may take to start or to exit, on a busy machine.
const TIMEOUT: Duration = Duration::from_secs(10);
/// How long the cause of a delay lasts. A process that ends because of it does so at once.
const DELAY: Duration = Duration::from_millis(700);

/// The programs that run on the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Program {
    Router,
    Loader,
}

/// A program with its settings file, which stops when the test ends.
struct Process {
    child: Option<Child>,
    program: Program,
    folder: TempDir,
    ip: String,
    store: Store,
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Process {
    /// A program that has not been started, and a store in which it finds what it needs.
    async fn new(program: Program) -> Self {
        let store = Store::start().await;
        let server = Server::plain("i-1").await;
        store.configure(1, &["unsafe"]);
        store.list_server(&server, "app", Some("ready"));
        let folder = tempfile::tempdir().expect("a folder");
        Self { child: None, program, folder, ip: address().to_string(), store }
    }

    fn addr(&self, port: u16) -> SocketAddr {
        format!("{}:{port}", self.ip).parse().expect("an address")
    }

    fn settings(&self) -> String {
        let at = |port: u16| self.addr(port).to_string();
        match self.program {
            Program::Router => json!({"instance": "front-1", "domain": "hall", "callers": at(8000), "ready": at(8001),
                "control": at(8002), "peers": [], "metrics": at(9464), "store": self.store.addr.to_string(), "loader-port": 7400,
                "grace": "4s", "bounds": {"apply": "2s", "drain": "2s"},
                "repeats": {"ratio": 0.2, "slack": 64.0, "window": "10s"}}),
            Program::Loader => json!({"instance": "side-1", "listen": at(8001), "endpoint": at(9000), "metrics": at(9464),
                "store": self.store.addr.to_string()}),
        }
        .to_string()
    }

    fn file(&self) -> PathBuf {
        self.folder.path().join("settings.jsonc")
    }

    fn write_settings(&self, text: &str) {
        std::fs::write(self.file(), text).expect("settings");
    }

    fn start(&mut self) {
        let program = match self.program {
            Program::Router => env!("CARGO_BIN_EXE_hyssop-router"),
            Program::Loader => env!("CARGO_BIN_EXE_hyssop-loader"),
        };
        let child = Command::new(Path::new(program))
            .arg(self.file())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("the program starts");
        self.child = Some(child);
    }

    fn send(&self, signal: Signal) {
        let child = self.child.as_ref().expect("it was started");
        let pid = Pid::from_raw(i32::try_from(child.id()).expect("an id"));
        kill(pid, signal).expect("the signal is sent");
    }

    fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.as_mut().expect("it was started").try_wait().expect("its state")
    }

    fn assert_runs(&mut self) {
        let status = self.exit_status();
        assert_eq!(status, None, "{:?} has ended", self.program);
    }

    /// Whether the router is ready, or the loader answers.
    async fn is_ready(&self) -> bool {
        let text = "GET /-/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let answer = exchange(self.addr(8001), text.as_bytes()).await;
        answer.is_some_and(|answer| answer.status == 200 || self.program == Program::Loader)
    }

    async fn wait_until_ready(&mut self) {
        let start = Instant::now();
        while !self.is_ready().await {
            self.assert_runs();
            assert!(start.elapsed() < TIMEOUT, "{:?} does not become ready", self.program);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Ends the process as planned.
    async fn stop(&mut self) -> ExitStatus {
        self.send(Signal::SIGTERM);
        self.wait_for_exit().await
    }

    async fn wait_for_exit(&mut self) -> ExitStatus {
        let start = Instant::now();
        loop {
            if let Some(status) = self.exit_status() {
                return status;
            }
            assert!(start.elapsed() < TIMEOUT, "{:?} does not exit", self.program);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// The platform announces changed settings while a process is still starting. The signal ended the process.
#[rstest]
#[tokio::test]
async fn a_process_that_is_told_of_new_settings_while_it_reads_the_first_ones_goes_on(
    #[values(Program::Router, Program::Loader)] program: Program,
) {
    let mut process = Process::new(program).await;
    // The process waits in the read of its settings until the test writes them.
    mkfifo(&process.file(), Mode::S_IRWXU).expect("a pipe");
    process.start();
    let file = process.file();
    let open = tokio::task::spawn_blocking(move || File::options().write(true).open(file));
    let mut pipe = open.await.expect("no panic").expect("the process reads its settings");
    process.send(Signal::SIGHUP);
    tokio::time::sleep(Duration::from_millis(50)).await;
    // The next read must not find the pipe, which nobody writes then.
    std::fs::remove_file(process.file()).expect("the pipe is removed");
    process.write_settings(&process.settings());
    let _ = pipe.write_all(process.settings().as_bytes());
    drop(pipe);
    process.assert_runs();
    process.wait_until_ready().await;
}

/// The platform writes the settings file while the process starts.
#[rstest]
#[tokio::test]
async fn a_process_whose_settings_are_not_written_yet_waits_for_them(
    #[values(Program::Router, Program::Loader)] program: Program,
    #[values(None, Some(0), Some(40))] written_bytes: Option<usize>,
) {
    let mut process = Process::new(program).await;
    if let Some(bytes) = written_bytes {
        process.write_settings(&process.settings()[..bytes]);
    }
    process.start();
    tokio::time::sleep(DELAY).await;
    process.assert_runs();
    process.write_settings(&process.settings());
    process.wait_until_ready().await;
}

/// Settings that are whole and wrong don't become right by themselves.
#[rstest]
#[tokio::test]
async fn a_process_whose_settings_are_wrong_says_so_at_once(
    #[values(Program::Router, Program::Loader)] program: Program,
) {
    let mut process = Process::new(program).await;
    process.write_settings(&process.settings().replace("\"store\"", "\"shop\""));
    let start = Instant::now();
    process.start();
    assert_eq!(process.wait_for_exit().await.code(), Some(2));
    assert!(start.elapsed() < Duration::from_secs(3));
}

/// A process that has just been ended, or another program, still has the port.
#[rstest]
#[case::callers(Program::Router, 8000)]
#[case::ready(Program::Router, 8001)]
#[case::control(Program::Router, 8002)]
#[case::loader(Program::Loader, 8001)]
#[tokio::test]
async fn a_process_whose_port_is_in_use_for_a_moment_waits_for_it(
    #[case] program: Program,
    #[case] port: u16,
) {
    let mut process = Process::new(program).await;
    process.write_settings(&process.settings());
    let holder = TcpListener::bind(process.addr(port)).expect("a free port");
    process.start();
    tokio::time::sleep(DELAY).await;
    process.assert_runs();
    drop(holder);
    process.wait_until_ready().await;
    assert!(process.stop().await.success());
}

/// The network of the machine is not up yet.
#[rstest]
#[tokio::test]
async fn a_process_whose_address_is_not_there_yet_waits_for_it_until_it_is_stopped(
    #[values(Program::Router, Program::Loader)] program: Program,
) {
    let mut process = Process::new(program).await;
    // An address for documentation, which no machine has.
    process.write_settings(&process.settings().replace(&process.ip, "192.0.2.1"));
    process.start();
    tokio::time::sleep(DELAY).await;
    process.assert_runs();
    assert!(process.stop().await.success());
}

/// Exporters of other programs use the same port for metrics.
#[rstest]
#[tokio::test]
async fn a_process_whose_port_for_metrics_is_in_use_serves_without_metrics(
    #[values(Program::Router, Program::Loader)] program: Program,
) {
    let mut process = Process::new(program).await;
    process.write_settings(&process.settings());
    let holder = TcpListener::bind(process.addr(9464)).expect("a free port");
    process.start();
    process.wait_until_ready().await;
    drop(holder);
    let start = Instant::now();
    let text = "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    while exchange(process.addr(9464), text.as_bytes()).await.is_none() {
        assert!(start.elapsed() < TIMEOUT, "metrics are not served once the port is free");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
