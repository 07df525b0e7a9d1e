//! Tests of the configuration in force: checkpoints, peers, partitions. A change must be in force on all
//! nodes within seconds, and no node may return to an older state.

mod support;

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use pimento_contract::State;
use pimento_contract::change::Checkpoint;
use pimento_contract::change::Entry;
use pimento_contract::service::Fencing;
use pimento_coordination::Mesh;
use pimento_coordination::configuration::ReadMode;
use pimento_coordination::configuration::Settings;
use pimento_coordination::configuration::Source;
use pimento_coordination::mesh;
use pimento_coordination::mesh::Handler;
use pimento_units::Offset;
use pimento_wire::peer::Answer;
use pimento_wire::peer::Call;
use support::eventually;
use support::key;
use support::memory::Memory;
use support::nodes::Node;
use support::nodes::Plan;
use support::nodes::STREAM;
use support::nodes::change;
use support::nodes::publish;
use support::nodes::subject;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Jitter of checkpoints in the tests that check them.
const JITTER: Duration = Duration::from_millis(50);

async fn three_zones(log: &Memory) -> Vec<Node> {
    let mut nodes = Vec::new();
    for (name, zone) in [("a", "trebon"), ("b", "hluboka"), ("c", "vodnany")] {
        let plan = Plan::new(name, zone).seeded(&nodes);
        nodes.push(plan.start(log.link()).await);
    }
    for node in &nodes {
        node.sees(2).await;
    }
    nodes
}

async fn ready(source: &Source) {
    eventually("ready", async || source.ready().then_some(())).await;
}

/// Waits for some more reads, during which the source must not become ready.
async fn stays_unready(node: &Node) {
    let reads = node.link.reads(STREAM);
    eventually("some more reads", async || {
        (node.link.reads(STREAM) > reads + 3).then_some(())
    })
    .await;
    assert!(!node.source.ready());
}

/// A checkpoint of the state after all records of the stream.
fn checkpoint(log: &Memory) -> Checkpoint {
    let mut state = State::default();
    for record in log.records(STREAM) {
        match serde_json::from_str(&record) {
            Ok(Entry::Change(change)) => drop(state.apply(state.offset, &change)),
            Ok(Entry::Checkpoint(_)) | Err(_) => state.skip(state.offset),
        }
    }
    Checkpoint::of(&state)
}

fn text(checkpoint: Checkpoint) -> String {
    serde_json::to_string(&Entry::Checkpoint(checkpoint)).unwrap()
}

#[tokio::test]
async fn change_is_in_force_in_all_zones() {
    let log = Memory::default();
    let nodes = three_zones(&log).await;
    publish(&log, 0..3);
    for node in &nodes {
        node.reaches(3).await;
        assert_eq!(node.source.current(), nodes[0].source.current());
        ready(&node.source).await;
    }
}

/// A zone loses the platform but not the neighbouring zones. Changes reach it through them, and its
/// reported age does not grow beyond theirs.
#[tokio::test]
async fn zone_cut_off_from_the_platform_stays_current_through_its_neighbours() {
    let log = Memory::default();
    let nodes = three_zones(&log).await;
    publish(&log, 0..1);
    nodes[2].reaches(1).await;
    nodes[2].cut_log(true);
    publish(&log, 1..4);
    nodes[2].reaches(4).await;
    assert_eq!(nodes[2].source.current(), nodes[0].source.current());
    let now = Instant::now();
    eventually("report of a later read", async || {
        (Instant::now() - nodes[2].source.age() > now).then_some(())
    })
    .await;
}

/// Each zone is cut off from the others and from the platform. Each keeps its state and reports its
/// age, and none applies a change that was published meanwhile. After the partition all agree.
#[tokio::test]
async fn zone_cut_off_from_all_keeps_its_state_and_says_its_age() {
    let log = Memory::default();
    let nodes = three_zones(&log).await;
    publish(&log, 0..2);
    for node in &nodes {
        node.reaches(2).await;
        node.cut_log(true);
        node.relay.cut(true);
    }
    publish(&log, 2..4);
    for node in &nodes {
        node.sees(0).await;
        let age = node.source.age();
        eventually("age grows", async || {
            (node.source.age() > age + Duration::from_millis(200)).then_some(())
        })
        .await;
        assert_eq!(node.offset(), 2);
        assert!(node.source.ready());
    }
    for node in &nodes {
        node.relay.cut(false);
    }
    nodes[0].cut_log(false);
    for node in &nodes {
        node.reaches(4).await;
        assert_eq!(node.source.current(), nodes[0].source.current());
    }
}

