//! A relay for datagrams and connections to one address, which can be cut or slowed down.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;
use tokio::sync::watch;

/// Forwards datagrams and connections to its target, unless it is cut.
#[derive(Debug)]
pub struct Relay {
    /// The address that it listens on.
    pub address: SocketAddr,
    target: watch::Sender<Option<SocketAddr>>,
    cut: Arc<AtomicBool>,
    severed: watch::Sender<u64>,
    /// Delay of each chunk in milliseconds.
    chunk_delay: Arc<AtomicU64>,
}

/// Bytes that a slow relay forwards at once.
const CHUNK: usize = 32 << 10;

impl Relay {
    /// Starts a relay without a target, which delays each datagram by `delay`.
    pub async fn start(delay: Duration) -> Self {
        let (listener, socket) = loop {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            if let Ok(socket) = UdpSocket::bind(address).await {
                break (listener, socket);
            }
        };
        let relay = Self {
            address: listener.local_addr().unwrap(),
            target: watch::Sender::new(None),
            cut: Arc::default(),
            severed: watch::Sender::new(0),
            chunk_delay: Arc::default(),
        };
        tokio::spawn(datagrams(
            socket,
            relay.target.subscribe(),
            Arc::clone(&relay.cut),
            delay,
        ));
        tokio::spawn(connections(
            listener,
            relay.target.subscribe(),
            Arc::clone(&relay.cut),
            relay.severed.subscribe(),
            Arc::clone(&relay.chunk_delay),
        ));
        relay
    }

    /// Sets the address to forward to.
    pub fn target(&self, address: SocketAddr) {
        self.target.send_replace(Some(address));
    }

    /// Makes it wait for `chunk_delay` before each chunk of at most [`CHUNK`] bytes, on connections
    /// accepted from now on.
    pub fn slow(&self, chunk_delay: Duration) {
        let chunk_delay = u64::try_from(chunk_delay.as_millis()).unwrap();
        self.chunk_delay.store(chunk_delay, Ordering::SeqCst);
    }

    /// Cuts or restores it; open connections break.
    pub fn cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
        self.severed.send_modify(|count| *count += 1);
    }
}

async fn datagrams(
    socket: UdpSocket,
    target: watch::Receiver<Option<SocketAddr>>,
    cut: Arc<AtomicBool>,
    delay: Duration,
) {
    let socket = Arc::new(socket);
    let mut buffer = vec![0; 65_536];
    loop {
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        let to = *target.borrow();
        if let Some(to) = to
            && !cut.load(Ordering::SeqCst)
        {
            let socket = Arc::clone(&socket);
            let bytes = buffer[..length].to_vec();
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                // A failed send is like a lost datagram.
                let _ = socket.send_to(&bytes, to).await;
            });
        }
    }
}

async fn connections(
    listener: TcpListener,
    target: watch::Receiver<Option<SocketAddr>>,
    cut: Arc<AtomicBool>,
    severed: watch::Receiver<u64>,
    chunk_delay: Arc<AtomicU64>,
) {
    loop {
        let Ok((mut inner, _)) = listener.accept().await else {
            continue;
        };
        let to = *target.borrow();
        let Some(to) = to.filter(|_| !cut.load(Ordering::SeqCst)) else {
            continue;
        };
        let mut severed = severed.clone();
        severed.borrow_and_update();
        let chunk_delay = Duration::from_millis(chunk_delay.load(Ordering::SeqCst));
        tokio::spawn(async move {
            let Ok(mut outer) = TcpStream::connect(to).await else {
                return;
            };
            tokio::select! {
                () = forward(&mut inner, &mut outer, chunk_delay) => {}
                _ = severed.changed() => {}
            }
        });
    }
}

/// Forwards both directions until one of them ends.
async fn forward(inner: &mut TcpStream, outer: &mut TcpStream, chunk_delay: Duration) {
    if chunk_delay.is_zero() {
        // When one side breaks, both are dropped; the error needs no handling.
        let _ = tokio::io::copy_bidirectional(inner, outer).await;
        return;
    }
    let (mut from_inner, mut to_inner) = inner.split();
    let (mut from_outer, mut to_outer) = outer.split();
    tokio::select! {
        () = forward_slowly(&mut from_inner, &mut to_outer, chunk_delay) => {}
        () = forward_slowly(&mut from_outer, &mut to_inner, chunk_delay) => {}
    }
}

async fn forward_slowly(
    from: &mut (impl AsyncRead + Unpin),
    to: &mut (impl AsyncWrite + Unpin),
    chunk_delay: Duration,
) {
    let mut buffer = vec![0; CHUNK];
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        tokio::time::sleep(chunk_delay).await;
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
