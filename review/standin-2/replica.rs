//! A replica: registers itself in the store, while the file `CUT` does not exist, and answers requests. A stream has `EVENTS` events, `GAP` ms apart,
//! and ends with its connection if `FRAMING` is `end`, or
//! `mixed` and the attempt's id ends with `e`; else it comes in chunks.

use std::env;
use std::fs::OpenOptions;
use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http::Message;
use crate::http::read_request;
use crate::names::name;
use crate::proxy::cut_file;
use crate::proxy::wait_for_link;
use crate::store;

struct Replica {
    id: String,
    events: u64,
    gap: Duration,
    framing: String,
    record: String,
}

fn number(variable: &str, default: u64) -> u64 {
    let value = env::var(variable).ok();
    value.and_then(|text| text.parse().ok()).unwrap_or(default)
}

pub fn unix_millis() -> u128 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis()
}

/// Appends a line to a file of what happened.
pub fn note(path: &str, line: &str) {
    let file = OpenOptions::new().create(true).append(true).open(path);
    if let Ok(mut file) = file {
        let _ = file.write_all(format!("{} {line}\n", unix_millis()).as_bytes());
    }
}

/// `replica ADDRESS STORE ID RECORD ENTRY`: ENTRY is the registration, with `BORN` for the start.
pub fn run(arguments: &[&str]) {
    let [address, store, id, record, entry] = arguments[..] else {
        panic!("five arguments");
    };
    let listener = TcpListener::bind(address).expect("the replica's address is free");
    let entry = entry.replace("BORN", &unix_millis().to_string());
    let replica = Arc::new(Replica {
        id: id.to_string(),
        events: number("EVENTS", 30),
        gap: Duration::from_millis(number("GAP", 100)),
        framing: env::var("FRAMING").unwrap_or_default(),
        record: record.to_string(),
    });
    note(record, &format!("replica {id}: started at {address}"));
    let (store, key) = (store.to_string(), id.to_string());
    thread::spawn(move || {
        loop {
            if let Some(cut) = cut_file() {
                wait_for_link(&cut);
            }
            let _ = store::append(&store, name("servers"), &key, entry.as_bytes());
            thread::sleep(Duration::from_millis(1_200));
        }
    });
    for stream in listener.incoming().flatten() {
        let replica = Arc::clone(&replica);
        thread::spawn(move || replica.serve(stream));
    }
}

impl Replica {
    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(clone) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(clone);
        let mut stream = stream;
        while let Ok(Some(request)) = read_request(&mut reader) {
            match self.answer(&request, &mut stream) {
                Ok(true) => {}
                _ => return,
            }
        }
    }

    /// Answers a request. Returns whether the connection stays open.
    fn answer(&self, request: &Message, stream: &mut TcpStream) -> io::Result<bool> {
        let id = &self.id;
        if request.method() == "GET" && request.target() == "/healthz" {
            let instance = name("instance");
            write!(
                stream,
                "HTTP/1.1 200 OK\r\n{instance}: {id}\r\nContent-Length: 0\r\n\r\n"
            )?;
            return Ok(true);
        }
        if request
            .header(name("expect"))
            .is_some_and(|expected| expected != id)
        {
            let instance = name("instance");
            write!(
                stream,
                "HTTP/1.1 421 Misdirected Request\r\n{instance}: {id}\r\nContent-Length: 0\r\n\r\n"
            )?;
            return Ok(true);
        }
        let Some(attempt) = request.header(name("attempt")) else {
            let not_run = name("not_run");
            write!(
                stream,
                "HTTP/1.1 400 Bad Request\r\n{not_run}: 1\r\nContent-Length: 0\r\n\r\n"
            )?;
            return Ok(true);
        };
        let from = request
            .header(name("resume"))
            .and_then(|last| last.parse().ok());
        let first = from.map_or(0, |last: u64| last + 1);
        note(
            &self.record,
            &format!("replica {id}: runs {attempt} from event {first}"),
        );
        let ends_with_connection = match self.framing.as_str() {
            "end" => true,
            "mixed" => attempt.ends_with('e'),
            _ => false,
        };
        let framing = if ends_with_connection {
            "Connection: close"
        } else {
            "Transfer-Encoding: chunked"
        };
        let (attempt_id, signature) = (name("attempt"), name("signature"));
        write!(
            stream,
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{attempt_id}: {attempt}\r\n{signature}: {id}.{attempt}\r\n{framing}\r\n\r\n"
        )?;
        for event in first..self.events {
            let text = format!("id: {event}\ndata: piece {event} of {attempt}\n\n");
            if ends_with_connection {
                stream.write_all(text.as_bytes())?;
            } else {
                write!(stream, "{:x}\r\n{text}\r\n", text.len())?;
            }
            note(
                &self.record,
                &format!("replica {id}: {attempt} event {event}"),
            );
            thread::sleep(self.gap);
        }
        note(&self.record, &format!("replica {id}: finished {attempt}"));
        if !ends_with_connection {
            write!(stream, "0\r\n\r\n")?;
        }
        Ok(!ends_with_connection)
    }
}
