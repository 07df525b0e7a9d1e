//! Stand-ins for the cases of the review: the platform's log, replicas, clients, and the program's own processes.
//! Only the standard library is used. Every address is a loopback address.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::io::ErrorKind;
use std::io::Write;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// The operators' configuration.
pub const CONFIG: &str = include_str!("config.json");
const SETTINGS: &str = include_str!("settings.json");
const WIRE: &str = include_str!("wire.txt");

/// A name or text of the platform's pages.
pub fn wire(name: &str) -> String {
    let mut lines = WIRE.lines().filter_map(|line| line.split_once('='));
    let found = lines.find(|(known, _)| *known == name).expect("wire.txt has the name");
    found.1.replace("\\r\\n", "\r\n")
}

/// Puts values in place of names in braces.
pub fn fill(text: &str, values: &[(&str, &str)]) -> String {
    let mut text = text.to_string();
    for (name, value) in values {
        text = text.replace(&format!("{{{name}}}"), value);
    }
    text
}

/// The head of a client's request.
pub fn request(method: &str, path: &str, id: &str, deadline_ms: u64, length: usize) -> String {
    let (deadline, length) = (deadline_ms.to_string(), length.to_string());
    let values = [("method", method), ("path", path), ("id", id), ("deadline", &deadline), ("length", &length)];
    fill(&wire("request"), &values)
}

/// Writes `record.txt`, each line with the milliseconds since the start.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> Arc<Self> {
        let file = Mutex::new(File::create(path).expect("record.txt can be written"));
        Arc::new(Self { start: Instant::now(), file })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:>7} ms  {}", text.as_ref());
    }
}

/// The head and body of a request or response.
#[derive(Clone, Default, Debug)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body has its whole length.
    pub whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

fn invalid(text: &str) -> std::io::Error {
    std::io::Error::new(ErrorKind::InvalidData, text.to_string())
}

/// Reads a message. None at the end of the connection before its first byte.
pub fn read_message(reader: &mut impl BufRead, is_response: bool) -> std::io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.first = line.trim_end().to_string();
    let known = if is_response {
        message.first.starts_with("HTTP/1.1 ")
    } else {
        message.first.ends_with(" HTTP/1.1")
    };
    if !known {
        return Err(invalid(&format!("no first line of a message: {:?}", message.first)));
    }
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(invalid("the head is cut"));
        }
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        let (name, value) = text.split_once(':').ok_or_else(|| invalid("a header without a colon"))?;
        message.headers.push((name.to_string(), value.trim().to_string()));
    }
    let chunked = message.header("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked"));
    if chunked {
        loop {
            line.clear();
            if reader.read_line(&mut line)? == 0 {
                return Err(invalid("a chunk is missing"));
            }
            let size = usize::from_str_radix(line.trim_end(), 16).map_err(|_| invalid("the length of a chunk"))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                break;
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    } else if let Some(length) = message.header("content-length") {
        let length: usize = length.parse().map_err(|_| invalid("content-length"))?;
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        message.body = body;
    } else if is_response && message.status() != 304 && message.status() != 204 {
        reader.read_to_end(&mut message.body)?;
    }
    message.whole = true;
    Ok(Some(message))
}

/// A client's connection.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(address: SocketAddr, timeout: Duration) -> std::io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        stream.set_nodelay(true)?;
        Ok(Self { reader: BufReader::new(stream) })
    }

    pub fn send(&mut self, head: &str, body: &[u8]) -> std::io::Result<()> {
        let stream = self.reader.get_mut();
        stream.write_all(head.as_bytes())?;
        stream.write_all(body)
    }

    pub fn response(&mut self) -> std::io::Result<Message> {
        read_message(&mut self.reader, true)?.ok_or_else(|| ErrorKind::ConnectionAborted.into())
    }

    /// Bytes that have arrived and belong to no answer that was read.
    pub fn left_over(&mut self, wait: Duration) -> Vec<u8> {
        let _ = self.reader.get_mut().set_read_timeout(Some(wait));
        self.reader.fill_buf().map(<[u8]>::to_vec).unwrap_or_default()
    }
}

/// Answers requests: writes to the stream, and returns whether the connection stays open.
pub trait Answer: Send + Sync + 'static {
    fn answer(&self, request: Message, stream: &mut TcpStream) -> bool;
}

/// Serves until the process ends, with one thread a connection.
pub fn serve(listener: TcpListener, service: Arc<dyn Answer>) {
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let service = Arc::clone(&service);
            let _ = stream.set_nodelay(true);
            let run = move || {
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Ok(Some(request)) = read_message(&mut reader, false) {
                    if !service.answer(request, &mut writer) {
                        break;
                    }
                }
                let _ = writer.shutdown(std::net::Shutdown::Both);
            };
            let _ = thread::Builder::new().stack_size(256 << 10).spawn(run);
        }
    });
}

pub fn respond(stream: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> bool {
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(body)).is_ok()
}

fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let at = |i: usize| u32::from(*group.get(i).unwrap_or(&0));
        let bits = at(0) << 16 | at(1) << 8 | at(2);
        for place in 0..4 {
            let sign = SIGNS[(bits >> (18 - 6 * place) & 63) as usize] as char;
            text.push(if place <= group.len() { sign } else { '=' });
        }
    }
    text
}

struct Stored {
    key: String,
    value: Vec<u8>,
    raw: Vec<u8>,
}

/// The platform's log.
#[derive(Clone)]
pub struct Log {
    pub address: SocketAddr,
    shared: Arc<(Mutex<HashMap<String, Vec<Stored>>>, Condvar)>,
}

impl Log {
    pub fn start(ip: Ipv4Addr) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a port is free");
        let address = listener.local_addr().unwrap();
        let log = Self { address, shared: Arc::default() };
        serve(listener, Arc::new(log.clone()));
        log
    }

    /// Appends what the operator or a replica writes.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut raw = vec![key.len() as u8];
        raw.extend(key.as_bytes());
        raw.extend(value.as_bytes());
        self.append(&format!("{topic}/0"), vec![raw]);
    }

    fn append(&self, part: &str, raws: Vec<Vec<u8>>) -> (u64, u64) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        let records = state.entry(part.to_string()).or_default();
        let offset = records.len() as u64;
        for raw in raws {
            let length = usize::from(*raw.first().unwrap_or(&0));
            let key = String::from_utf8_lossy(raw.get(1..=length).unwrap_or(&[])).to_string();
            let value = raw.get(length + 1..).unwrap_or(&[]).to_vec();
            records.push(Stored { key, value, raw });
        }
        let end = records.len() as u64;
        changed.notify_all();
        (offset, end)
    }

    fn newest(&self, part: &str, after: &str) -> String {
        let state = self.shared.0.lock().unwrap();
        let empty = Vec::new();
        let records = state.get(part).unwrap_or(&empty);
        let mut newest: HashMap<&str, (u64, &Stored)> = HashMap::new();
        for (offset, record) in records.iter().enumerate() {
            newest.insert(&record.key, (offset as u64, record));
        }
        let mut keys: Vec<_> = newest.into_iter().filter(|(key, (_, r))| !r.value.is_empty() && *key > after).collect();
        keys.sort_by_key(|(key, _)| key.to_string());
        let more = keys.len() > 500;
        let item = |(key, (offset, record)): &(&str, (u64, &Stored))| {
            format!(r#"{{"key":"{key}","value":"{}","offset":{offset}}}"#, base64(&record.value))
        };
        let items: Vec<String> = keys.iter().take(500).map(item).collect();
        format!(r#"{{"items":[{}],"has_more":{more},"end_offset":{}}}"#, items.join(","), records.len())
    }

    fn read(&self, part: &str, from: u64, wait: Duration) -> Vec<u8> {
        let (state, changed) = &*self.shared;
        let until = Instant::now() + wait;
        let mut state = state.lock().unwrap();
        loop {
            let end = state.get(part).map_or(0, |records| records.len() as u64);
            let now = Instant::now();
            if end > from || now >= until {
                let mut body = end.to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                let records = state.get(part).map_or(&[][..], |records| &records[..]);
                for record in records.iter().skip(from as usize) {
                    if body.len() > 1 << 20 {
                        break;
                    }
                    body.extend((record.raw.len() as u32).to_be_bytes());
                    body.extend(&record.raw);
                }
                return body;
            }
            state = changed.wait_timeout(state, until - now).unwrap().0;
        }
    }
}

impl Answer for Log {
    fn answer(&self, request: Message, stream: &mut TcpStream) -> bool {
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let field = |name: &str| {
            let mut fields = query.split('&').filter_map(|field| field.split_once('='));
            fields.find(|(known, _)| *known == name).map(|(_, value)| value.to_string())
        };
        let number = |name: &str| field(name).and_then(|value| value.parse::<u64>().ok());
        let part = format!("{}/{}", field("topic").unwrap_or_default(), number("part").unwrap_or(0));
        let json = "Content-Type: application/json\r\n";
        match path {
            _ if path == wire("newest") => {
                let after = field("after").unwrap_or_default();
                respond(stream, "200 OK", json, self.newest(&part, &after).as_bytes())
            }
            _ if path == wire("read") => {
                let wait = Duration::from_millis(number("wait_ms").unwrap_or(0).min(30_000));
                let body = self.read(&part, number("from").unwrap_or(0), wait);
                respond(stream, "200 OK", "", &body)
            }
            _ if path == wire("append") => {
                let mut raws = Vec::new();
                let mut rest = &request.body[..];
                while rest.len() >= 4 {
                    let length = u32::from_be_bytes(rest[..4].try_into().unwrap()) as usize;
                    raws.push(rest[4..4 + length].to_vec());
                    rest = &rest[4 + length..];
                }
                let end = self.shared.0.lock().unwrap().get(&part).map_or(0, |records| records.len() as u64);
                if number("at").is_some_and(|at| at != end) {
                    let body = format!(r#"{{"end_offset":{end}}}"#);
                    return respond(stream, "412 Precondition Failed", json, body.as_bytes());
                }
                let (offset, end) = self.append(&part, raws);
                let body = format!(r#"{{"offset":{offset},"end_offset":{end}}}"#);
                respond(stream, "200 OK", json, body.as_bytes())
            }
            _ => respond(stream, "404 Not Found", "", b""),
        }
    }
}

/// A loopback address for a machine of this run.
pub fn machine_ip(number: u8) -> Ipv4Addr {
    let process = std::process::id();
    Ipv4Addr::new(127, 64 + (process >> 8 & 63) as u8, process as u8, number)
}

/// Ports that are free on all machines of the run: front, readiness, control, and the first of sixteen.
pub fn free_ports(machines: &[Ipv4Addr]) -> (u16, u16, u16, u16) {
    let mut base = 20_000 + (std::process::id() % 500) as u16 * 20;
    loop {
        let all = machines.iter().all(|ip| (base..base + 20).all(|port| TcpListener::bind((*ip, port)).is_ok()));
        if all {
            return (base, base + 1, base + 2, base + 3);
        }
        base += 20;
    }
}

/// What all entry VMs of a run share.
pub struct Deployment {
    pub program: PathBuf,
    pub folder: PathBuf,
    pub log: SocketAddr,
    pub ports: (u16, u16, u16, u16),
    pub zones: Vec<String>,
    pub seeds: Vec<Ipv4Addr>,
    pub memory_mb: u64,
}

/// A process of the program.
pub struct Vm {
    pub name: String,
    pub ip: Ipv4Addr,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub child: Child,
}

impl Deployment {
    /// Starts the program as the deploy file and the settings of a small deployment say.
    pub fn start(&self, name: &str, zone: &str, ip: Ipv4Addr) -> Vm {
        let (front, ready, control, first) = self.ports;
        let zones: Vec<String> = self.zones.iter().map(|zone| format!(r#""{zone}":"region""#)).collect();
        let seeds: Vec<String> = self.seeds.iter().map(|ip| format!(r#""{ip}:{control}""#)).collect();
        let text = |port: u16| port.to_string();
        let values = [
            ("name", name),
            ("ip", &ip.to_string()),
            ("zone", zone),
            ("zones", &zones.join(",")),
            ("seeds", &seeds.join(",")),
            ("front", &text(front)),
            ("ready", &text(ready)),
            ("control", &text(control)),
            ("first", &text(first)),
            ("last", &text(first + 15)),
            ("memory", &self.memory_mb.to_string()),
            ("log", &self.log.to_string()),
        ];
        let settings = fill(SETTINGS, &values);
        let path = self.folder.join(format!("{name}.json"));
        std::fs::write(&path, settings).expect("the settings can be written");
        let output = std::fs::OpenOptions::new().create(true).append(true).open(self.folder.join(format!("{name}.log")));
        let child = Command::new(&self.program)
            .env(wire("variable"), &path)
            .stdin(Stdio::null())
            .stdout(output.expect("the output can be written"))
            .stderr(Stdio::null())
            .spawn()
            .expect("the program starts");
        let address = |port| SocketAddr::new(IpAddr::V4(ip), port);
        Vm { name: name.to_string(), ip, front: address(front), ready: address(ready), child }
    }
}

impl Vm {
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let begun = Instant::now();
        while begun.elapsed() < limit {
            if is_ready(self.ready) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Resident memory and its peak, in KiB.
    pub fn memory(&self) -> Option<(u64, u64)> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let field = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name))?;
            line.trim_start_matches(':').trim().trim_end_matches(" kB").trim().parse().ok()
        };
        Some((field("VmRSS")?, field("VmHWM")?))
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Asks a machine whether it is ready, as the platform's balancer does.
pub fn is_ready(address: SocketAddr) -> bool {
    let asked = || -> std::io::Result<u16> {
        let mut connection = Connection::open(address, Duration::from_millis(500))?;
        connection.send("GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n", b"")?;
        Ok(connection.response()?.status())
    };
    asked().is_ok_and(|status| status == 200)
}

/// A folder of this run, outside of the repository.
pub fn folder() -> PathBuf {
    let path = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    std::fs::create_dir_all(&path).expect("a temporary folder");
    path
}

/// Writes the entries of replicas as they do, about every heartbeat. Each is its id, address and zone.
pub fn beat_for_ever(log: &Log, service: &str, slots: &str, replicas: Vec<(String, String, String)>) {
    let log = log.clone();
    let (service, slots) = (service.to_string(), slots.to_string());
    let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let born = since_epoch.map_or(0, |since| since.as_millis()).to_string();
    let mut sequence = 0_u64;
    let beat = move || {
        sequence += 1;
        for (id, address, zone) in &replicas {
            let values = [
                ("service", service.as_str()),
                ("address", address),
                ("zone", zone),
                ("slots", &slots),
                ("state", "ready"),
                ("sequence", &sequence.to_string()),
                ("born", &born),
            ];
            log.put(&wire("servers"), id, &fill(&wire("beat"), &values));
        }
    };
    let mut beat = beat;
    beat();
    thread::spawn(move || loop {
        thread::sleep(Duration::from_millis(1_200));
        beat();
    });
}
