//! Case 2: a client names no limit for an answer, and the VM that reads its request answers nobody any more.

#[path = "../standin/common.rs"]
mod common;

use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::process::exit;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use common::Answer;
use common::Connection;
use common::Deployment;
use common::Log;
use common::Message;
use common::Record;
use common::wire;

/// Two machines in each zone, and twelve clients.
const ZONES: [&str; 6] = ["trebon", "trebon", "hluboka", "hluboka", "vodnany", "vodnany"];
const CLIENTS: usize = 36;
/// Pause of a client between two requests.
const PAUSE: Duration = Duration::from_millis(900);
/// `timeout_ms` of the plain routes, and how much later an answer counts as none.
const TIMEOUT: Duration = Duration::from_millis(4_000);
const LATE: Duration = Duration::from_millis(500);
/// How long a client waits for an answer, or for the first event of a stream: four times its objective.
const DEADLINE: Duration = Duration::from_millis(6_000);
const PATIENCE: Duration = Duration::from_millis(8_000);
/// When the request without a limit is sent, and when the other clients stop.
const TROUBLE_AT: Duration = Duration::from_secs(4);
const END: Duration = Duration::from_secs(24);
/// Prompt tokens and the largest number of output tokens, of an ordinary request and of one without a limit.
const ORDINARY: &str = "1460,80";
const UNLIMITED: &str = "1460,18446744073709551615";
const KV_TOKENS: u128 = 428_841;

struct Replica {
    id: String,
    engine: bool,
    runs: Arc<AtomicUsize>,
    record: Arc<Record>,
}

impl Answer for Replica {
    fn answer(&self, request: Message, stream: &mut TcpStream) -> bool {
        let id = request.header(&wire("id")).unwrap_or("").to_string();
        if request.header(&wire("expected")) != Some(self.id.as_str()) {
            return common::respond(stream, "421 Misdirected Request", "", b"");
        }
        let headers = format!("{}: {id}\r\n{}: 3e1b.{}\r\n", wire("id"), wire("signature"), self.id);
        if !self.engine {
            self.runs.fetch_add(1, Ordering::SeqCst);
            thread::sleep(Duration::from_millis(60));
            return common::respond(stream, "200 OK", &headers, format!("order {id}").as_bytes());
        }
        let usage = request.header(&wire("usage")).unwrap_or("0,0").to_string();
        let tokens: u128 = usage.split(',').filter_map(|n| n.trim().parse::<u128>().ok()).sum();
        if tokens > KV_TOKENS {
            self.record.line(format!("engine {} rejects {id} with {usage} tokens as if it were full", self.id));
            let refused = format!("{}: 1\r\nRetry-After: 0.5\r\n", wire("refused"));
            return common::respond(stream, "503 Service Unavailable", &refused, b"");
        }
        self.record.line(format!("engine {} runs {id} with {usage} tokens", self.id));
        let head = format!("HTTP/1.1 200 OK\r\n{headers}Content-Type: text/event-stream\r\nConfidence: 95\r\nTransfer-Encoding: chunked\r\n\r\n");
        let _ = stream.write_all(head.as_bytes());
        for event in 1..=27 {
            thread::sleep(Duration::from_millis(20));
            let text = format!("id: {event}\ndata: piece {event}\n\n");
            if stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).is_err() {
                return false;
            }
        }
        stream.write_all(b"0\r\n\r\n").is_ok()
    }
}

/// The platform's balancer: which machines get new connections.
struct Balancer {
    fronts: Vec<SocketAddr>,
    in_rotation: Vec<AtomicBool>,
}

impl Balancer {
    /// The machine for a new connection of a client.
    fn choose(&self, zone: usize, number: usize) -> usize {
        let ready = |place: &usize| self.in_rotation[*place].load(Ordering::SeqCst);
        let own: Vec<usize> = (2 * zone..2 * zone + 2).filter(ready).collect();
        let all: Vec<usize> = (0..self.fronts.len()).filter(ready).collect();
        let fitting = if own.is_empty() { &all } else { &own };
        fitting.get(number % fitting.len().max(1)).copied().unwrap_or(2 * zone)
    }
}

