//! Appends through the zone's appender: fewer appends, and no lost record if it fails.

mod support;

use std::time::Duration;

use futures::future::join_all;
use pimento_coordination::Appender;
use pimento_coordination::Log;
use pimento_coordination::Mesh;
use pimento_coordination::appender;
use pimento_coordination::forward::Forwarder;
use pimento_coordination::log::Error;
use pimento_coordination::mesh;
use pimento_coordination::mesh::Duty;
use pimento_coordination::mesh::Handler;
use pimento_coordination::mesh::Listener;
use pimento_ledger::Stream;
use pimento_wire::peer::Answer;
use pimento_wire::peer::Call;
use support::bound;
use support::eventually;
use support::key;
use support::memory::Fault;
use support::memory::Memory;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

const STREAM: Stream = Stream::Claims;
const TIMEOUT: Duration = Duration::from_millis(500);

struct Node {
    mesh: Mesh,
    forward: Forwarder<Memory>,
    appender: Appender,
    token: CancellationToken,
}

struct Serve(Forwarder<Memory>);

impl Handler for Serve {
    async fn handle(&self, call: Call) -> Answer {
        self.0.answer(&call).await.unwrap_or(Answer::Nothing)
    }
}

async fn bind(name: &str, seeds: &[Node], token: &CancellationToken) -> (Mesh, Listener) {
    let listen = "127.0.0.1:0".parse().unwrap();
    let zone = "trebon".parse().unwrap();
    let mut settings = mesh::Settings::new(name.parse().unwrap(), zone, listen, key());
    settings.seeds = seeds.iter().map(|node| node.mesh.address()).collect();
    settings.interval = Duration::from_millis(20);
    settings.liveness_timeout = Duration::from_millis(600);
    settings.timeout = TIMEOUT;
    let config = mesh::Config::try_from(settings).unwrap();
    Mesh::bind(config, token.clone()).await.unwrap()
}

async fn start(name: &str, seeds: &[Node], log: &Memory) -> Node {
    let token = CancellationToken::new();
    let (mesh, listener) = bind(name, seeds, &token).await;
    let settings = appender::Settings {
        batch_delay: Duration::from_millis(50),
        ..appender::Settings::default()
    };
    let config = appender::Config::try_from(settings).unwrap();
    let direct = Appender::start(log.clone(), config, token.clone());
    // Shorter than the timeout of peers' calls, so that they get the result of the append.
    let forward = Forwarder::new(log.clone(), direct, mesh.clone(), TIMEOUT / 2);
    listener.serve(Serve(forward.clone()));
    let appender = Appender::start(forward.clone(), config, token.clone());
    Node {
        mesh,
        forward,
        appender,
        token,
    }
}

async fn start_zone(log: &Memory) -> Vec<Node> {
    let mut nodes = Vec::new();
    for name in ["a", "b", "c", "d"] {
        nodes.push(start(name, &nodes, log).await);
    }
    for node in &nodes {
        let all = async || (node.mesh.peers().len() == 3).then_some(());
        eventually("all nodes of the zone as peers", all).await;
    }
    nodes
}

fn appender_and_others(nodes: &[Node]) -> (&Node, Vec<&Node>) {
    let chosen = nodes[0].mesh.assigned(Duty::Appender);
    let (one, others): (Vec<&Node>, Vec<&Node>) =
        nodes.iter().partition(|n| *n.mesh.node() == chosen);
    (one[0], others)
}

async fn append_from_all(nodes: &[&Node], tag: &str) {
    let appends = nodes.iter().map(|node| {
        let record = format!("{tag}-{}", node.mesh.node());
        node.appender.append(STREAM, record, bound())
    });
    for result in join_all(appends).await {
        result.unwrap();
    }
}

fn count_appended(log: &Memory, nodes: &[&Node], tag: &str) -> usize {
    let records = log.records(STREAM);
    let appended = |node: &&&Node| records.contains(&format!("{tag}-{}", node.mesh.node()));
    nodes.iter().filter(appended).count()
}

#[tokio::test]
async fn records_of_a_zone_share_appends() {
    let log = Memory::default();
    let nodes = start_zone(&log).await;
    let all: Vec<&Node> = nodes.iter().collect();
    for round in 0..10 {
        append_from_all(&all, &round.to_string()).await;
        assert_eq!(count_appended(&log, &all, &round.to_string()), 4);
    }
    let appends = log.appends(STREAM);
    assert_eq!(appends.iter().sum::<usize>(), 40);
    // Without sharing, four nodes would need four appends in each round.
    assert!(appends.len() <= 30, "{appends:?}");
}

/// The zone's appender fails, and the other nodes append records. The records reach the log by
/// another way before their deadline; none is missing, and one may be on the log twice.
#[tokio::test]
async fn failure_of_the_appender_loses_no_record() {
    let log = Memory::default();
    let nodes = start_zone(&log).await;
    let (chosen, others) = appender_and_others(&nodes);
    chosen.token.cancel();
    append_from_all(&others, "after").await;
    assert_eq!(count_appended(&log, &others, "after"), 3);
}

/// The log refuses an append of the zone's appender. The peer that forwarded the record gets a
/// refusal as well, so that its caller can be told at once that the call was not run.
#[tokio::test]
async fn refusal_of_the_log_reaches_the_peer() {
    let log = Memory::default();
    let nodes = start_zone(&log).await;
    let (_, others) = appender_and_others(&nodes);
    let forward = &others[0].forward;

    log.faults([Fault::Refuse(Duration::from_hours(1))]);
    let refused = forward.append(STREAM, vec!["r".into()]).await;
    assert!(matches!(refused, Err(Error::Refused { .. })), "{refused:?}");
    assert!(log.records(STREAM).is_empty());
}

/// The log's responses to the appender are lost. The peer that forwarded a record gets "lost" and
/// not a refusal: the record may be on the log, and in this test it is.
#[tokio::test]
async fn lost_response_at_the_log_is_lost_for_the_peer() {
    let log = Memory::default();
    let nodes = start_zone(&log).await;
    let (_, others) = appender_and_others(&nodes);
    let faults = std::iter::repeat_n(Fault::LoseAfter, 100);
    log.faults(faults);
    let deadline = Instant::now() + 2 * TIMEOUT;
    let lost = others[0]
        .appender
        .append(STREAM, "l".into(), deadline)
        .await;
    assert!(matches!(lost, Err(Error::Lost { .. })), "{lost:?}");
    assert!(log.records(STREAM).contains(&"l".to_owned()));
}

#[tokio::test]
async fn unknown_stream_is_refused() {
    let log = Memory::default();
    let node = start("a", &[], &log).await;
    let call = Call::Append {
        stream: "other".into(),
        records: vec!["x".into()],
    };
    let answer = node.forward.answer(&call).await;
    assert!(matches!(answer, Some(Answer::Refused { .. })), "{answer:?}");
    assert_eq!(
        node.forward
            .answer(&Call::Pull {
                offset: pimento_units::Offset(0)
            })
            .await,
        None
    );
}
