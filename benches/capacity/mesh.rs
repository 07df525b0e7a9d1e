//! Processor time that nodes use for heartbeats. All nodes of one zone run in this process.

use std::net::SocketAddr;
use std::time::Duration;

use pimento_coordination::mesh::Config;
use pimento_coordination::mesh::Handler;
use pimento_coordination::mesh::Mesh;
use pimento_coordination::mesh::Settings;
use pimento_wire::frame::Key;
use pimento_wire::peer::Answer;
use pimento_wire::peer::Call;
use tokio::runtime::Runtime;
use tokio_util::sync::CancellationToken;

use crate::fit::Points;
use crate::fit::number;
use crate::process;

/// Time for the nodes to discover each other before the measurement.
const WARM_UP: Duration = Duration::from_secs(20);
/// Duration of the measurement.
const DURATION: Duration = Duration::from_secs(10);

/// Answers no calls, since heartbeats need none.
struct NoAnswers;

impl Handler for NoAnswers {
    async fn handle(&self, _call: Call) -> Answer {
        Answer::Nothing
    }
}

/// Prints the table.
pub fn print() {
    let runtime = Runtime::new().expect("threads can be had");
    let mut cpu = Points::default();
    for nodes in [5, 10, 25, 50_u64] {
        let used = runtime.block_on(run(nodes));
        let each = used.as_secs_f64() * 1e6 / DURATION.as_secs_f64() / number(nodes);
        cpu.add(
            "nodes in a zone",
            number(nodes),
            "us of processor a node and second",
            each,
        );
    }
    cpu.print("node in the zone", "us a second");
}

async fn run(nodes: u64) -> Duration {
    let token = CancellationToken::new();
    let mut meshes: Vec<Mesh> = Vec::new();
    for number in 0..nodes {
        let name = format!("entry-gikondo-{number}").parse().expect("a name");
        let zone = "kig-gikondo".parse().expect("a name");
        let listen = "127.0.0.1:0".parse().expect("an address");
        let key = Key::derive("a secret that peers share");
        let settings = Settings::new(name, zone, listen, key);
        let config = Config::try_from(settings).expect("valid settings");
        let (mesh, listener) = Mesh::bind(config, token.clone()).await.expect("a port");
        listener.serve(NoAnswers);
        meshes.push(mesh);
    }
    // In a deployment, the addresses come from the platform's list of VMs.
    let addresses: Vec<SocketAddr> = meshes.iter().map(Mesh::address).collect();
    for mesh in &meshes {
        mesh.add_addresses(addresses.iter().copied());
    }
    tokio::time::sleep(WARM_UP).await;
    let known = meshes.iter().map(|mesh| mesh.peers().len() as u64).min();
    println!(
        "  each of {nodes} nodes knows at least {} peers",
        known.unwrap_or(0)
    );
    let before = process::own_cpu();
    tokio::time::sleep(DURATION).await;
    let used = process::own_cpu().saturating_sub(before);
    token.cancel();
    used
}