/// What the clients saw: requests that were served, refused or failed in time, and those of which there was no answer
/// by the route's timeout, and by half a second after it.
#[derive(Default)]
struct Seen {
    served: AtomicUsize,
    other: AtomicUsize,
    late: AtomicUsize,
    unanswered: AtomicUsize,
}

fn client(number: usize, balancer: &Balancer, begun: Instant, record: &Record, seen: &Seen) {
    let mut kept: Option<(usize, Connection)> = None;
    let mut count = 0;
    thread::sleep(PAUSE * number as u32 / CLIENTS as u32);
    while begun.elapsed() < END {
        count += 1;
        let id = format!("{number:04x}{count:08x}");
        let (method, path) = if count % 3 == 0 { ("GET", "/lookups/2f") } else { ("POST", "/orders/2f") };
        let opened = kept.take().map_or_else(
            || {
                let place = balancer.choose(number % 3, number / 3);
                Connection::open(balancer.fronts[place], DEADLINE).map(|connection| (place, connection))
            },
            Ok,
        );
        let Ok((place, mut connection)) = opened else {
            record.line(format!("client {number} can't connect"));
            thread::sleep(PAUSE);
            continue;
        };
        let sent_at = Instant::now();
        let head = common::request(method, path, &id, DEADLINE.as_millis() as u64, 0);
        let answer = connection.send(&head, b"").and_then(|()| connection.response());
        let took = sent_at.elapsed();
        match answer {
            Ok(answer) => {
                let counter = if answer.status() == 200 { &seen.served } else { &seen.other };
                counter.fetch_add(1, Ordering::SeqCst);
                if answer.status() != 200 || took > TIMEOUT {
                    record.line(format!("client {number} gets {} for {id} after {} ms", answer.status(), took.as_millis()));
                }
                if !answer.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close")) {
                    kept = Some((place, connection));
                }
            }
            Err(error) => {
                let machine = format!("edge-{}-{}", ZONES[place], place % 2 + 1);
                record.line(format!("client {number}: NO ANSWER to {method} {path} {id} at {machine} after {} ms: {error}", took.as_millis()));
                if took < TIMEOUT {
                    seen.other.fetch_add(1, Ordering::SeqCst);
                }
            }
        }
        if took > TIMEOUT {
            seen.late.fetch_add(1, Ordering::SeqCst);
            if took > TIMEOUT + LATE {
                seen.unanswered.fetch_add(1, Ordering::SeqCst);
            }
        }
        thread::sleep(PAUSE);
    }
}