/// Two zones can reach only each other. They report to each other how current they are, with delayed
/// datagrams. Their ages must still grow, and not stay at the transit time of one datagram.
#[tokio::test]
async fn two_cut_off_zones_do_not_refresh_each_other() {
    let delay = Duration::from_millis(100);
    let log = Memory::default();
    let plan = |name, zone| Plan {
        delay,
        ..Plan::new(name, zone)
    };
    let mut nodes = vec![plan("a", "trebon").start(log.link()).await];
    let second = plan("b", "hluboka").seeded(&nodes);
    nodes.push(second.start(log.link()).await);
    publish(&log, 0..1);
    for node in &nodes {
        node.sees(1).await;
        node.reaches(1).await;
    }
    for node in &nodes {
        node.cut_log(true);
    }
    let cut = Instant::now();
    let span = 20 * delay;
    eventually("a long cut", async || (cut.elapsed() > span).then_some(())).await;
    for node in &nodes {
        assert!(node.source.age() > span / 2, "{:?}", node.source.age());
    }
}

/// A VM is replaced during an outage of the log. The new one starts with a neighbour's state. Without
/// the log and neighbours it must not become ready.
#[tokio::test]
async fn new_node_starts_from_peers_while_the_log_is_out() {
    let log = Memory::default();
    let nodes = three_zones(&log).await;
    publish(&log, 0..3);
    nodes[0].reaches(3).await;
    ready(&nodes[0].source).await;
    log.outage(Some(Duration::from_millis(10)));

    let alone = Plan::new("x", "trebon").start(log.link()).await;
    stays_unready(&alone).await;
    assert_eq!(alone.offset(), 0);

    let new = Plan::new("y", "trebon")
        .seeded(&nodes)
        .start(log.link())
        .await;
    ready(&new.source).await;
    new.reaches(3).await;
    assert_eq!(new.source.current(), nodes[0].source.current());
}

/// A node that was cut off for long still has an old state. A new node that can reach the log but
/// receives that state first must never count as ready with it.
#[tokio::test]
async fn stale_peer_does_not_make_a_new_node_ready() {
    let log = Memory::default();
    publish(&log, 0..1);
    let stale = Plan::new("a", "trebon").start(log.link()).await;
    stale.reaches(1).await;
    ready(&stale.source).await;
    stale.cut_log(true);
    publish(&log, 1..5);
    let peers = [stale];
    // The log's first answer takes longer than the discovery of the peer.
    let link = log.slow_link(Duration::from_millis(300));
    let new = Plan::new("b", "trebon").seeded(&peers).start(link).await;
    // When it becomes ready, its state is complete.
    eventually("ready", async || {
        let ready = new.source.ready();
        ready.then(|| assert_eq!(new.offset(), 5))
    })
    .await;
}

/// A node starts, discovers peers with states of different ages, reads the log, and is cut off from it
/// for a while. The state in force on it never returns to a lower offset.
#[tokio::test]
async fn state_in_force_never_goes_back() {
    let log = Memory::default();
    let mut nodes = three_zones(&log).await;
    publish(&log, 0..2);
    nodes[1].reaches(2).await;
    nodes[1].cut_log(true);
    nodes[1].relay.cut(true);
    publish(&log, 2..10);
    let new = Plan::new("n", "hluboka")
        .seeded(&nodes)
        .start(log.link())
        .await;
    let mut changed = new.source.subscribe();
    let watch = tokio::spawn(async move {
        let mut offsets = vec![changed.borrow_and_update().offset];
        while changed.changed().await.is_ok() {
            let offset = changed.borrow_and_update().offset;
            offsets.push(offset);
            if offset == Offset(14) {
                break;
            }
        }
        offsets
    });
    new.reaches(10).await;
    new.cut_log(true);
    nodes[1].relay.cut(false);
    publish(&log, 10..13);
    new.reaches(13).await;
    nodes.remove(0).kill();
    new.cut_log(false);
    publish(&log, 13..14);
    let offsets = tokio::time::timeout(support::BOUND, watch).await;
    let offsets = offsets.unwrap().unwrap();
    assert!(offsets.is_sorted(), "{offsets:?}");
}

