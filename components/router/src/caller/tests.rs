//! Tests of the connection of a caller.

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use super::*;

async fn connect() -> (TcpStream, CallerConnection) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let addr = listener.local_addr().expect("an address");
    let (client, accepted) = tokio::join!(TcpStream::connect(addr), listener.accept());
    (
        client.expect("a connection"),
        CallerConnection::new(accepted.expect("a connection").0, Arc::default()),
    )
}

/// Waits until data or a close has arrived, without reading it.
async fn wait_for_arrival(caller: &CallerConnection) {
    caller.stream.readable().await.expect("readable");
}

#[tokio::test]
async fn an_open_connection_is_not_reported_as_closed() {
    let (mut client, mut caller) = connect().await;
    assert!(!caller.is_closed());
    client.write_all(b"ab").await.expect("written");
    wait_for_arrival(&caller).await;
    assert!(!caller.is_closed());
    let mut read = [0; 2];
    caller.read_exact(&mut read).await.expect("read");
    assert_eq!(&read, b"ab");
}

#[tokio::test]
async fn a_close_is_detected_after_the_data_before_it_was_read() {
    let (mut client, mut caller) = connect().await;
    client.write_all(b"a").await.expect("written");
    drop(client);
    wait_for_arrival(&caller).await;
    let mut read = [0; 1];
    caller.read_exact(&mut read).await.expect("read");
    // The close may arrive a little after the byte.
    tokio::time::timeout(std::time::Duration::from_secs(5), async {
        while !caller.is_closed() {
            tokio::task::yield_now().await;
        }
    })
    .await
    .expect("the close is detected");
}

#[tokio::test]
async fn an_idle_connection_is_no_request() {
    let (mut client, caller) = connect().await;
    let waited = tokio::time::timeout(Duration::from_millis(50), caller.wait_for_request()).await;
    assert!(waited.is_err(), "{waited:?}");
    client.write_all(b"x").await.expect("written");
    assert!(caller.wait_for_request().await.expect("no error"));
    // What has arrived can still be read.
    let (mut caller, mut byte) = (caller, [0]);
    caller.read_exact(&mut byte).await.expect("read");
    drop(client);
    assert!(!caller.wait_for_request().await.expect("no error"));
}
