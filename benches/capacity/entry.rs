//! Measures one entry VM: the delay that it adds, its throughput, and memory and processor time of
//! open streams.

use std::net::SocketAddr;
use std::process::Command;
use std::process::Output;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use pimento_contract::contract::Key;
use serde_json::json;
use tokio::runtime::Runtime;
use tokio::sync::watch;

use crate::fit::Points;
use crate::fit::number;
use crate::process::Program;

const SECRET: &str = "capacity-key";
const VERSION: &str = "pimento-mini@1";
/// Number of requests in a measurement of the delay.
const REQUESTS: usize = 2_000;
/// Number of callers in a measurement of the throughput. Each has one request in flight at a time.
const CALLERS: usize = 64;
/// Duration of a measurement of throughput or of open streams.
const DURATION: Duration = Duration::from_secs(8);

/// Ports of the first entry VM. The second one uses the port after each.
const CALLERS_PORT: u16 = 28_080;
const OPERATORS_PORT: u16 = 28_090;
const PEERS_PORT: u16 = 28_070;

type Http = Client<HttpConnector, Full<Bytes>>;

/// An engine and an entry VM that forwards to it, with the platform they need, as processes.
struct Bench {
    engine: SocketAddr,
    entry: Program,
    callers: SocketAddr,
    client: Http,
    _platform: Vec<Program>,
}

impl Bench {
    /// Starts the processes and waits until the entry VM serves. `settings` are the engine's.
    fn start(runtime: &Runtime, settings: &str) -> Self {
        let mut platform = Vec::new();
        let mut standin = |arguments: &[&str]| {
            let mut command = Command::new(env!("CARGO_BIN_EXE_pimento-standin"));
            command.args(arguments);
            let (program, address) = Program::ready(command);
            platform.push(program);
            address
        };
        let log = standin(&["log"]);
        let rater = standin(&["rater"]);
        let engine = standin(&[
            "engine",
            "--name",
            "engine-0",
            "--versions",
            VERSION,
            "--settings",
            settings,
        ]);
        let list = json!([{
            "name": "engine-0",
            "zone": "kig-remera",
            "address": engine.to_string(),
            "role": {"engine": "pimento-llm"},
            "leaving": false,
        }]);
        let vms = standin(&["vm-list"]);
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(CALLERS)
            .build_http();
        runtime.block_on(put(
            &client,
            vms,
            "/vms",
            json!({ "vms": list }).to_string(),
        ));
        let published = publish(log);
        assert!(published.status.success(), "{published:?}");
        let entry = |number: u16| {
            let mut command = Command::new(env!("CARGO_BIN_EXE_pimento-entry"));
            command
                .env("PIMENTO_NODE", format!("entry-{number}"))
                .env("PIMENTO_ZONE", "kig-remera")
                .env("PIMENTO_LISTEN", at(CALLERS_PORT + number).to_string())
                .env(
                    "PIMENTO_OPERATORS_LISTEN",
                    at(OPERATORS_PORT + number).to_string(),
                )
                .env("PIMENTO_PEER_LISTEN", at(PEERS_PORT + number).to_string())
                .env("PIMENTO_PEERS", at(PEERS_PORT + 1 - number).to_string())
                .env("PIMENTO_LOG_ADDRESS", log.to_string())
                .env("PIMENTO_VMS_ADDRESS", vms.to_string())
                .env("PIMENTO_RATER_ADDRESS", rater.to_string())
                .env("PIMENTO_PEER_KEY", "a secret that peers share")
                .env("PIMENTO_SESSION_KEY", "a secret of entry VMs")
                .env("PIMENTO_LOG_LEVEL", "warn");
            Program::start(command)
        };
        // The first one stores copies of its bills at the second one, as in any deployment.
        platform.push(entry(1));
        let bench = Self {
            engine,
            entry: entry(0),
            callers: at(CALLERS_PORT),
            client,
            _platform: platform,
        };
        runtime.block_on(bench.wait_until_serving());
        bench
    }

