//! Stopping while messages come.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use peer::{Client, listen};
use tokio::runtime::Builder;
use tokio::sync::watch;

const LIMIT: Duration = Duration::from_secs(10);
/// A stop that frees a socket under its contexts does not fail each time.
const ROUNDS: usize = 100;

async fn echo(message: Bytes) -> Bytes {
    message
}

/// Serves and asks; the server's socket and its workers end in any order with the runtime.
fn serve_and_end() {
    let runtime =
        Builder::new_multi_thread().worker_threads(4).enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let (stop, stopped) = watch::channel(false);
        let any: SocketAddr = "127.0.0.1:0".parse().expect("a right address");
        let server = listen(any).expect("a free port");
        let addr = server.addr();
        server.serve(stopped, echo).expect("the socket is bound");
        let answer = Client::default().request(addr, Bytes::from_static(b"1"), LIMIT).await;
        assert_eq!(answer, Ok(Bytes::from_static(b"1")));
        drop(stop);
    });
}

#[test]
fn can_end_the_process_while_its_server_stops() {
    for _ in 0..ROUNDS {
        serve_and_end();
    }
}
