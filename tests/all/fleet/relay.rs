//! Relays that simulate network partitions between zones, or between a zone and the platform.
//!
//! During a cut a relay holds the bytes of TCP connections and drops datagrams, and neither side
//! gets an error, as in a network that drops packets. When the cut ends, connections go on with the
//! bytes that were held, so that late responses arrive too.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;

/// Zones of a fleet.
pub const ZONES: usize = 3;

/// Which paths are cut. Indexes are zones; `true` means cut.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Cuts {
    /// Between entry VMs of two zones.
    pub peers: [[bool; ZONES]; ZONES],
    /// Between the entry VMs of a zone and the platform.
    pub platform: [bool; ZONES],
    /// Between the entry VMs of the first zone and the endpoints of the second.
    pub endpoints: [[bool; ZONES]; ZONES],
}

impl Cuts {
    /// Cuts a zone off from the platform and from the VMs and endpoints of other zones.
    pub fn isolate(&mut self, zone: usize) {
        self.platform[zone] = true;
        for other in (0..ZONES).filter(|other| *other != zone) {
            for (from, to) in [(zone, other), (other, zone)] {
                self.peers[from][to] = true;
                self.endpoints[from][to] = true;
            }
        }
    }
}

/// A path through a relay.
#[derive(Debug, Clone, Copy)]
pub enum Path {
    /// To an entry VM of this zone, from the zone of the sender's address.
    Peer(usize),
    /// From this zone to the platform.
    Platform(usize),
    /// From the first zone to an endpoint of the second.
    Endpoint(usize, usize),
}

impl Path {
    fn is_cut(self, cuts: &Cuts, from: IpAddr) -> bool {
        match self {
            Self::Peer(zone) => cuts.peers[zone_of(from)][zone],
            Self::Platform(zone) => cuts.platform[zone],
            Self::Endpoint(from, to) => cuts.endpoints[from][to],
        }
    }
}

/// Returns the zone of an address: entry VMs of zone n have addresses `127.x.n.y`.
fn zone_of(address: IpAddr) -> usize {
    match address {
        IpAddr::V4(address) => usize::from(address.octets()[2]),
        IpAddr::V6(_) => 0,
    }
}

/// The current cuts, shared by all relays of a fleet.
pub type Net = Arc<watch::Sender<Cuts>>;

/// Starts a relay for connections to `target` and returns its address.
pub async fn tcp(net: &Net, path: Path, listen: SocketAddr, target: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind(listen).await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    let net = Arc::clone(net);
    tokio::spawn(async move {
        while let Ok((stream, from)) = listener.accept().await {
            let gate = Gate {
                cuts: net.subscribe(),
                path,
                from: from.ip(),
            };
            tokio::spawn(forward(stream, target, gate));
        }
    });
    address
}

/// Starts a relay for datagrams to `target`. Drops those that arrive during a cut.
pub async fn udp(net: &Net, path: Path, listen: SocketAddr, target: SocketAddr) {
    let socket = UdpSocket::bind(listen).await.expect("a free port");
    let cuts = net.subscribe();
    tokio::spawn(async move {
        let mut buffer = [0; 2_048];
        loop {
            let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
                continue;
            };
            let cut = path.is_cut(&cuts.borrow(), from.ip());
            if !cut {
                // Sending fails if the entry VM is down; a dead machine would lose the datagram.
                let _ = socket.send_to(&buffer[..length], target).await;
            }
        }
    });
}

#[derive(Clone)]
struct Gate {
    cuts: watch::Receiver<Cuts>,
    path: Path,
    from: IpAddr,
}

impl Gate {
    async fn wait_until_open(&mut self) {
        let path = self.path;
        let from = self.from;
        let _ = self.cuts.wait_for(|cuts| !path.is_cut(cuts, from)).await;
    }
}

async fn forward(inner: TcpStream, target: SocketAddr, mut gate: Gate) {
    gate.wait_until_open().await;
    let Ok(outer) = TcpStream::connect(target).await else {
        return;
    };
    let _ = inner.set_nodelay(true);
    let _ = outer.set_nodelay(true);
    let (inner_read, inner_write) = inner.into_split();
    let (outer_read, outer_write) = outer.into_split();
    let outward = copy(inner_read, outer_write, gate.clone());
    let inward = copy(outer_read, inner_write, gate);
    // When one side closes, both are closed, so that a killed process breaks its peers'
    // connections.
    tokio::select! {
        () = outward => {}
        () = inward => {}
    }
}

async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mut gate: Gate) {
    let mut buffer = vec![0; 16_384];
    loop {
        let Ok(length) = from.read(&mut buffer).await else {
            return;
        };
        gate.wait_until_open().await;
        if length == 0 || to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
