//! Tests of a caller's connection.

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use super::*;

async fn pair() -> (TcpStream, Caller) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let addr = listener.local_addr().expect("an address");
    let (client, accepted) = tokio::join!(TcpStream::connect(addr), listener.accept());
    (client.expect("a connection"), Caller::new(accepted.expect("a connection").0))
}

/// Waits until something has arrived, without reading it.
async fn arrived(caller: &Caller) {
    caller.0.readable().await.expect("readable");
}

#[tokio::test]
async fn is_there_while_the_connection_is_open() {
    let (mut client, mut caller) = pair().await;
    assert!(!caller.gone());
    client.write_all(b"ab").await.expect("written");
    arrived(&caller).await;
    assert!(!caller.gone());
    let mut read = [0; 2];
    caller.read_exact(&mut read).await.expect("read");
    assert_eq!(&read, b"ab");
}

#[tokio::test]
async fn is_gone_as_soon_as_the_close_has_arrived_behind_what_was_read() {
    let (mut client, mut caller) = pair().await;
    client.write_all(b"a").await.expect("written");
    drop(client);
    arrived(&caller).await;
    let mut read = [0; 1];
    caller.read_exact(&mut read).await.expect("read");
    // The close may arrive a little after the byte.
    tokio::time::timeout(std::time::Duration::from_secs(5), async {
        while !caller.gone() {
            tokio::task::yield_now().await;
        }
    })
    .await
    .expect("the close is seen");
}
