//! The daemon on loopback, without a platform.

use std::net::SocketAddr;
use std::time::Duration;

use pimento_control::config::Config;
use pimento_control::config::command;
use pimento_control::daemon;
use pimento_coordination::operators::Operators;
use pimento_coordination::operators::Remote;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

/// The status line of `GET path`.
async fn status_line(address: SocketAddr, path: &str) -> String {
    let mut stream = TcpStream::connect(address)
        .await
        .expect("the daemon listens");
    let request = format!("GET {path} HTTP/1.0\r\n\r\n");
    stream
        .write_all(request.as_bytes())
        .await
        .expect("the daemon reads");
    let mut response = String::new();
    stream
        .read_to_string(&mut response)
        .await
        .expect("the daemon responds");
    response.lines().next().unwrap_or_default().to_owned()
}

/// The platform can't be reached. The daemon runs and reports that it is not ready. The shutdown
/// does not wait for leases that it never held.
#[tokio::test]
async fn without_a_platform_it_is_live_and_not_ready() {
    // Nothing listens on port 1 of loopback.
    let unreachable = "127.0.0.1:1";
    let arguments = [
        ["pimento-control", "--node=control-1"],
        ["--zone=kig-remera", "--operators-listen=127.0.0.1:0"],
    ];
    let addresses = ["log", "vms", "weights"].map(|n| format!("--{n}-address={unreachable}"));
    let flags = arguments.into_iter().flatten().map(String::from);
    let matches = command().try_get_matches_from(flags.chain(addresses));
    let config = Config::try_from(&matches.expect("the flags exist"));
    let token = CancellationToken::new();
    let started = daemon::start(config.expect("the settings are valid"), &token).await;
    let running = started.expect("a port is free");
    let address = running.address;
    assert!(status_line(address, "/live").await.contains("200"));
    assert!(status_line(address, "/ready").await.contains("503"));
    assert!(status_line(address, "/metrics").await.contains("200"));
    assert!(status_line(address, "/nothing").await.contains("404"));
    let state = Remote::new(address, Duration::from_secs(5)).state().await;
    let state = state.expect("the state has the common fields");
    assert!(!state.ready);
    let stopped = tokio::time::timeout(Duration::from_secs(30), running.shut_down()).await;
    assert!(stopped.is_ok());
    token.cancel();
}
