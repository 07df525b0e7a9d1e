//! Measures how soon a change is in force on all nodes, and what idle nodes cost.
//!
//! All nodes run in this process over loopback with an in-memory log, so the figures exclude the
//! latency of links and of the log. Run with `--release`.

#[path = "../tests/support/mod.rs"]
mod support;

use std::time::Duration;

use pimento_contract::State;
use pimento_contract::change::Checkpoint;
use pimento_contract::change::Entry;
use pimento_contract::service::Fencing;
use pimento_coordination::configuration::ReadMode;
use pimento_units::id;
use pimento_wire::Frame;
use pimento_wire::frame::Key;
use pimento_wire::frame::MAX_DATAGRAM;
use pimento_wire::peer::Current;
use pimento_wire::peer::Departure;
use pimento_wire::peer::Heartbeat;
use pimento_wire::peer::LastSeen;
use support::memory::Memory;
use support::nodes::Node;
use support::nodes::Plan;
use support::nodes::STREAM;
use support::nodes::change;
use support::nodes::publish;
use tokio::time::Instant;

const ZONES: [&str; 3] = ["kig-gikondo", "kig-kicukiro", "kig-remera"];
/// Interval between heartbeats, as in the default settings.
const INTERVAL: Duration = Duration::from_secs(1);
/// Kernel clock ticks in a second, the unit of the times in `/proc/self/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

async fn nodes(log: &Memory, count: usize, read_mode: ReadMode) -> Vec<Node> {
    let mut nodes: Vec<Node> = Vec::new();
    for n in 0..count {
        let mut plan = Plan::new(&format!("node-{n}"), ZONES[n % ZONES.len()]);
        plan.seeds = nodes.iter().take(4).map(|n| n.mesh.address()).collect();
        plan.interval = INTERVAL;
        plan.settings.read_mode = read_mode;
        plan.settings.max_age = Duration::from_secs(5);
        nodes.push(plan.start(log.link()).await);
    }
    // All addresses, as the platform's list of VMs would contain them.
    for node in &nodes {
        node.mesh
            .add_addresses(nodes.iter().map(|n| n.mesh.address()));
    }
    tokio::time::sleep(10 * INTERVAL).await;
    nodes
}

/// Publishes changes one by one. Returns the times until each was in force on the last node, sorted.
async fn propagation_times(log: &Memory, nodes: &[Node], from: u64, changes: u64) -> Vec<Duration> {
    let mut times = Vec::new();
    for n in from..from + changes {
        let begin = Instant::now();
        publish(log, n..n + 1);
        for node in nodes {
            node.reaches(n + 1).await;
        }
        times.push(begin.elapsed());
        // Varies the phase relative to the heartbeats.
        tokio::time::sleep(Duration::from_millis(37 * (n % 11))).await;
    }
    times.sort_unstable();
    times
}

fn print(what: &str, times: &[Duration]) {
    let at = |percentile: usize| times[(times.len() * percentile / 100).min(times.len() - 1)];
    println!(
        "{what}: {} changes, 50th percentile {:?}, 95th {:?}, most {:?}",
        times.len(),
        at(50),
        at(95),
        at(100)
    );
}

/// The CPU time of this process so far, in seconds.
fn cpu_seconds() -> f64 {
    let text = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields: Vec<&str> = text.split_whitespace().collect();
    let ticks = |at: usize| fields.get(at).and_then(|f| f.parse().ok()).unwrap_or(0.0);
    (ticks(13) + ticks(14)) / TICKS_PER_SECOND
}

