//! A small deployment: routers and loaders as processes, with the stand-ins of the platform around them.

use std::fmt::Write as _;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use serde_json::{Value, json};
use standin_platform::{Server, Store, address, exchange};
use tokio::time::Instant;

/// The bound of the sheet after which a calm machine is in touch.
pub const CONTACT: Duration = Duration::from_millis(3_000);
/// The port of loaders, the first one for communication between processes.
const LOADER_PORT: u16 = 7_400;
/// How long processes may take to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Why a case could not be played.
pub type Failed = String;

/// What was sent, answered and run, in the order in which it became known.
#[derive(Debug)]
pub struct Record {
    start: Instant,
    lines: Mutex<String>,
}

impl Record {
    pub fn new() -> Self {
        Self { start: Instant::now(), lines: Mutex::default() }
    }

    /// Adds a line with the present time.
    pub fn note(&self, text: &str) {
        self.note_at(Instant::now(), text);
    }

    /// Adds a line with the time of what it tells.
    pub fn note_at(&self, at: Instant, text: &str) {
        let at = self.seconds(at);
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = writeln!(lines, "{at:8.3} s  {text}");
    }

    /// A time as the lines state it.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64()
    }

    /// Writes all lines to a file.
    pub fn write(&self, file: &Path) -> std::io::Result<()> {
        std::fs::write(file, &*self.lines.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// A process that is killed when the case ends.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    /// Starts a program with the command of the deploy file, and a settings file of its own.
    fn start(program: &str, folder: &Path, name: &str, settings: &Value) -> Result<Self, Failed> {
        let file = folder.join(format!("{name}.jsonc"));
        std::fs::write(&file, settings.to_string()).map_err(|error| error.to_string())?;
        let log = std::fs::File::create(folder.join(format!("{name}.log")));
        let log = log.map_err(|error| error.to_string())?;
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let child = Command::new(format!("target/release/{program}"))
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|error| format!("{program} does not start: {error}"))?;
        Ok(Self { child })
    }
}

/// A router process.
#[derive(Debug)]
pub struct Router {
    pub name: String,
    process: Process,
    /// Where clients reach it.
    pub front: SocketAddr,
    ready: SocketAddr,
}

impl Router {
    /// Whether the balancer would send it new connections.
    pub async fn is_ready(&self) -> bool {
        let request = "GET /-/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        exchange(self.ready, request.as_bytes()).await.is_some_and(|answer| answer.status == 200)
    }

    /// The memory that the process holds, in kilobytes.
    pub fn resident_kb(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.process.child.id()));
        let status = status.ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        line.trim().trim_end_matches("kB").trim().parse().ok()
    }

    async fn wait_until_ready(&self) -> Result<(), Failed> {
        let start = Instant::now();
        while !self.is_ready().await {
            if start.elapsed() > START_TIMEOUT {
                return Err(format!("{} is not ready in time", self.name));
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Ok(())
    }
}

/// A deployment on loopback addresses.
#[derive(Debug)]
pub struct World {
    pub store: Store,
    pub routers: Vec<Router>,
    pub loaders: Vec<Process>,
    /// The routers that the settings of all name.
    peers: Vec<SocketAddr>,
    /// The bound on keys that were taken away, where there are keys.
    pub revoke: Option<Duration>,
    folder: PathBuf,
}

impl Drop for World {
    fn drop(&mut self) {
        self.routers.clear();
        self.loaders.clear();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        } else {
            eprintln!("logs: {}", self.folder.display());
        }
    }
}

impl World {
    /// An empty store, and a folder for settings files and logs.
    pub async fn start() -> Result<Self, Failed> {
        let folder = std::env::temp_dir().join(format!("review-case-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let store = Store::start().await;
        Ok(Self {
            store,
            routers: Vec::new(),
            loaders: Vec::new(),
            peers: Vec::new(),
            revoke: None,
            folder,
        })
    }

    /// Starts the loader beside a model server.
    pub fn start_loader(&mut self, server: &Server) -> Result<(), Failed> {
        let name = format!("side-{}", server.id);
        let settings = json!({
            "instance": name,
            "listen": SocketAddr::new(server.addr.ip(), LOADER_PORT),
            "endpoint": server.addr,
            "store": self.store.addr,
        });
        let process = Process::start("hyssop-loader", &self.folder, &name, &settings)?;
        self.loaders.push(process);
        Ok(())
    }

    /// Starts `count` routers with the settings that the template of the deploy file renders for a small deployment.
    pub async fn start_routers(&mut self, count: usize) -> Result<(), Failed> {
        let addresses: Vec<IpAddr> = (0..count).map(|_| address()).collect();
        let at = |ip: &IpAddr, port| SocketAddr::new(*ip, port);
        if self.peers.is_empty() {
            self.peers = addresses.iter().take(3).map(|ip| at(ip, 8_002)).collect();
        }
        let peers = &self.peers;
        for ip in &addresses {
            let name = format!("front-hall-{}", self.routers.len() + 1);
            let mut settings = json!({
                "instance": name,
                "domain": "hall",
                "callers": at(ip, 8_000),
                "ready": at(ip, 8_001),
                "control": at(ip, 8_002),
                "peers": peers,
                "store": self.store.addr,
                "loader-port": LOADER_PORT,
                "grace": "8s",
                "bounds": {"apply": "2000ms", "drain": "2000ms"},
                "rules": ["base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", "platform"],
                "limits": {"open-files": 4100, "memory": "260000000B"},
                "repeats": {"ratio": 0.2, "slack": 58, "window": "10s"},
            });
            if let Some(revoke) = self.revoke {
                settings["bounds"]["revoke"] = format!("{}ms", revoke.as_millis()).into();
            }
            let process = Process::start("hyssop-router", &self.folder, &name, &settings)?;
            let (front, ready) = (at(ip, 8_000), at(ip, 8_001));
            self.routers.push(Router { name, process, front, ready });
        }
        for router in &self.routers {
            router.wait_until_ready().await?;
        }
        Ok(())
    }
}