/// The log has dropped old records when a VM is replaced, and there is no peer. The new one must start
/// from the valid checkpoint, and skip an invalid one before it and one that leaves a gap.
#[tokio::test]
async fn new_node_starts_from_a_checkpoint_when_retention_has_passed() {
    let log = Memory::default();
    publish(&log, 0..4);
    let early = checkpoint(&log);
    publish(&log, 4..8);
    let right = checkpoint(&log);
    let mut wrong = right.clone();
    wrong.state = State::default();
    wrong.state.offset = wrong.offset;
    let first = log.put(STREAM, [text(early), text(wrong)]);
    log.retain(STREAM, first);

    let new = Plan::new("a", "trebon").start(log.link()).await;
    stays_unready(&new).await;
    assert_eq!(new.offset(), 0);

    let mut state = right.state;
    state.skip(Offset(8));
    state.skip(Offset(9));
    log.put(STREAM, [text(Checkpoint::of(&state))]);
    publish(&log, 20..22);
    ready(&new.source).await;
    new.reaches(13).await;
    assert_eq!(new.source.current().items().len(), 10);
    assert_eq!(new.source.invalid_checkpoints(), 1);
}

/// A checkpoint of the stream matches its own hash but not the records before it. A node that has the
/// records must ignore and count the checkpoint.
#[tokio::test]
async fn wrong_checkpoint_changes_nothing_where_the_records_are_known() {
    let log = Memory::default();
    let node = Plan::new("a", "trebon").start(log.link()).await;
    publish(&log, 0..3);
    let mut other = State::default();
    other.skip(Offset(2));
    let mut ahead = State::default();
    ahead.skip(Offset(90));
    log.put(
        STREAM,
        [text(Checkpoint::of(&other)), text(Checkpoint::of(&ahead))],
    );
    publish(&log, 3..4);
    node.reaches(6).await;
    assert_eq!(node.source.current().items().len(), 4);
    assert_eq!(node.source.invalid_checkpoints(), 2);
}

fn checkpoints(log: &Memory) -> Vec<Checkpoint> {
    let records = log.records(STREAM);
    let entries = records.iter().filter_map(|r| serde_json::from_str(r).ok());
    entries
        .filter_map(|entry| match entry {
            Entry::Checkpoint(checkpoint) => Some(checkpoint),
            Entry::Change(_) => None,
        })
        .collect()
}

/// All nodes follow the stream and each may write a checkpoint, without an election. After enough
/// changes there must be a valid one, and at most one from each node.
#[tokio::test]
async fn checkpoints_are_written_after_some_changes() {
    let log = Memory::default();
    publish(&log, 0..1);
    log.put(STREAM, [text(checkpoint(&log))]);
    let plan = |name, zone| Plan {
        settings: Settings {
            checkpoint_changes: 5,
            checkpoint_jitter: JITTER,
            ..Plan::new(name, zone).settings
        },
        ..Plan::new(name, zone)
    };
    let mut nodes = vec![plan("a", "trebon").start(log.link()).await];
    nodes.push(plan("b", "hluboka").seeded(&nodes).start(log.link()).await);
    publish(&log, 1..5);
    for node in &nodes {
        node.reaches(6).await;
    }
    assert_eq!(checkpoints(&log).len(), 1, "four changes are not enough");
    publish(&log, 5..6);
    let written = eventually("a checkpoint", async || checkpoints(&log).get(1).cloned()).await;
    assert!(written.offset >= Offset(7));
    assert!(written.into_state().is_ok());
    let end = u64::try_from(log.records(STREAM).len()).unwrap();
    for node in &nodes {
        node.reaches(end).await;
        assert_eq!(node.source.invalid_checkpoints(), 0);
    }
    assert!(checkpoints(&log).len() <= 3, "at most one from each node");
}

/// No change is published for longer than the log retains records. Checkpoints must still be written,
/// since the log would otherwise drop the last one.
#[tokio::test]
async fn checkpoints_are_written_again_on_a_quiet_stream() {
    let log = Memory::default();
    publish(&log, 0..1);
    let mut plan = Plan::new("a", "trebon");
    plan.settings.checkpoint_interval = Duration::from_millis(100);
    plan.settings.checkpoint_jitter = JITTER;
    let node = plan.start(log.link()).await;
    eventually("three checkpoints", async || {
        (checkpoints(&log).len() >= 3).then_some(())
    })
    .await;
    assert_eq!(node.source.invalid_checkpoints(), 0);
}

/// One node reads the log for its zone, and the others get each change from it. When it dies, another
/// node takes over.
#[tokio::test]
async fn zone_follows_its_reader_and_the_successor() {
    let log = Memory::default();
    let mut nodes: Vec<Node> = Vec::new();
    for name in ["a", "b", "c"] {
        let mut plan = Plan::new(name, "trebon").seeded(&nodes);
        plan.settings.read_mode = ReadMode::Assigned;
        plan.settings.max_age = Duration::from_secs(3);
        nodes.push(plan.start(log.link()).await);
    }
    for node in &nodes {
        node.sees(2).await;
        ready(&node.source).await;
    }
    publish(&log, 0..3);
    for node in &nodes {
        node.reaches(3).await;
    }
    let reader = nodes[0].mesh.assigned(mesh::Duty::Reader);
    let at = nodes.iter().position(|n| *n.mesh.node() == reader).unwrap();
    nodes.remove(at).kill();
    publish(&log, 3..5);
    for node in &nodes {
        node.reaches(5).await;
        assert_eq!(node.source.current(), nodes[0].source.current());
    }
}

