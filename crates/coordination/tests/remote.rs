//! Contract tests of the HTTP clients: how each one interprets the answers of its service.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use pimento_coordination::Log;
use pimento_coordination::log;
use pimento_coordination::rating;
use pimento_coordination::rating::Rater;
use pimento_coordination::vms;
use pimento_coordination::vms::List;
use pimento_coordination::weights;
use pimento_coordination::weights::Store;
use pimento_ledger::Stream;
use pimento_units::Offset;
use pimento_wire::platform::Fetch;
use pimento_wire::platform::Rate;
use support::refusing_address;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

const TIMEOUT: Duration = Duration::from_millis(300);
const WAIT: Duration = Duration::from_millis(20);

/// How a service responds to each request.
#[derive(Debug, Clone)]
enum Script {
    /// Sends these bytes and closes the connection.
    Send(String),
    /// Sends nothing and keeps the connection open.
    Hang,
    /// Sends these bytes in [`CHUNKS`] chunks, each after [`DELAY`].
    Trickle(String),
    /// Sends half of these bytes, then nothing, and keeps the connection open.
    Stall(String),
}

/// Chunks of an answer over a slow link, which takes several times [`TIMEOUT`].
const CHUNKS: usize = 12;
const DELAY: Duration = Duration::from_millis(80);

async fn serve(script: Script) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let mut open = Vec::new();
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut request = vec![0; 65_536];
            let _ = stream.read(&mut request).await;
            match &script {
                Script::Send(answer) => {
                    let _ = stream.write_all(answer.as_bytes()).await;
                }
                Script::Hang => open.push(stream),
                Script::Trickle(answer) => {
                    for chunk in answer.as_bytes().chunks(answer.len().div_ceil(CHUNKS)) {
                        tokio::time::sleep(DELAY).await;
                        let _ = stream.write_all(chunk).await;
                    }
                }
                Script::Stall(answer) => {
                    let half = &answer.as_bytes()[..answer.len() / 2];
                    let _ = stream.write_all(half).await;
                    open.push(stream);
                }
            }
        }
    });
    address
}

fn answer(status: &str, headers: &str, body: &str) -> Script {
    let length = body.len();
    Script::Send(format!(
        "HTTP/1.1 {status}\r\ncontent-length: {length}\r\n{headers}\r\n{body}"
    ))
}

/// How a client interpreted an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    Done,
    Refused(u64),
    Lost,
    Gone(u64),
}

fn outcome<T>(result: &Result<T, log::Error>) -> Outcome {
    match result {
        Ok(_) => Outcome::Done,
        Err(log::Error::Refused { retry_after }) => Outcome::Refused(retry_after.as_secs()),
        Err(log::Error::Lost { .. }) => Outcome::Lost,
        Err(log::Error::Gone { oldest }) => Outcome::Gone(oldest.0),
    }
}

async fn append(address: SocketAddr) -> Outcome {
    let log = log::Remote::new(address, TIMEOUT);
    outcome(&log.append(Stream::Claims, vec!["{}".into()]).await)
}

