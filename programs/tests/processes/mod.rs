//! Routers and loaders as processes, whose memory is measured.

use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command};
use std::time::Duration;

use serde_json::json;
use standin_platform::{address, exchange};
use tempfile::TempDir;

/// What a process may need beyond what it needs when it is idle.
pub(crate) const MAX_GROWTH_KB: u64 = 32 << 10;
/// How long processes may take to become ready.
pub(crate) const START_TIMEOUT: Duration = Duration::from_secs(20);

/// A process that is killed when the test ends.
pub(crate) struct Process(pub(crate) Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Process {
    pub(crate) fn start(program: &str, folder: &Path, settings: &serde_json::Value) -> Self {
        let file = folder.join("settings.jsonc");
        std::fs::write(&file, settings.to_string()).expect("settings");
        let log = std::fs::File::create(folder.join("log.jsonl")).expect("a log");
        let child = Command::new(program).arg(&file).stdout(log).spawn();
        Self(child.expect("the process starts"))
    }

    /// The value of a line of the process's status, in kilobytes.
    fn memory_kb(&self, line: &str) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.0.id()));
        let status = status.expect("the process runs");
        let value = status.lines().find_map(|other| other.strip_prefix(line)).expect("the line");
        value.trim().trim_end_matches("kB").trim().parse().expect("a number")
    }

    pub(crate) fn resident_kb(&self) -> u64 {
        self.memory_kb("VmRSS:")
    }

    pub(crate) fn peak_kb(&self) -> u64 {
        self.memory_kb("VmHWM:")
    }
}

/// A router process.
pub(crate) struct RouterProcess {
    pub(crate) process: Process,
    pub(crate) callers: SocketAddr,
    pub(crate) ready: SocketAddr,
    pub(crate) _folder: TempDir,
}

impl RouterProcess {
    /// Starts a router that may not be ready yet, with this section on quotas.
    pub(crate) fn start(instance: &str, store: SocketAddr, quota: &serde_json::Value) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let ip = address();
        let at = |port| SocketAddr::from((ip, port));
        // All requests are read, however busy a debug build is.
        let settings = json!({"instance": instance, "domain": "hall", "callers": at(8_000),
            "ready": at(8_001), "control": at(8_002), "peers": [], "store": store, "loader-port": 7_400,
            "grace": "4s", "bounds": {"apply": "2s", "drain": "2s"}, "rules": ["base", "retry", "recover"],
            "repeats": {"ratio": 0.2, "slack": 320.0, "window": "10s"},
            "quota": quota,
            "scheduling": {"shedding": "off"}});
        let process = Process::start(env!("CARGO_BIN_EXE_hyssop-router"), folder.path(), &settings);
        Self { process, callers: at(8_000), ready: at(8_001), _folder: folder }
    }

    pub(crate) async fn is_ready(&self) -> bool {
        let request = "GET /-/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        exchange(self.ready, request.as_bytes()).await.is_some_and(|answer| answer.status == 200)
    }
}