/// Starts a peer that reports `offset` and answers calls with `handler`.
async fn fake_peer(seed: &Node, offset: u64, handler: impl Handler) -> Mesh {
    let listen = "127.0.0.1:0".parse().unwrap();
    let name = "fake".parse().unwrap();
    let zone = "trebon".parse().unwrap();
    let mut settings = mesh::Settings::new(name, zone, listen, key());
    settings.seeds = vec![seed.mesh.address()];
    settings.interval = Duration::from_millis(20);
    let config = mesh::Config::try_from(settings).unwrap();
    let (mesh, listener) = Mesh::bind(config, CancellationToken::new()).await.unwrap();
    listener.serve(handler);
    mesh.update_status(|status| status.offset = Offset(offset));
    mesh
}

/// Answers each pull with a state that does not match its hash.
struct WrongHash;

impl Handler for WrongHash {
    async fn handle(&self, _call: Call) -> Answer {
        let mut checkpoint = Checkpoint::of(&State::default());
        checkpoint.offset = Offset(50);
        checkpoint.state.offset = Offset(50);
        let checkpoint = serde_json::to_string(&checkpoint).unwrap();
        Answer::State { checkpoint }
    }
}

#[tokio::test]
async fn state_from_a_peer_with_a_wrong_hash_is_ignored() {
    let log = Memory::default();
    publish(&log, 0..1);
    let node = Plan::new("a", "trebon").start(log.link()).await;
    node.reaches(1).await;
    let _peer = fake_peer(&node, 50, WrongHash).await;
    eventually("a wrong state was received", async || {
        (node.source.invalid_checkpoints() > 0).then_some(())
    })
    .await;
    assert_eq!(node.offset(), 1);
}

/// Answers the first pull with the state after three records, after the caller has read six and is then
/// cut off from the log.
struct Late {
    log: Memory,
    link: Memory,
    caller: Source,
    calls: Arc<AtomicU64>,
}

impl Handler for Late {
    async fn handle(&self, _call: Call) -> Answer {
        if self.calls.fetch_add(1, Ordering::SeqCst) > 0 {
            return Answer::Nothing;
        }
        publish(&self.log, 1..3);
        let checkpoint = serde_json::to_string(&checkpoint(&self.log)).unwrap();
        publish(&self.log, 3..6);
        let mut states = self.caller.subscribe();
        let has_six = states.wait_for(|state| state.offset == Offset(6));
        assert!(has_six.await.is_ok());
        self.link.cut(true);
        Answer::State { checkpoint }
    }
}

/// A node pulls a newer state from a peer. Before the answer arrives, the node reads still newer records
/// from the log. The late answer must not restore the older state.
#[tokio::test]
async fn late_answer_of_a_peer_does_not_restore_an_older_state() {
    let log = Memory::default();
    publish(&log, 0..1);
    let node = Plan::new("a", "trebon").start(log.link()).await;
    node.reaches(1).await;
    let calls = Arc::new(AtomicU64::new(0));
    let late = Late {
        log: log.clone(),
        link: node.link.clone(),
        caller: node.source.clone(),
        calls: Arc::clone(&calls),
    };
    let _peer = fake_peer(&node, 50, late).await;
    eventually("further pulls after the late answer", async || {
        (calls.load(Ordering::SeqCst) > 5).then_some(())
    })
    .await;
    assert_eq!(node.offset(), 6);
}

/// Two operators publish a change of one pool based on the same revision. All nodes must accept the same
/// one, including a node that gets the changes from a peer.
#[tokio::test]
async fn concurrent_changes_have_the_same_outcome_on_all_nodes() {
    let log = Memory::default();
    let nodes = three_zones(&log).await;
    nodes[2].cut_log(true);
    let records = [
        change(1, "pool", 0, Fencing::Refuses),
        change(2, "pool", 1, Fencing::Ignores),
        change(3, "pool", 1, Fencing::Refuses),
        change(2, "pool", 1, Fencing::Ignores),
    ];
    log.put(STREAM, records);
    for node in &nodes {
        node.reaches(4).await;
        let state = node.source.current();
        assert_eq!(state.revision(&subject("pool")).0, 2);
        assert_eq!(state.hash(), nodes[0].source.current().hash());
    }
}
