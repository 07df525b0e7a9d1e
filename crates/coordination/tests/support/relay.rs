//! A relay for datagrams and connections to one address, which can be cut or slow.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;
use tokio::sync::watch;

/// Passes on what is sent to it, unless it is cut.
#[derive(Debug)]
pub struct Relay {
    /// Where it is reached.
    pub address: SocketAddr,
    target: watch::Sender<Option<SocketAddr>>,
    cut: Arc<AtomicBool>,
    severed: watch::Sender<u64>,
}

impl Relay {
    /// A relay that has no target yet and holds each datagram for `delay`.
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
        ));
        relay
    }

    /// Sets where it passes things on to.
    pub fn target(&self, address: SocketAddr) {
        self.target.send_replace(Some(address));
    }

    /// Cuts or heals it; connections that are open break.
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
                // A datagram that is not sent is a datagram lost.
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
        tokio::spawn(async move {
            let Ok(mut outer) = TcpStream::connect(to).await else {
                return;
            };
            tokio::select! {
                _ = tokio::io::copy_bidirectional(&mut inner, &mut outer) => {}
                _ = severed.changed() => {}
            }
        });
    }
}
