//! Relays that hold what passes between zones, or between a zone and the platform.
//!
//! A cut holds bytes and datagrams, as a network does that drops packets: neither side is told.
//! When it heals, streams go on with what was held, so that late answers arrive as well.

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

/// What is cut. Indexes are zones; `true` means cut.
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
    /// Cuts a zone off from the platform and from all that is in other zones.
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
    /// To an entry VM of this zone; the caller's zone is read off its address.
    Peer(usize),
    /// From this zone to the platform.
    Platform(usize),
    /// From this zone to an endpoint of that zone.
    Endpoint(usize, usize),
}

impl Path {
    fn cut(self, cuts: &Cuts, from: IpAddr) -> bool {
        match self {
            Self::Peer(zone) => cuts.peers[zone_of(from)][zone],
            Self::Platform(zone) => cuts.platform[zone],
            Self::Endpoint(from, to) => cuts.endpoints[from][to],
        }
    }
}

/// Entry VMs of zone n have addresses `127.x.n.y`.
fn zone_of(address: IpAddr) -> usize {
    match address {
        IpAddr::V4(address) => usize::from(address.octets()[2]),
        IpAddr::V6(_) => 0,
    }
}

/// What is cut now, shared by all relays of a fleet.
pub type Net = Arc<watch::Sender<Cuts>>;

/// Starts a relay for connections to `target` and gives its address.
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
            tokio::spawn(pass(stream, target, gate));
        }
    });
    address
}

/// Starts a relay for datagrams to `target`. Those that come during a cut are lost.
pub async fn udp(net: &Net, path: Path, listen: SocketAddr, target: SocketAddr) {
    let socket = UdpSocket::bind(listen).await.expect("a free port");
    let cuts = net.subscribe();
    tokio::spawn(async move {
        let mut buffer = [0; 2_048];
        loop {
            let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
                continue;
            };
            let cut = path.cut(&cuts.borrow(), from.ip());
            if !cut {
                // An entry VM that is down refuses datagrams, as a dead machine would lose them.
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
    async fn open(&mut self) {
        let path = self.path;
        let from = self.from;
        let _ = self.cuts.wait_for(|cuts| !path.cut(cuts, from)).await;
    }
}

async fn pass(inner: TcpStream, target: SocketAddr, mut gate: Gate) {
    gate.open().await;
    let Ok(outer) = TcpStream::connect(target).await else {
        return;
    };
    let _ = inner.set_nodelay(true);
    let _ = outer.set_nodelay(true);
    let (inner_read, inner_write) = inner.into_split();
    let (outer_read, outer_write) = outer.into_split();
    let there = pump(inner_read, outer_write, gate.clone());
    let back = pump(outer_read, inner_write, gate);
    // One side's end ends both, so that a killed process breaks its peers' connections.
    tokio::select! {
        () = there => {}
        () = back => {}
    }
}

async fn pump(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mut gate: Gate) {
    let mut buffer = vec![0; 16_384];
    loop {
        let Ok(length) = from.read(&mut buffer).await else {
            return;
        };
        gate.open().await;
        if length == 0 || to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