/// A claim is reported as "not run" only if the log certainly did not append it. An append counts as
/// refused only if the log itself answers with a time to retry after, or if no connection was made. With
/// any other answer that can't be read, it is unknown whether the append took effect.
#[tokio::test]
async fn append_is_refused_only_if_it_certainly_had_no_effect() {
    let cases = [
        (
            "appended",
            answer("200 OK", "", r#"{"first":7}"#),
            Outcome::Done,
        ),
        (
            "over the rate",
            answer("429 Too Many Requests", "retry-after: 2\r\n", ""),
            Outcome::Refused(2),
        ),
        (
            "outage",
            answer("503 Service Unavailable", "retry-after: 9\r\n", ""),
            Outcome::Refused(9),
        ),
        (
            "a gateway's 503",
            answer("503 Service Unavailable", "", ""),
            Outcome::Lost,
        ),
        (
            "a gateway's date",
            answer("503 Service Unavailable", "retry-after: Thu\r\n", ""),
            Outcome::Lost,
        ),
        (
            "internal error",
            answer("500 Internal Server Error", "retry-after: 1\r\n", ""),
            Outcome::Lost,
        ),
        (
            "gateway timeout",
            answer("504 Gateway Timeout", "", ""),
            Outcome::Lost,
        ),
        ("unreadable", answer("200 OK", "", "<html>"), Outcome::Lost),
        (
            "unexpected field",
            answer("200 OK", "", r#"{"offset":7}"#),
            Outcome::Lost,
        ),
        (
            "cut off",
            Script::Send("HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\n{".into()),
            Outcome::Lost,
        ),
        (
            "too long",
            Script::Send(format!(
                "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n",
                1_u64 << 40
            )),
            Outcome::Lost,
        ),
        ("closed", Script::Send(String::new()), Outcome::Lost),
        ("no answer", Script::Hang, Outcome::Lost),
    ];
    for (what, bytes, expected) in cases {
        assert_eq!(append(serve(bytes).await).await, expected, "{what}");
    }
    let (_bound, address) = refusing_address();
    assert!(
        matches!(append(address).await, Outcome::Refused(_)),
        "no connection"
    );
}

#[tokio::test]
async fn read_distinguishes_an_outage_from_dropped_records() {
    let batch = r#"{"records":[{"offset":3,"at":5,"record":"{}"}],"next":4,"end":4,"now":6}"#;
    let cases = [
        ("records", answer("200 OK", "", batch), Outcome::Done),
        (
            "gone",
            answer("410 Gone", "", r#"{"oldest":40}"#),
            Outcome::Gone(40),
        ),
        (
            "gone, unreadable",
            answer("410 Gone", "", ""),
            Outcome::Lost,
        ),
        (
            "outage",
            answer("503 Service Unavailable", "retry-after: 9\r\n", ""),
            Outcome::Refused(9),
        ),
        ("missing", answer("404 Not Found", "", ""), Outcome::Lost),
        ("no answer", Script::Hang, Outcome::Lost),
    ];
    for (what, bytes, expected) in cases {
        let log = log::Remote::new(serve(bytes).await, TIMEOUT);
        let result = log.read(Stream::Claims, Offset(3), 10, WAIT).await;
        assert_eq!(outcome(&result), expected, "{what}");
    }
}

/// A batch holds a large checkpoint, and its transfer over a slow link takes longer than the timeout for
/// a log that does not answer. If the read were aborted, it would be repeated from the first byte and
/// aborted again, and the VM would never get the configuration. A read whose answer stalls must still
/// be aborted.
#[tokio::test]
async fn slow_batch_is_read_completely() {
    let record = "x".repeat(4_000);
    let body = format!(
        r#"{{"records":[{{"offset":3,"at":5,"record":"{record}"}}],"next":4,"end":4,"now":6}}"#
    );
    let Script::Send(whole) = answer("200 OK", "", &body) else {
        unreachable!("answers are sent");
    };
    let read = async |script| {
        let log = log::Remote::new(serve(script).await, TIMEOUT);
        outcome(&log.read(Stream::Claims, Offset(3), 10, WAIT).await)
    };
    assert_eq!(read(Script::Send(whole.clone())).await, Outcome::Done);
    assert_eq!(read(Script::Trickle(whole.clone())).await, Outcome::Done);
    assert_eq!(read(Script::Stall(whole)).await, Outcome::Lost);
}

#[tokio::test]
async fn failed_vm_list_is_an_error_and_not_empty() {
    let vm = r#"{"vms":[{"name":"a","zone":"trebon","address":"10.0.0.1:1","role":"entry","leaving":false}]}"#;
    let list = vms::Remote::new(serve(answer("200 OK", "", vm)).await, TIMEOUT);
    assert_eq!(list.list().await.unwrap().vms.len(), 1);
    let cases = [
        ("error", answer("500 Internal Server Error", "", vm)),
        ("empty body", answer("200 OK", "", "")),
        (
            "cut off",
            Script::Send("HTTP/1.1 200 OK\r\ncontent-length: 90\r\n\r\n{\"vms\":[".into()),
        ),
        ("no answer", Script::Hang),
    ];
    for (what, bytes) in cases {
        let list = vms::Remote::new(serve(bytes).await, TIMEOUT);
        assert!(list.list().await.is_err(), "{what}");
    }
}

#[tokio::test]
async fn weight_store_client_distinguishes_a_refusal_from_a_lost_answer() {
    let fetch = || Fetch {
        version: "small@1".parse().unwrap(),
        zone: "trebon".parse().unwrap(),
    };
    let store = weights::Remote::new(serve(answer("200 OK", "", "")).await, TIMEOUT);
    assert_eq!(store.fetch(fetch()).await, Ok(()));
    let rate = answer("429 Too Many Requests", "retry-after: 3\r\n", "");
    let store = weights::Remote::new(serve(rate).await, TIMEOUT);
    let retry_after = Duration::from_secs(3);
    assert_eq!(
        store.fetch(fetch()).await,
        Err(weights::Error::Refused { retry_after })
    );
    for bytes in [answer("500 Internal Server Error", "", ""), Script::Hang] {
        let store = weights::Remote::new(serve(bytes).await, TIMEOUT);
        let lost = store.fetch(fetch()).await;
        assert!(matches!(lost, Err(weights::Error::Lost { .. })), "{lost:?}");
    }
}

#[tokio::test]
async fn invalid_rating_is_an_error() {
    let rate = || Rate {
        version: "small@1".parse().unwrap(),
        class: "stock".parse().unwrap(),
        prompt: "p".into(),
        answer: "a".into(),
    };
    let cases = [
        (
            "rated",
            answer("200 OK", "", r#"{"score":0.5,"pass":true}"#),
            true,
        ),
        (
            "out of range",
            answer("200 OK", "", r#"{"score":1.5,"pass":true}"#),
            false,
        ),
        (
            "not a number",
            answer("200 OK", "", r#"{"score":"x","pass":true}"#),
            false,
        ),
        (
            "error",
            answer(
                "500 Internal Server Error",
                "",
                r#"{"score":0.5,"pass":true}"#,
            ),
            false,
        ),
        ("no answer", Script::Hang, false),
    ];
    for (what, bytes, rated) in cases {
        let rater = rating::Remote::new(serve(bytes).await, TIMEOUT);
        assert_eq!(rater.rate(rate()).await.is_ok(), rated, "{what}");
    }
}
