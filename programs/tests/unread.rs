//! Guards against a router that blocks once the pipe of its standard output is full because nobody reads its log lines.

use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::json;
use standin_platform::{Connection, Server, Store, address, exchange};

/// So many requests that their log lines exceed several times what the pipe and the buffer of the process hold.
const REQUEST_COUNT: usize = 4_000;
/// How long one request may take, with a debug build on a busy machine.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// How long the router may take to exit after SIGTERM.
const EXIT_TIMEOUT: Duration = Duration::from_secs(6);

/// A child process that is killed when the test ends.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn settings(store: SocketAddr, ip: &str) -> String {
    json!({"instance": "front-1", "domain": "hall", "callers": format!("{ip}:8000"), "ready": format!("{ip}:8001"),
        "control": format!("{ip}:8002"), "peers": [], "metrics": format!("{ip}:8003"), "store": store.to_string(),
        "loader-port": 7400, "grace": "4s", "bounds": {"apply": "2s", "drain": "2s"},
        "repeats": {"ratio": 0.2, "slack": 64.0, "window": "10s"}})
    .to_string()
}

#[tokio::test]
async fn a_router_whose_log_output_nobody_reads_serves_and_exits_as_usual() {
    let store = Store::start().await;
    let server = Server::plain("i-1").await;
    store.configure(1, &["unsafe"]);
    store.list_server(&server, "app", Some("ready"));
    let ip = address().to_string();
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("router.jsonc");
    std::fs::write(&file, settings(store.addr, &ip)).expect("settings");
    // The pipe of the standard output stays open, and nobody reads it.
    let child = Command::new(env!("CARGO_BIN_EXE_hyssop-router"))
        .arg(&file)
        .stdout(Stdio::piped())
        .spawn()
        .expect("the router starts");
    let mut router = Process(child);
    let request = "GET /-/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    let start = Instant::now();
    let ready = format!("{ip}:8001").parse().expect("an address");
    while exchange(ready, request.as_bytes()).await.is_none_or(|answer| answer.status != 200) {
        assert!(start.elapsed() < REQUEST_TIMEOUT * 5, "the router did not become ready");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let callers = format!("{ip}:8000").parse().expect("an address");
    let mut connection = Connection::open(callers).await.expect("a connection");
    for number in 0..REQUEST_COUNT {
        let text = format!(
            "POST /unsafe/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r-{number}\r\nDeadline-Ms: 4000\r\nContent-Length: 0\r\n\r\n"
        );
        let answer = tokio::time::timeout(REQUEST_TIMEOUT, connection.call(&text)).await;
        let answer = answer.expect("in time").expect("an answer");
        assert!(answer.status == 200 && answer.whole, "{number}: {answer:?}");
    }
    let metrics = format!("{ip}:8003").parse().expect("an address");
    let request = "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    let text = exchange(metrics, request.as_bytes()).await.expect("metrics").body;
    for name in ["requests_accepted_total", "queue_seconds", "store_calls_total", "resident_bytes"]
    {
        assert!(text.contains(name), "{name} is not in {text}");
    }
    drop(connection);
    let pid = Pid::from_raw(i32::try_from(router.0.id()).expect("an id"));
    kill(pid, Signal::SIGTERM).expect("the signal is sent");
    let start = Instant::now();
    while router.0.try_wait().expect("its state").is_none() {
        assert!(start.elapsed() < EXIT_TIMEOUT, "the router does not exit");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
