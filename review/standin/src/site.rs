//! A small deployment: routers and loaders as processes, on loopback addresses.

use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::http::Wire;
use crate::record::Record;
use crate::server::Server;

/// The first port for communication between processes.
const LOADER: u16 = 7_380;

/// Addresses 127.x.y.0 to 127.x.y.255 that no other process uses.
#[derive(Clone, Copy)]
pub struct Block([u8; 2]);

impl Block {
    pub fn free() -> Self {
        let mut seed = std::process::id().wrapping_mul(2_654_435_761);
        loop {
            seed = seed.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
            let [high, low, ..] = seed.to_be_bytes();
            let block = Self([130 + high % 100, low]);
            if TcpListener::bind((block.ip(250), LOADER)).is_ok() {
                return block;
            }
        }
    }

    pub fn ip(self, last: u8) -> IpAddr {
        Ipv4Addr::new(127, self.0[0], self.0[1], last).into()
    }
}

/// A process of the system, with the command of the deploy file.
pub struct Process {
    name: String,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    fn new(dir: &Path, program: &str, name: &str, settings: &Value) -> Self {
        let file = dir.join(format!("{name}.jsonc"));
        std::fs::write(&file, settings.to_string()).expect("the settings can be written");
        let program = PathBuf::from("target/release").join(program);
        let (name, log) = (name.to_owned(), dir.join(format!("{name}.log")));
        Self { name, program, settings: file, log, child: None }
    }

    pub fn start(&mut self, record: &Record) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log");
        let errors = log.try_clone().expect("a log");
        let mut command = Command::new(&self.program);
        command.arg(&self.settings).stdin(Stdio::null()).stdout(log).stderr(errors);
        // SAFETY: the call has no effect but that the process is killed when this one ends, however it does.
        unsafe {
            command.pre_exec(|| {
                libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL);
                Ok(())
            });
        }
        match command.spawn() {
            Ok(child) => self.child = Some(child),
            Err(error) => {
                eprintln!("{} can't be started: {error}", self.program.display());
                std::process::exit(2);
            }
        }
        record.line(&format!("start   {}", self.name));
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self, record: &Record) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            record.line(&format!("kill    {}", self.name));
        }
    }

    pub fn signal(&self, signal: i32, record: &Record) {
        if let Some(child) = &self.child {
            // SAFETY: a signal to a process that this one has started and not waited for.
            unsafe { libc::kill(child.id() as i32, signal) };
            record.line(&format!("signal  {signal} to {}", self.name));
        }
    }

    /// Whether the process runs.
    pub fn runs(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

pub struct Router {
    pub process: Process,
    pub callers: SocketAddr,
    ready: SocketAddr,
}

impl Router {
    /// Waits until the router answers 200 to the balancer.
    pub async fn until_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if readiness(self.ready).await == Some(200) {
                return true;
            }
            sleep(Duration::from_millis(50)).await;
        }
        false
    }
}

async fn readiness(addr: SocketAddr) -> Option<u16> {
    use tokio::io::AsyncWriteExt;
    let stream = tokio::net::TcpStream::connect(addr).await.ok()?;
    let mut wire = Wire::new(stream);
    let text = b"GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n";
    wire.stream.write_all(text).await.ok()?;
    Some(wire.message().await.ok()?.status())
}

/// The settings that `deploy/router.jsonc` renders for `count` routers of the small deployment.
pub fn routers(dir: &Path, block: Block, store: SocketAddr, zones: &[&str]) -> Vec<Router> {
    let at = |index: usize, port: u16| SocketAddr::from((block.ip(10 + index as u8), port));
    let peers: Vec<SocketAddr> = (0..zones.len().min(3)).map(|index| at(index, 8_144)).collect();
    let router = |(index, zone): (usize, &&str)| {
        let name = format!("front-{zone}-{}", index + 1);
        let settings = json!({"instance": name, "domain": zone, "callers": at(index, 8_149),
            "ready": at(index, 8_141), "control": at(index, 8_144), "peers": peers, "metrics": at(index, 9_464),
            "store": store, "loader-port": LOADER, "grace": "8s", "bounds": {"apply": "2000ms", "drain": "2000ms"},
            "rules": ["base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", "platform"],
            "repeats": {"ratio": 0.2, "slack": 58, "window": "10s"}});
        let process = Process::new(dir, "hyssop-router", &name, &settings);
        Router { process, callers: at(index, 8_149), ready: at(index, 8_141) }
    };
    zones.iter().enumerate().map(router).collect()
}

/// The loader beside a server, with the settings that `deploy/loader.jsonc` renders.
pub fn loader(dir: &Path, server: &Server, store: SocketAddr) -> Process {
    let ip = server.addr.ip();
    let name = format!("side-{}", server.id);
    let settings = json!({"instance": name, "listen": SocketAddr::from((ip, LOADER)), "endpoint": server.addr,
        "metrics": SocketAddr::from((ip, 9_465)), "store": store});
    Process::new(dir, "hyssop-loader", &name, &settings)
}

/// The configuration of a small deployment, with one service of model servers and one route for streams that may be resumed.
pub fn config(version: u64) -> Value {
    let model = |name: &str| {
        json!({"name": name, "weightsMegabytes": 16_100.0, "loadS": 6.0, "adapters": 0, "adapterSizeMb": 14.0,
            "warmS": 0.27, "diskLoadS": 0.35})
    };
    json!({"version": version, "routes": [
        {"name": "page-draft", "host": "ficu95.example", "pathPrefix": "/lohu930/", "kind": "streaming",
            "timeoutMs": 20_000, "targetLatencyMs": 400, "targetGapMs": 250, "priority": 1, "service": "likhari",
            "maxAttempts": 2, "resumable": true, "sessionAffinity": true}],
        "services": [{"name": "likhari", "healthPath": "/health", "connectionLimit": 370, "engine": {"slots": 64,
            "kvCacheTokens": 157_353, "weightsMegabytes": 83_000.0, "adapterSlots": 8, "loadsPerS": 6.8,
            "hostMemoryMb": 57_000.0, "diskMb": 530_000.0, "models": [model("m0"), model("m1")]}}],
        "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": 1_048_576, "headerTimeoutMs": 5_000,
            "idleTimeoutMs": 15_000}})
}

/// A temporary folder of this run, removed with the guard.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Self {
        let path = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a temporary folder");
        Self(path)
    }
}

impl Default for Folder {
    fn default() -> Self {
        Self::new()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.0);
        } else {
            println!("kept: {}", self.0.display());
        }
    }
}
