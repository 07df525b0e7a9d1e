//! Tunnels between a client and an endpoint over real sockets.

use std::net::SocketAddr;
use std::time::Duration;

use pimento_tunnel::Gate;
use pimento_tunnel::Server;
use pimento_tunnel::Tunnel;
use pimento_tunnel::client::Error;
use pimento_tunnel::message::Reply;
use pimento_tunnel::message::Request;
use pimento_tunnel::server::MAX_TUNNELS;
use pimento_units::id;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio_util::task::TaskTracker;

/// Longer than any step of a test takes.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// Connects every tunnel to one address, or declines.
#[derive(Debug, Clone)]
struct OneEndpoint(Result<SocketAddr, Reply>);

impl Gate for OneEndpoint {
    async fn connect(&self, _endpoint: &id::Endpoint) -> Result<TcpStream, Reply> {
        let connected = TcpStream::connect(self.0?).await;
        connected.map_err(|_| Reply::Refused)
    }
}

/// A helper whose tunnels end when it is killed.
struct Helper {
    address: SocketAddr,
    runtime: Option<tokio::runtime::Runtime>,
}

impl Helper {
    /// Starts a helper with threads of its own, so that it can be killed with all of its sockets.
    async fn start(gate: OneEndpoint) -> Self {
        let runtime = tokio::runtime::Runtime::new().unwrap();
        let (sender, receiver) = tokio::sync::oneshot::channel();
        runtime.spawn(async move {
            let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
            sender.send(listener.local_addr().unwrap()).unwrap();
            Server::new(gate, TaskTracker::new()).run(listener).await;
        });
        Self {
            address: receiver.await.unwrap(),
            runtime: Some(runtime),
        }
    }

    async fn open(&self) -> Result<Tunnel, Error> {
        self.open_for(MAX_WAIT).await
    }

    async fn open_for(&self, lifetime: Duration) -> Result<Tunnel, Error> {
        let request = Request {
            endpoint: "i-1".parse().unwrap(),
            lifetime,
        };
        pimento_tunnel::open(self.address, &request, MAX_WAIT).await
    }

    fn kill(&mut self) {
        self.runtime.take().unwrap().shutdown_background();
    }
}

impl Drop for Helper {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// An endpoint that hands its one connection to `serve`.
async fn endpoint<T: Send + 'static, F: Future<Output = T> + Send>(
    serve: impl FnOnce(TcpStream) -> F + Send + 'static,
) -> (SocketAddr, JoinHandle<T>) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let served = tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        serve(stream).await
    });
    (address, served)
}

#[tokio::test]
async fn bytes_pass_unchanged_both_ways() {
    let (address, _served) = endpoint(|mut stream| async move {
        let mut request = vec![0; 300_000];
        stream.read_exact(&mut request).await.unwrap();
        request.reverse();
        stream.write_all(&request).await.unwrap();
    })
    .await;
    let helper = Helper::start(OneEndpoint(Ok(address))).await;
    let mut tunnel = helper.open().await.unwrap();
    let sent: Vec<u8> = (0..=u8::MAX).cycle().take(300_000).collect();
    tunnel.write_all(&sent).await.unwrap();
    let mut received = Vec::new();
    tunnel.read_to_end(&mut received).await.unwrap();
    received.reverse();
    assert!(received == sent);
}

/// Guards against a response without a length that looks complete although its helper was killed.
#[tokio::test]
async fn a_killed_helper_does_not_end_a_response() {
    let (address, _served) = endpoint(|mut stream| async move {
        stream.write_all(b"the first half").await.unwrap();
        tokio::time::sleep(MAX_WAIT).await;
    })
    .await;
    let mut helper = Helper::start(OneEndpoint(Ok(address))).await;
    let mut tunnel = helper.open().await.unwrap();
    let mut half = [0; 14];
    tunnel.read_exact(&mut half).await.unwrap();
    helper.kill();
    let read = tokio::time::timeout(MAX_WAIT, tunnel.read(&mut half)).await;
    assert!(read.unwrap().is_err());
}

