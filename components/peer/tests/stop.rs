//! Guards against a crash at shutdown: a socket that is freed while its contexts still use it.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use peer::{Client, listen};
use tokio::runtime::Builder;
use tokio::sync::watch;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// A shutdown that frees the socket too early fails only sometimes, so it is repeated.
const REPETITIONS: usize = 100;

async fn echo(message: Bytes) -> Bytes {
    message
}

/// Serves one request; the runtime then drops the server's socket and its workers in any order.
fn serve_and_shut_down() {
    let runtime =
        Builder::new_multi_thread().worker_threads(4).enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let (stop, stopped) = watch::channel(false);
        let any_port: SocketAddr = "127.0.0.1:0".parse().expect("a valid address");
        let server = listen(any_port).expect("a free port");
        let addr = server.addr();
        server.serve(stopped, echo).expect("the socket is bound");
        let answer =
            Client::default().request(addr, Bytes::from_static(b"1"), REQUEST_TIMEOUT).await;
        assert_eq!(answer, Ok(Bytes::from_static(b"1")));
        drop(stop);
    });
}

#[test]
fn the_runtime_can_shut_down_while_the_server_stops() {
    for _ in 0..REPETITIONS {
        serve_and_shut_down();
    }
}