/// The client of the stream. It leaves after its patience, and comes back once, on a new connection.
fn chat(balancer: &Balancer, usage: &str, record: &Record) {
    for (attempt, place) in [0, 2].into_iter().enumerate() {
        let id = format!("cafe{attempt:08x}");
        let machine = format!("edge-{}-{}", ZONES[place], place % 2 + 1);
        let head = common::fill(&wire("chat"), &[("id", &id), ("usage", usage), ("deadline", "20000")]);
        record.line(format!("the stream's client sends {id} with {usage} tokens to {machine}"));
        let asked = || -> std::io::Result<Message> {
            let mut connection = Connection::open(balancer.fronts[place], PATIENCE)?;
            connection.send(&head, b"")?;
            connection.response()
        };
        match asked() {
            Ok(answer) => {
                record.line(format!("the stream's client gets {} for {id}, {} bytes", answer.status(), answer.body.len()));
                return;
            }
            Err(error) => record.line(format!("the stream's client gives {id} up: {error}")),
        }
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (program, place, with_trouble) = (&arguments[1], Path::new(&arguments[2]), arguments[3] != "0");
    let record = Record::create(&place.join("record.txt"));
    let folder = common::folder();
    let code = run(program, &folder, &record, with_trouble);
    let _ = std::fs::remove_dir_all(folder);
    exit(code);
}

/// Starts replicas of a service, one in each zone.
fn start_replicas(log: &Log, platform: Ipv4Addr, engine: bool, runs: &Arc<AtomicUsize>, record: &Arc<Record>) {
    let mut beats = Vec::new();
    for (number, zone) in ["trebon", "hluboka", "vodnany"].into_iter().enumerate() {
        let id = format!("i-{}f3a91c{number}", if engine { 9 } else { 7 });
        let listener = TcpListener::bind((platform, 0)).expect("a port is free");
        let address = listener.local_addr().expect("it is bound").to_string();
        let replica = Replica { id: id.clone(), engine, runs: Arc::clone(runs), record: Arc::clone(record) };
        common::serve(listener, Arc::new(replica));
        beats.push((id, address, zone.to_string()));
    }
    let (service, slots) = if engine { ("huvo11a", "64") } else { ("wuno96b", "6") };
    common::beat_for_ever(log, service, slots, beats);
}

fn run(program: &str, folder: &Path, record: &Arc<Record>, with_trouble: bool) -> i32 {
    let ips: Vec<Ipv4Addr> = (1..=6).map(common::machine_ip).collect();
    let platform = common::machine_ip(9);
    let log = Log::start(platform);
    log.put(&wire("operators"), "config", common::CONFIG);
    let runs = Arc::new(AtomicUsize::new(0));
    start_replicas(&log, platform, false, &runs, record);
    start_replicas(&log, platform, true, &runs, record);
    let deployment = Deployment {
        program: program.into(),
        folder: folder.into(),
        log: log.address,
        ports: common::free_ports(&ips),
        zones: ["trebon", "hluboka", "vodnany"].map(str::to_string).to_vec(),
        seeds: ips[..3].to_vec(),
        memory_mb: 110,
    };
    let mut machines: Vec<common::Vm> = Vec::new();
    for (number, (ip, zone)) in ips.iter().zip(ZONES).enumerate() {
        machines.push(deployment.start(&format!("edge-{zone}-{}", number % 2 + 1), zone, *ip));
    }
    if !machines.iter().all(|vm| vm.wait_ready(Duration::from_secs(15))) {
        record.line("a machine did not become ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(2));
    let machines = Arc::new(Mutex::new(machines));
    let balancer = Arc::new(Balancer {
        fronts: machines.lock().unwrap().iter().map(|vm| vm.front).collect(),
        in_rotation: ZONES.iter().map(|_| AtomicBool::new(true)).collect(),
    });
    for place in 0..ZONES.len() {
        let (machines, balancer, record) = (Arc::clone(&machines), Arc::clone(&balancer), Arc::clone(record));
        thread::spawn(move || {
            let (mut misses, ready_at) = (0, machines.lock().unwrap()[place].ready);
            loop {
                misses = if common::is_ready(ready_at) { 0 } else { misses + 1 };
                if balancer.in_rotation[place].swap(misses < 2, Ordering::SeqCst) != (misses < 2) {
                    record.line(format!("edge-{}-{} is {} rotation", ZONES[place], place % 2 + 1, if misses < 2 { "in" } else { "out of" }));
                }
                thread::sleep(Duration::from_secs(1));
            }
        });
    }
    let begun = Instant::now();
    record.line("traffic begins");
    let seen = Arc::new(Seen::default());
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (balancer, record, seen) = (Arc::clone(&balancer), Arc::clone(record), Arc::clone(&seen));
            thread::spawn(move || client(number, &balancer, begun, &record, &seen))
        })
        .collect();
    thread::sleep(TROUBLE_AT);
    chat(&balancer, if with_trouble { UNLIMITED } else { ORDINARY }, record);
    for client in clients {
        let _ = client.join();
    }
    let mut machines = machines.lock().unwrap();
    let running = machines.iter_mut().filter_map(|vm| vm.child.try_wait().ok()).filter(Option::is_none).count();
    // The balancer's threads hold the machines too, so that they would not be dropped at the end.
    machines.iter_mut().for_each(common::Vm::kill);
    let count = |counter: &AtomicUsize| counter.load(Ordering::SeqCst);
    let (late, unanswered) = (count(&seen.late), count(&seen.unanswered));
    record.line(format!(
        "served {}, refused or failed in time {}; without an answer at timeout_ms {late}, half a second later {unanswered}; {running} of 6 processes run; {} runs at plain replicas",
        count(&seen.served),
        count(&seen.other),
        runs.load(Ordering::SeqCst)
    ));
    if count(&seen.served) < 100 {
        record.line("too few requests were served for a verdict");
        return 2;
    }
    let broken = unanswered >= 8 && 2 * unanswered > late;
    record.line(if broken { "CONFIG is broken" } else { "CONFIG held" });
    i32::from(broken)
}
