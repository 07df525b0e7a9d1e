//! The datagrams between one machine and the others. The machine and the others know each other by addresses of this
//! program, `127.0.0.2N` for `127.0.0.1N`, so that their links can be cut: nothing passes while the file `CUT` exists.

use std::net::UdpSocket;
use std::thread;

use crate::proxy::cut_file;

/// The largest datagram.
const MAX_DATAGRAM: usize = 64 << 10;

fn bind(host: u8, port: &str) -> UdpSocket {
    UdpSocket::bind(format!("127.0.0.{host}:{port}")).expect("the address is free")
}

/// Passes on what arrives, to the address that `target` tells for the last part of the sender's.
fn pass(from: &UdpSocket, target: impl Fn(u8) -> Option<(UdpSocket, String)>) {
    let cut = cut_file().expect("CUT is set");
    let mut buffer = vec![0; MAX_DATAGRAM];
    while let Ok((length, sender)) = from.recv_from(&mut buffer) {
        let std::net::IpAddr::V4(address) = sender.ip() else {
            continue;
        };
        if cut.exists() {
            continue;
        }
        if let Some((socket, address)) = target(address.octets()[3]) {
            let _ = socket.send_to(&buffer[..length], address);
        }
    }
}

/// `datagrams PORT MACHINE OTHER...`: the last parts of the addresses, from 11 to 19.
pub fn run(arguments: &[&str]) {
    let port = arguments[0].to_string();
    let hosts: Vec<u8> = arguments[1..]
        .iter()
        .map(|host| host.parse().expect("a number"))
        .collect();
    let (machine, others) = (hosts[0], &hosts[1..]);
    let of_machine = bind(machine + 10, &port);
    let of_others: Vec<(u8, UdpSocket)> = others
        .iter()
        .map(|host| (*host, bind(host + 10, &port)))
        .collect();
    let clone = |socket: &UdpSocket| socket.try_clone().expect("a socket can be cloned");
    for (host, socket) in &of_others {
        let (socket, sender) = (clone(socket), clone(&of_machine));
        let target = format!("127.0.0.{host}:{port}");
        thread::spawn(move || {
            pass(&socket, |_| {
                Some((sender.try_clone().ok()?, target.clone()))
            });
        });
    }
    let target = format!("127.0.0.{machine}:{port}");
    pass(&of_machine, |sender| {
        let (_, socket) = of_others.iter().find(|(host, _)| *host == sender)?;
        Some((socket.try_clone().ok()?, target.clone()))
    });
}
