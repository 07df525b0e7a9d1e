//! Sealed frames between two processes, here two threads with a TCP connection.
//!
//! `cargo run -p pimento-wire --example sealed`

use std::error::Error;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;

use pimento_wire::Frame;
use pimento_wire::frame::Key;
use pimento_wire::frame::LENGTH_BYTES;
use pimento_wire::frame::MAC_BYTES;
use serde::Deserialize;
use serde::Serialize;

/// Maximum size of a frame in bytes.
const LIMIT: usize = 64 << 10;
const SECRET: &str = "the secret of both";

/// The application's message: any type that implements the `serde` traits.
#[derive(Debug, Serialize, Deserialize)]
struct Stock {
    drums: u32,
    warehouse: u8,
}

type Failure = Box<dyn Error + Send + Sync>;

/// Reads one frame. The length is checked before memory is allocated for it.
fn receive(stream: &mut TcpStream) -> Result<Frame, Failure> {
    let mut length = [0; LENGTH_BYTES];
    stream.read_exact(&mut length)?;
    let length = usize::try_from(u32::from_le_bytes(length))?;
    if length > LIMIT {
        return Err(format!("{length} bytes are too many").into());
    }
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes)?;
    Ok(Frame::receive(bytes, LIMIT)?)
}

fn main() -> Result<(), Failure> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let address = listener.local_addr()?;
    let sender = thread::spawn(move || -> Result<(), Failure> {
        let mut stream = TcpStream::connect(address)?;
        let stock = Stock {
            drums: 12,
            warehouse: 3,
        };
        let frame = Frame::seal(&stock, &Key::derive(SECRET), LIMIT)?;
        println!("{} bytes with the MAC", frame.bytes().len());
        stream.write_all(&frame.length())?;
        Ok(stream.write_all(frame.bytes())?)
    });
    let (mut stream, _) = listener.accept()?;
    let frame = receive(&mut stream)?;
    sender.join().map_err(|_| "the sender panicked")??;

    let key = Key::derive(SECRET);
    println!("opened: {:?}", frame.open::<Stock>(&key)?);
    let stranger = frame.open::<Stock>(&Key::derive("another secret"));
    println!("by another key: {}", text(stranger));
    let mut bytes = frame.bytes().to_vec();
    bytes[MAC_BYTES] ^= 1;
    let changed = Frame::receive(bytes, LIMIT)?.open::<Stock>(&key);
    println!("with one bit changed: {}", text(changed));
    Ok(())
}

fn text(result: Result<Stock, impl Error>) -> String {
    result.map_or_else(|error| error.to_string(), |stock| format!("{stock:?}"))
}
