//! What an abort ends, and what it says of it.

use std::sync::Mutex;

use log::Log;
use log::Metadata;
use log::Record;
use log::kv::Key;

use crate::support::Caller;
use crate::support::Server;
use crate::support::catch_up;
use crate::support::get;

/// The counts of idle, reading and serving connections in the lines that were logged.
static COUNTS: Mutex<Vec<[u64; 3]>> = Mutex::new(Vec::new());

struct Logger;

impl Log for Logger {
    fn enabled(&self, _metadata: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let count = |key| {
            let value = record.key_values().get(Key::from_str(key));
            value.and_then(|value| value.to_u64())
        };
        if let (Some(idle), Some(reading), Some(serving)) =
            (count("idle"), count("reading"), count("serving"))
        {
            COUNTS.lock().unwrap().push([idle, reading, serving]);
        }
    }

    fn flush(&self) {}
}

/// Guards against requests that an abort ends without a word in the log.
#[tokio::test]
async fn abort_tells_what_it_ends() {
    log::set_logger(&Logger).unwrap();
    log::set_max_level(log::LevelFilter::Warn);
    let server = Server::start().await;
    let mut callers = Vec::new();
    for request in [
        "",
        "GET /he",
        "GET /he",
        &get("/held"),
        &get("/held"),
        &get("/held"),
    ] {
        let mut caller = Caller::connect(server.address).unwrap();
        assert!(caller.write(request));
        callers.push(caller);
    }
    catch_up().await;
    server.stop.closing.cancel();
    server.stop.abort.cancel();
    server.stopped().await;
    assert!(COUNTS.lock().unwrap().contains(&[1, 2, 3]));
}

/// Guards against a stream that an abort ends and that looks complete to a caller of HTTP/1.0.
#[tokio::test]
async fn aborted_stream_without_chunks_ends_with_a_reset() {
    let server = Server::start().await;
    let mut caller = Caller::connect(server.address).unwrap();
    assert!(caller.write("GET /cut HTTP/1.0\r\nhost: loopback\r\n\r\n"));
    catch_up().await;
    server.stop.closing.cancel();
    catch_up().await;
    server.stop.abort.cancel();
    let answer = caller.answer().await;
    assert!(answer.reset, "{answer:?}");
    server.stopped().await;
}