fn float(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

async fn idle(count: usize, read_mode: ReadMode) {
    let log = Memory::default();
    publish(&log, 0..1);
    let nodes = nodes(&log, count, read_mode).await;
    let span = Duration::from_secs(20);
    let before = cpu_seconds();
    let reads = log.reads(STREAM);
    tokio::time::sleep(span).await;
    let seconds = span.as_secs_f64();
    let share = (cpu_seconds() - before) / seconds / float(count);
    let live: usize = nodes.iter().map(|n| n.mesh.peers().len()).sum();
    println!(
        "idle, {count} nodes, {read_mode:?}: {:.3}% of a core a node, {:.2} reads of the log a second in \
         all, {:.1} of {} peers live at a node",
        share * 100.0,
        f64::from(u32::try_from(log.reads(STREAM) - reads).unwrap_or(u32::MAX)) / seconds,
        float(live) / float(count),
        count - 1
    );
    for node in nodes {
        node.kill();
    }
}

fn fold(subjects: u64) {
    let entries: Vec<_> = (0..subjects)
        .map(|n| change(u128::from(n), &format!("pool-{n}"), 0, Fencing::Refuses))
        .collect();
    let begin = Instant::now();
    let mut state = State::default();
    for text in &entries {
        if let Ok(Entry::Change(change)) = serde_json::from_str(text) {
            state.apply(state.offset, &change);
        }
    }
    let folded = begin.elapsed();
    let begin = Instant::now();
    let text = serde_json::to_string(&Checkpoint::of(&state)).unwrap_or_default();
    println!(
        "fold of {subjects} changes: {:?} each with reading; checkpoint {} bytes in {:?}",
        folded / u32::try_from(subjects).unwrap_or(1),
        text.len(),
        begin.elapsed()
    );
}

fn heartbeat(heard: usize, departures: usize) {
    let node = |n: usize| -> id::Node { format!("entry-vm-{n:04}").parse().expect("a name") };
    let departure = |n: usize| Departure {
        endpoint: format!("pimento-llm-{n:04}").parse().expect("a name"),
        incarnation: 1_700_000_000_000,
    };
    let entry = |n: usize| LastSeen {
        node: u32::MAX - u32::try_from(n).unwrap_or(0),
        sequence: 1_700_000_000_000,
    };
    let beat = Heartbeat {
        node: node(0),
        zone: "kig-kicukiro".parse().expect("a name"),
        address: "10.100.100.100:7000".into(),
        sequence: 1_700_000_000_000,
        offset: pimento_units::Offset(1_000_000),
        current: Some(Current {
            at: pimento_units::Wall::from_millis(1_700_000_000_000),
            age_ms: 900,
        }),
        tailing: true,
        leaving: false,
        departures: (0..departures).map(departure).collect(),
        quarantined: Vec::new(),
        last_seen: (0..heard).map(entry).collect(),
        suspicions: Vec::new(),
    };
    match Frame::seal(&beat, &Key::derive("k"), MAX_DATAGRAM) {
        Ok(frame) => println!(
            "heartbeat with {heard} nodes heard of and {departures} departures: {} bytes",
            frame.bytes().len()
        ),
        Err(error) => println!("heartbeat with {heard} and {departures}: {error}"),
    }
}

#[tokio::main]
async fn main() {
    fold(1_200);
    fold(10_000);
    heartbeat(1, 0);
    heartbeat(49, 0);
    heartbeat(49, 8);

    let log = Memory::default();
    let six = nodes(&log, 6, ReadMode::Always).await;
    print(
        "in force, 6 nodes, log in reach",
        &propagation_times(&log, &six, 0, 100).await,
    );
    for node in six.iter().skip(2).step_by(3) {
        node.cut_log(true);
    }
    let times = propagation_times(&log, &six, 100, 40).await;
    print("in force, 6 nodes, one zone cut off from the log", &times);
    for node in six {
        node.kill();
    }

    let log = Memory::default();
    let sixty = nodes(&log, 60, ReadMode::Assigned).await;
    let times = propagation_times(&log, &sixty, 0, 40).await;
    print("in force, 60 nodes, a tailer a zone", &times);
    for node in sixty {
        node.kill();
    }
    for count in [6, 30, 60, 120] {
        idle(count, ReadMode::Assigned).await;
    }
    idle(6, ReadMode::Always).await;
}