    async fn wait_until_serving(&self) {
        let deadline = Instant::now() + Duration::from_secs(30);
        while Instant::now() < deadline {
            if let Some((_, 200)) = timed(&self.client, self.callers, false, 1).await {
                return;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        panic!("the entry VM does not serve");
    }
}

fn at(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn publish(log: SocketAddr) -> Output {
    let key = Key::of(SECRET);
    let text = format!(
        r#"
[[pool]]
name = "pimento-llm"
[[version]]
id = "{VERSION}"
pool = "pimento-llm"
quality = 0.99
price = {{ input = "0.40", output = "1.20" }}
[[contract]]
customer = "bench"
keys = ["{key}"]
weight = 1
spend = {{ limit = "100000000", period = "30d" }}
services = []
[[contract.class]]
name = "stock"
versions = ["{VERSION}"]
quality = 0.8
priority = 0
timeout = "10m"
output = 1000
"#
    );
    let file = std::env::temp_dir().join(format!("pimento-capacity-{}.toml", std::process::id()));
    std::fs::write(&file, text).expect("the temporary folder takes files");
    let output = Command::new(env!("CARGO_BIN_EXE_pimentoctl"))
        .arg("publish")
        .arg(&file)
        .env("PIMENTO_LOG_ADDRESS", log.to_string())
        .output()
        .expect("pimentoctl starts");
    std::fs::remove_file(file).expect("it is there");
    output
}

async fn put(client: &Http, address: SocketAddr, path: &str, body: String) {
    let request = Request::put(format!("http://{address}{path}"))
        .body(Full::from(body))
        .expect("a request");
    let answer = client.request(request).await.expect("answered");
    assert!(answer.status().is_success(), "{answer:?}");
}

fn chat(address: SocketAddr, stream: bool, tokens: u64) -> Request<Full<Bytes>> {
    // An entry VM expects a class as the model, an engine a version.
    let model = if address.port() == CALLERS_PORT {
        "stock"
    } else {
        VERSION
    };
    let body = json!({
        "model": model,
        "messages": [{"role": "user", "content": "how many drums of degreaser are left?"}],
        "stream": stream,
        "max_tokens": tokens,
    });
    Request::post(format!("http://{address}/v1/chat/completions"))
        .header("authorization", format!("Bearer {SECRET}"))
        .header("content-type", "application/json")
        .header("attempt-id", uuid::Uuid::now_v7().to_string())
        .body(Full::from(body.to_string()))
        .expect("a request")
}

async fn open(client: &Http, address: SocketAddr, stream: bool, tokens: u64) -> Option<Incoming> {
    let answer = client.request(chat(address, stream, tokens)).await.ok()?;
    answer.status().is_success().then(|| answer.into_body())
}

/// Sends a request. Returns the times to the first and the last byte of the body, and the status.
async fn timed(
    client: &Http,
    address: SocketAddr,
    stream: bool,
    tokens: u64,
) -> Option<([Duration; 2], u16)> {
    let started = Instant::now();
    let answer = client.request(chat(address, stream, tokens)).await.ok()?;
    let status = answer.status().as_u16();
    let mut body = answer.into_body();
    body.frame().await?.ok()?;
    let first = started.elapsed();
    while let Some(frame) = body.frame().await {
        frame.ok()?;
    }
    Some(([first, started.elapsed()], status))
}

/// Prints the response times with and without the entry VM, and its throughput.
pub fn path() {
    let runtime = Runtime::new().expect("threads can be had");
    let settings = r#"{"batch":512,"waiting":512,"prompt_us":0,"token_us":1000,"crowding":0}"#;
    let bench = Bench::start(&runtime, settings);
    for (what, stream, tokens) in [("whole", false, 8), ("streamed", true, 8)] {
        for (through, address) in [("engine alone", bench.engine), ("entry", bench.callers)] {
            let mut times = runtime.block_on(delays(&bench.client, address, stream, tokens));
            for (place, which) in ["first byte", "last byte"].into_iter().enumerate() {
                times.sort_by_key(|pair| pair[place]);
                let at = |share: usize| times[times.len() * share / 100][place];
                println!(
                    "{what}, {through}, {which}: 50% {:?}, 95% {:?}",
                    at(50),
                    at(95)
                );
            }
        }
    }
    let before = bench.entry.cpu();
    let served = runtime.block_on(throughput(&bench, DURATION));
    let used = bench.entry.cpu().saturating_sub(before);
    let rate = number(served) / DURATION.as_secs_f64();
    let each = used.as_secs_f64() * 1e6 / number(served);
    println!("whole answers of 8 tokens from {CALLERS} callers: {rate:.0} a second");
    println!("  processor time of the entry VM: {each:.0} us a request");
    println!("  memory: {} MB", bench.entry.memory() >> 20);
}

async fn delays(
    client: &Http,
    address: SocketAddr,
    stream: bool,
    tokens: u64,
) -> Vec<[Duration; 2]> {
    let mut times = Vec::with_capacity(REQUESTS);
    for _ in 0..REQUESTS {
        let answer = timed(client, address, stream, tokens).await;
        let (pair, status) = answer.expect("answered");
        assert_eq!(status, 200);
        times.push(pair);
    }
    times
}

async fn throughput(bench: &Bench, long: Duration) -> u64 {
    let end = Instant::now() + long;
    let callers = (0..CALLERS).map(|_| {
        let client = bench.client.clone();
        let address = bench.callers;
        tokio::spawn(async move {
            let mut served = 0;
            while Instant::now() < end {
                let answer = timed(&client, address, false, 8).await;
                served += u64::from(answer.is_some_and(|(_, status)| status == 200));
            }
            served
        })
    });
    let mut served = 0;
    for caller in callers.collect::<Vec<_>>() {
        served += caller.await.expect("it runs");
    }
    served
}

/// Prints memory and processor time of open streams.
pub fn streams() {
    let runtime = Runtime::new().expect("threads can be had");
    // One token every half second, so that streams stay open for long, as with a loaded engine.
    let settings = r#"{"batch":9000,"waiting":0,"prompt_us":0,"token_us":500000,"crowding":0}"#;
    let mut memory = Points::default();
    let mut cpu = Points::default();
    for count in [100, 1_000, 2_000, 4_000, 8_000_u64] {
        let bench = Bench::start(&runtime, settings);
        let (bytes, used, open) = runtime.block_on(measure_streams(&bench, count));
        memory.add("open streams", number(open), "kB", number(bytes / 1_024));
        let tokens = number(open) * 2.0 * DURATION.as_secs_f64();
        let each = used.as_secs_f64() * 1e6 / tokens;
        cpu.add(
            "open streams",
            number(open),
            "us of processor a token",
            each,
        );
    }
    memory.print("open stream", "kB");
}

/// Number of streams opened at once. Opening all at once would measure the entry VM's queue instead
/// of its streams.
const BATCH_SIZE: u64 = 50;
/// Time between batches of streams.
const BATCH_INTERVAL: Duration = Duration::from_millis(100);

/// Opens `count` streams and reads them. Returns the memory, the processor time used in
/// [`DURATION`] and the number of streams that were open until the end.
async fn measure_streams(bench: &Bench, count: u64) -> (u64, Duration, u64) {
    let (sender, stop) = watch::channel(false);
    let mut readers = Vec::new();
    for number in 0..count {
        let client = bench.client.clone();
        let address = bench.callers;
        let stop = stop.clone();
        readers.push(tokio::spawn(read(client, address, stop)));
        if number % BATCH_SIZE == BATCH_SIZE - 1 {
            tokio::time::sleep(BATCH_INTERVAL).await;
        }
    }
    // Wait until the last streams have their first token.
    tokio::time::sleep(Duration::from_secs(3)).await;
    let before = bench.entry.cpu();
    tokio::time::sleep(DURATION).await;
    let used = bench.entry.cpu().saturating_sub(before);
    let memory = bench.entry.memory();
    sender.send_replace(true);
    let mut open = 0;
    for reader in readers {
        open += u64::from(reader.await.expect("it runs"));
    }
    println!("  {count} wanted, {open} open to the end");
    (memory, used, open)
}

/// Reads one stream until `stop` changes. Returns whether it was open until then.
async fn read(client: Http, address: SocketAddr, mut stop: watch::Receiver<bool>) -> bool {
    let Some(mut body) = open(&client, address, true, 1_000).await else {
        return false;
    };
    loop {
        tokio::select! {
            frame = body.frame() => if !matches!(frame, Some(Ok(_))) { return false },
            _ = stop.changed() => return true,
        }
    }
}
