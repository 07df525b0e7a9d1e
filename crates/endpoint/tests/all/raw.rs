//! A server that sends fixed bytes on each connection, for responses that no library would send.

use std::net::SocketAddr;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Sends `answer` on every connection when a request has arrived, then closes it.
pub async fn start(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 4_096];
            let _ = stream.read(&mut request).await;
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    });
    address
}

/// Sends `start` on every connection when a request has arrived, then `piece` until the client closes the connection.
/// The receiver counts the connections that were closed.
pub async fn flood(start: &'static str, piece: &'static str) -> (SocketAddr, watch::Receiver<u32>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (closed, receiver) = watch::channel(0);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let closed = closed.clone();
            tokio::spawn(async move {
                let mut request = [0; 4_096];
                let _ = stream.read(&mut request).await;
                let batch = piece.repeat(1 + BATCH_BYTES / piece.len());
                let mut sent = stream.write_all(start.as_bytes()).await;
                while sent.is_ok() {
                    sent = stream.write_all(batch.as_bytes()).await;
                }
                closed.send_modify(|count| *count += 1);
            });
        }
    });
    (address, receiver)
}

/// Bytes that a flood sends together.
const BATCH_BYTES: usize = 16 << 10;

/// An address on which nothing listens.
pub async fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}