/// Guards against a response without a length that looks complete although its endpoint reset it.
#[tokio::test]
async fn a_reset_endpoint_does_not_end_a_response() {
    let (address, _served) = endpoint(|mut stream| async move {
        // Closing with unread bytes resets the connection.
        stream.read_exact(&mut [0; 1]).await.unwrap();
        stream.write_all(b"the first half").await.unwrap();
        tokio::time::sleep(Duration::from_millis(100)).await;
    })
    .await;
    let helper = Helper::start(OneEndpoint(Ok(address))).await;
    let mut tunnel = helper.open().await.unwrap();
    tunnel.write_all(b"unread").await.unwrap();
    let mut received = Vec::new();
    let read = tokio::time::timeout(MAX_WAIT, tunnel.read_to_end(&mut received)).await;
    assert!(read.unwrap().is_err());
}

/// Guards against endpoints that go on with the requests of callers who have left.
#[tokio::test]
async fn closing_a_tunnel_closes_the_connection_to_the_endpoint() {
    let (address, served) =
        endpoint(|mut stream| async move { stream.read(&mut [0; 100]).await.unwrap_or(0) }).await;
    let helper = Helper::start(OneEndpoint(Ok(address))).await;
    drop(helper.open().await.unwrap());
    let read = tokio::time::timeout(MAX_WAIT, served).await;
    assert_eq!(read.unwrap().unwrap(), 0);
}

/// Guards against a helper that buffers without bound what a slow VM does not read.
#[tokio::test]
async fn an_endpoint_is_held_back_by_a_reader_that_stops() {
    const MAX_BUFFERED: usize = 32 << 20;
    let (address, served) = endpoint(|mut stream| async move {
        let piece = vec![0; 64 << 10];
        let mut written = 0;
        while written < MAX_BUFFERED {
            let write = tokio::time::timeout(Duration::from_secs(1), stream.write_all(&piece));
            if write.await.is_err() {
                break;
            }
            written += piece.len();
        }
        written
    })
    .await;
    let helper = Helper::start(OneEndpoint(Ok(address))).await;
    let _unread = helper.open().await.unwrap();
    assert!(served.await.unwrap() < MAX_BUFFERED);
}

/// Guards against tunnels that stay open after the VM that opened them was lost without a word.
#[tokio::test]
async fn a_tunnel_ends_after_its_lifetime() {
    let (address, served) =
        endpoint(|mut stream| async move { stream.read(&mut [0; 100]).await.unwrap_or(0) }).await;
    let helper = Helper::start(OneEndpoint(Ok(address))).await;
    let lifetime = Duration::from_millis(200);
    let _open = helper.open_for(lifetime).await.unwrap();
    let read = tokio::time::timeout(MAX_WAIT, served).await;
    assert_eq!(read.unwrap().unwrap(), 0);
}

/// Guards against a helper that takes more than it can bear, or that makes others wait to hear so.
#[tokio::test]
async fn a_full_helper_declines() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let helper = Helper::start(OneEndpoint(Ok(listener.local_addr().unwrap()))).await;
    let mut open = Vec::new();
    for _ in 0..MAX_TUNNELS {
        let tunnel = helper.open().await.unwrap();
        open.push((tunnel, listener.accept().await.unwrap()));
    }
    let declined = helper.open().await.unwrap_err();
    assert!(
        matches!(declined, Error::Declined { reply: Reply::Busy }),
        "{declined}"
    );
}

#[tokio::test]
async fn the_answer_of_a_helper_that_can_not_connect_is_told() {
    for reply in [Reply::Refused, Reply::TimedOut, Reply::Unable] {
        let helper = Helper::start(OneEndpoint(Err(reply))).await;
        let Err(Error::Declined { reply: told }) = helper.open().await else {
            panic!("not declined");
        };
        assert_eq!(told, reply);
    }
}
