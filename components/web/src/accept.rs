//! Accepts connections, also after the process has had no descriptor for them.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};

/// How long to wait after an error, which tends to last, such as a lack of descriptors.
const ERROR_PAUSE: Duration = Duration::from_millis(50);

/// Accepts the connections of a listener.
#[derive(Debug)]
pub struct Acceptor {
    listener: TcpListener,
    is_failing: bool,
    log_change: fn(Option<&io::Error>),
}

impl Acceptor {
    /// Accepts the connections of a listener. `log_change` is called when that begins to fail, with the error, and once it works again.
    pub fn new(listener: TcpListener, log_change: fn(Option<&io::Error>)) -> Self {
        Self { listener, is_failing: false, log_change }
    }

    /// The next connection; waits while none can be accepted.
    pub async fn accept(&mut self) -> (TcpStream, SocketAddr) {
        loop {
            let accepted = self.listener.accept().await;
            if self.is_failing != accepted.is_err() {
                self.is_failing = accepted.is_err();
                (self.log_change)(accepted.as_ref().err());
            }
            match accepted {
                Ok(connection) => return connection,
                Err(_) => tokio::time::sleep(ERROR_PAUSE).await,
            }
        }
    }
}
