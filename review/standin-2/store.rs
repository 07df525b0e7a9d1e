//! The platform's store: a log whose newest record of each key is kept. It loses nothing and answers at once.
//!
//! At its second address it tells other addresses, of replicas `127.0.0.9` for `127.0.0.1`, and takes other ones. All
//! programs of a play are on one network, so that only thus one machine has links of its own, which can be cut.

use std::collections::HashMap;
use std::env;
use std::fmt::Write as _;
use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Message;
use crate::http::read_head;
use crate::http::read_request;
use crate::names::name;

type Topic = Vec<Vec<u8>>;

#[derive(Default)]
struct Store {
    topics: Mutex<HashMap<String, Topic>>,
    grown: Condvar,
}

/// `store ADDRESS [SECOND ADDRESS]`
pub fn run(arguments: &[&str]) {
    let listener = TcpListener::bind(arguments[0]).expect("the store's address is free");
    let store = Arc::new(Store::default());
    if let Some(second) = arguments.get(1) {
        let second = TcpListener::bind(second).expect("the store's second address is free");
        let store = Arc::clone(&store);
        thread::spawn(move || listen(&second, &store, true));
    }
    listen(&listener, &store, false);
}

fn listen(listener: &TcpListener, store: &Arc<Store>, translated: bool) {
    for stream in listener.incoming().flatten() {
        let store = Arc::clone(store);
        thread::spawn(move || store.serve(stream, translated));
    }
}

/// What is told of a record to a machine with links of its own: of replicas their addresses at its links; with
/// `MACHINES` set, of machines those at which it knows them, 127.0.0.2N for 127.0.0.1N, but for its own, 127.0.0.15.
fn tell(topic: &str, record: &[u8]) -> Vec<u8> {
    if topic.starts_with(name("servers")) {
        return replace(record, |bytes| {
            let own: [u8; 10] = *b"127.0.0.9:";
            (bytes == b"127.0.0.1:").then_some(own)
        });
    }
    if env::var_os("MACHINES").is_none() {
        return record.to_vec();
    }
    replace(record, |bytes| match *bytes {
        [127, 0, 0, host @ 11..=14] => Some([127, 0, 0, host + 10]),
        [127, 0, 0, 25] => Some([127, 0, 0, 15]),
        _ => None,
    })
}

/// What is kept of a record of that machine: the address at which the others know it.
fn kept(record: &[u8]) -> Vec<u8> {
    if env::var_os("MACHINES").is_none() {
        return record.to_vec();
    }
    replace(record, |bytes| {
        (*bytes == [127, 0, 0, 15]).then_some([127, 0, 0, 25])
    })
}

fn replace<const N: usize>(record: &[u8], change: impl Fn(&[u8; N]) -> Option<[u8; N]>) -> Vec<u8> {
    let mut changed = record.to_vec();
    for (place, window) in record.windows(N).enumerate() {
        let window = window.try_into().expect("a window of this size");
        if let Some(bytes) = change(window) {
            changed[place..place + N].copy_from_slice(&bytes);
        }
    }
    changed
}

/// `put ADDRESS KEY FILE`: writes an operator's record.
pub fn put(arguments: &[&str]) {
    let value = std::fs::read(arguments[2]).expect("the value can be read");
    let answer = append(arguments[0], name("operators"), arguments[1], &value);
    answer.expect("the store accepts the record");
}

/// Appends one record of a key to a topic. No value removes the key.
pub fn append(store: &str, topic: &str, key: &str, value: &[u8]) -> io::Result<()> {
    let mut record = Vec::new();
    let length = u32::try_from(1 + key.len() + value.len()).unwrap_or_default();
    record.extend(length.to_be_bytes());
    record.push(u8::try_from(key.len()).unwrap_or_default());
    record.extend(key.as_bytes());
    record.extend(value);
    let mut stream = TcpStream::connect(store)?;
    let path = name("append");
    write!(
        stream,
        "POST {path}?topic={topic}&part=0 HTTP/1.1\r\nHost: store\r\nContent-Length: {}\r\n\r\n",
        record.len()
    )?;
    stream.write_all(&record)?;
    let head = read_head(&mut BufReader::new(stream))?;
    match head {
        Some(head) if head.first.contains(" 200 ") => Ok(()),
        _ => Err(io::Error::other("the store refused a record")),
    }
}

