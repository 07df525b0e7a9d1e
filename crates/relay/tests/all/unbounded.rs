//! Responses of endpoints in any pieces, cut, repeated and without end.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Uri;
use pimento_endpoint::Fault;
use pimento_relay::connection::Connection;
use pimento_relay::connection::OutgoingRequest;
use pimento_relay::events::Event;
use pimento_relay::events::EventTooLong;
use pimento_relay::events::MAX_EVENT_BYTES;
use pimento_relay::events::Splitter;
use proptest::collection::vec;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use proptest::sample::Index;
use proptest::sample::select;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::runtime::Builder;

const TIMEOUT: Duration = Duration::from_secs(20);
const CHUNKED: &str = "HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Sends these pieces to the first client, and the last one again and again if `endless`.
async fn serve(pieces: Vec<Vec<u8>>, endless: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _ = stream.read(&mut [0; 4_096]).await;
        let mut sent = Ok(());
        for piece in &pieces {
            sent = stream.write_all(piece).await;
            tokio::task::yield_now().await;
        }
        while endless && sent.is_ok() {
            sent = stream.write_all(&pieces[pieces.len() - 1]).await;
        }
    });
    address
}

/// The length of a response's body.
async fn receive(address: SocketAddr) -> Result<usize, Fault> {
    let outgoing = OutgoingRequest {
        method: Method::GET,
        uri: Uri::from_static("/"),
        headers: HeaderMap::new(),
        body: Bytes::new(),
    };
    let connection = Connection::open(address, TIMEOUT).await?;
    let mut response = connection.send(outgoing).await?;
    let mut length = 0;
    while let Some(data) = response.body.next().await? {
        length += data.len();
    }
    Ok(length)
}

/// Guards against responses without end that count as a crash of their endpoint, and against requests that crashed
/// none being blocked for it.
#[tokio::test]
async fn framing_without_end_is_invalid() {
    let floods = [
        ("HTTP/1.1 200 x\r\nx: ", "x"),
        ("HTTP/1.1 200 x\r\n", "x: x\r\n"),
        ("HTTP/1.1 102 x\r\n\r\n", "HTTP/1.1 102 x\r\n\r\n"),
        (CHUNKED, "0"),
        (&format!("{CHUNKED}1"), " "),
        (&format!("{CHUNKED}1;"), "x"),
        (&format!("{CHUNKED}0\r\n"), "x: y\r\n"),
    ];
    for (start, piece) in floods {
        let pieces = vec![start.into(), piece.repeat(1_000).into()];
        let received = tokio::time::timeout(TIMEOUT, receive(serve(pieces, true).await)).await;
        let is_invalid = matches!(received, Ok(Err(Fault::Invalid { .. })));
        assert!(is_invalid, "{start:?} {piece:?}: {received:?}");
    }
}

/// Guards against a limit that cuts a sound response: interim responses, and megabytes in small chunks.
#[tokio::test]
async fn a_long_response_passes() {
    let mut text = "HTTP/1.1 102 x\r\n\r\n".repeat(100) + CHUNKED;
    text += &"4\r\nabcd\r\n".repeat(300_000);
    text += "0\r\nx: y\r\n\r\n";
    let received = receive(serve(vec![text.into()], false).await).await;
    assert_eq!(received, Ok(1_200_000));
}

/// Lines of streams, sound and not.
fn lines() -> impl Strategy<Value = Vec<&'static str>> {
    const LINES: [&str; 10] = [
        "id: 1",
        "id: 2",
        "data: x",
        "data",
        ": comment",
        "",
        "",
        "",
        "event: y",
        "id",
    ];
    vec(select(&LINES[..]), 0..40)
}

/// Cuts bytes at these places.
fn cut(bytes: &[u8], places: &[Index]) -> Vec<Vec<u8>> {
    let mut places: Vec<usize> = places.iter().map(|p| p.index(bytes.len() + 1)).collect();
    places.extend([0, bytes.len()]);
    places.sort_unstable();
    let pieces = places
        .windows(2)
        .map(|ends| bytes[ends[0]..ends[1]].to_vec());
    pieces.collect()
}

fn split(pieces: &[Vec<u8>]) -> Result<(Vec<Event>, Splitter), EventTooLong> {
    let (mut splitter, mut events) = (Splitter::default(), Vec::new());
    for piece in pieces {
        splitter.push(piece);
        while let Some(event) = splitter.next_event()? {
            events.push(event);
        }
    }
    Ok((events, splitter))
}

fn seeded(cases: u32) -> Config {
    Config {
        cases,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(seeded(256))]

    /// The events of a stream are the same however its bytes are cut. None is lost, moved or without content.
    #[test]
    fn events_do_not_depend_on_the_cuts(lines in lines(), end in select(&["\n", "\r\n"][..]), places in vec(any::<Index>(), 0..8)) {
        let text = lines.join(end) + end;
        let bytes = text.as_bytes();
        let (whole, _) = split(&[bytes.to_vec()]).unwrap();
        let (events, mut splitter) = split(&cut(bytes, &places)).unwrap();
        prop_assert_eq!(&events, &whole);
        for event in &events {
            let text = String::from_utf8_lossy(&event.bytes);
            prop_assert!(text.contains("data") || event.id.is_some());
        }
        if !splitter.has_partial_event() {
            let rest = splitter.take_rest().into_iter();
            let joined: Vec<u8> = events.into_iter().chain(rest).flat_map(|event| event.bytes).collect();
            prop_assert_eq!(joined, bytes);
        }
    }

    /// A part of a stream that is repeated without end gives an event or an error before it fills the memory.
    #[test]
    fn no_repetition_fills_the_buffer(lines in lines(), places in vec(any::<Index>(), 2)) {
        let text = lines.join("\n") + "\n";
        let part = cut(text.as_bytes(), &places).swap_remove(1);
        let piece = part.repeat(1 + 4_096 / part.len().max(1));
        let mut splitter = Splitter::default();
        let mut silent = 0;
        while silent <= MAX_EVENT_BYTES && !part.is_empty() {
            splitter.push(&piece);
            match splitter.next_event() {
                Ok(None) => silent += piece.len(),
                Ok(Some(_)) | Err(EventTooLong) => return Ok(()),
            }
        }
        prop_assert!(part.is_empty(), "no limit for {part:?}");
    }
}

proptest! {
    // Each case opens a connection.
    #![proptest_config(seeded(48))]

    /// A head in any pieces, cut short or with parts repeated, is accepted or a fault, and always ends.
    #[test]
    fn any_head_ends(places in vec(any::<Index>(), 4), repeats in 1_usize..400, whole in proptest::bool::ANY) {
        let head = "HTTP/1.1 102 x\r\n\r\nHTTP/1.1 200 OK\r\nX-Some: value\r\nContent-Length: 2\r\n\r\nhi";
        let mut pieces = cut(head.as_bytes(), &places);
        if !whole {
            pieces[2] = pieces[2].repeat(repeats);
            pieces.truncate(4);
        }
        let runtime = Builder::new_current_thread().enable_all().build().unwrap();
        let received = runtime.block_on(async {
            tokio::time::timeout(TIMEOUT, receive(serve(pieces, false).await)).await
        });
        prop_assert!(received.is_ok(), "no end");
        prop_assert!(!whole || received == Ok(Ok(2)), "{received:?}");
    }
}
