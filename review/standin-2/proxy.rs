//! The link to a replica: passes bytes on both ways. While the file `CUT` exists, it holds up what is on its way,
//! also the end of a connection, and what connects meanwhile is passed on afterwards. With `HANG` set, the link drops
//! what connects while it is cut: its queue of new connections is full, and nobody takes from it.

use std::env;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::thread;
use std::time::Duration;

use crate::replica::note;

/// Time between two looks at whether the link is cut.
const LOOK: Duration = Duration::from_millis(5);

pub fn cut_file() -> Option<PathBuf> {
    env::var_os("CUT").map(PathBuf::from)
}

/// Waits until the link is not cut.
pub fn wait_for_link(cut: &Path) {
    while cut.exists() {
        thread::sleep(LOOK);
    }
}

/// `proxy ADDRESS REPLICA RECORD`
pub fn run(arguments: &[&str]) {
    let [address, replica, record] = arguments[..] else {
        panic!("three arguments");
    };
    let listener = TcpListener::bind(address).expect("the link's address is free");
    let cut = cut_file().expect("CUT is set");
    if env::var_os("HANG").is_some() {
        let (address, cut) = (address.to_string(), cut.clone());
        thread::spawn(move || fill(&address, &cut));
    }
    for caller in listener.incoming().flatten() {
        // While nobody accepts, the queue stays full.
        if env::var_os("HANG").is_some() {
            wait_for_link(&cut);
        }
        let (replica, record, cut) = (replica.to_string(), record.to_string(), cut.clone());
        thread::spawn(move || {
            wait_for_link(&cut);
            let Ok(server) = TcpStream::connect(&replica) else {
                return;
            };
            let (Ok(from_caller), Ok(to_caller)) = (caller.try_clone(), caller.try_clone()) else {
                return;
            };
            let (Ok(from_server), Ok(to_server)) = (server.try_clone(), server.try_clone()) else {
                return;
            };
            let other = cut.clone();
            thread::spawn(move || pass(from_caller, to_server, &other));
            let reset = pass(from_server, to_caller, &cut);
            let how = if reset { "a reset" } else { "an orderly end" };
            note(&record, &format!("link: {how} of the replica's side"));
        });
    }
}

/// Fills the queue of new connections once the link is cut, and keeps it full.
fn fill(address: &str, cut: &Path) {
    let address = address.parse().expect("an address");
    while !cut.exists() {
        thread::sleep(LOOK);
    }
    let mut held = Vec::new();
    while cut.exists() {
        match TcpStream::connect_timeout(&address, Duration::from_millis(50)) {
            Ok(stream) => held.push(stream),
            Err(_) => thread::sleep(Duration::from_millis(100)),
        }
    }
}

/// Passes bytes on until the end. Returns whether that was a reset.
fn pass(mut from: TcpStream, mut to: TcpStream, cut: &Path) -> bool {
    let _ = to.set_nodelay(true);
    let mut buffer = [0; 4096];
    loop {
        let read = from.read(&mut buffer);
        wait_for_link(cut);
        match read {
            Ok(0) => {
                let _ = to.shutdown(Shutdown::Write);
                return false;
            }
            Ok(length) => {
                if to.write_all(&buffer[..length]).is_err() {
                    let _ = from.shutdown(Shutdown::Both);
                    return true;
                }
            }
            Err(_) => {
                let _ = to.shutdown(Shutdown::Both);
                return true;
            }
        }
    }
}