impl Store {
    fn serve(&self, stream: TcpStream, translated: bool) {
        let _ = stream.set_nodelay(true);
        let Ok(clone) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(clone);
        let mut stream = stream;
        while let Ok(Some(request)) = read_request(&mut reader) {
            let (status, body) = self.answer(&request, translated);
            let head = format!(
                "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            let mut bytes = head.into_bytes();
            bytes.extend(body);
            if stream.write_all(&bytes).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message, translated: bool) -> (&'static str, Vec<u8>) {
        let path = request.target().split('?').next().unwrap_or_default();
        let topic = request.query("topic").unwrap_or_default();
        let part = request.query("part").unwrap_or_default();
        let topic = format!("{topic}/{part}");
        if path == name("append") {
            self.append(&topic, request, translated)
        } else if path == name("read") {
            self.read(&topic, request, translated)
        } else if path == name("newest") {
            ("200 OK", self.newest(&topic, translated))
        } else {
            ("404 Not Found", Vec::new())
        }
    }

    fn append(&self, topic: &str, request: &Message, translated: bool) -> (&'static str, Vec<u8>) {
        let mut topics = self.topics.lock().expect("no panic");
        let records = topics.entry(topic.to_string()).or_default();
        let first = records.len();
        if let Some(at) = request.query("at")
            && at != first.to_string()
        {
            let body = format!("{{\"end_offset\":{first}}}");
            return ("412 Precondition Failed", body.into_bytes());
        }
        let mut rest = &request.body[..];
        while let Some((length, more)) = rest.split_first_chunk::<4>() {
            let length = u32::from_be_bytes(*length) as usize;
            let record = &more[..length];
            records.push(if translated {
                kept(record)
            } else {
                record.to_vec()
            });
            rest = &more[length..];
        }
        let body = format!("{{\"offset\":{first},\"end_offset\":{}}}", records.len());
        self.grown.notify_all();
        ("200 OK", body.into_bytes())
    }

    fn read(&self, topic: &str, request: &Message, translated: bool) -> (&'static str, Vec<u8>) {
        let number = |key| request.query(key).and_then(|text| text.parse().ok());
        let from: usize = number("from").unwrap_or(0);
        let wait = u64::try_from(number("wait_ms").unwrap_or(0)).unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait);
        let mut topics = self.topics.lock().expect("no panic");
        loop {
            let records = topics.entry(topic.to_string()).or_default();
            let left = end.saturating_duration_since(Instant::now());
            if records.len() > from || left.is_zero() {
                let mut body = Vec::new();
                body.extend((records.len() as u64).to_be_bytes());
                body.extend(0_u64.to_be_bytes());
                for record in records.iter().skip(from) {
                    let record = if translated {
                        tell(topic, record)
                    } else {
                        record.clone()
                    };
                    let length = u32::try_from(record.len()).unwrap_or_default();
                    body.extend(length.to_be_bytes());
                    body.extend(&record);
                }
                return ("200 OK", body);
            }
            let waited = self.grown.wait_timeout(topics, left);
            topics = waited.expect("no panic").0;
        }
    }

    fn newest(&self, topic: &str, translated: bool) -> Vec<u8> {
        let mut topics = self.topics.lock().expect("no panic");
        let records = topics.entry(topic.to_string()).or_default();
        let mut newest: Vec<(String, &[u8], usize)> = Vec::new();
        for (offset, record) in records.iter().enumerate() {
            let length = usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..=length]).into_owned();
            newest.retain(|(known, _, _)| *known != key);
            if record.len() > 1 + length {
                newest.push((key, &record[1 + length..], offset));
            }
        }
        newest.sort();
        let mut body = String::from("{\"items\":[");
        for (place, (key, value, offset)) in newest.iter().enumerate() {
            let comma = if place > 0 { "," } else { "" };
            let value = if translated {
                base64(&tell(topic, value))
            } else {
                base64(value)
            };
            let _ = write!(
                body,
                "{comma}{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}"
            );
        }
        let _ = write!(
            body,
            "],\"has_more\":false,\"end_offset\":{}}}",
            records.len()
        );
        body.into_bytes()
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let number = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for place in 0..4 {
            let digit = (number >> (18 - 6 * place)) as usize & 63;
            let shown = place <= chunk.len();
            text.push(if shown {
                char::from(DIGITS[digit])
            } else {
                '='
            });
        }
    }
    text
}
