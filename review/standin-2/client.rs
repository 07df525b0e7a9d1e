//! A client that sends one request and tells what came.

use std::env;
use std::io;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::process::exit;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::read_chunks;
use crate::http::read_head;
use crate::names::name;
use crate::replica::note;

/// `ready ADDRESS SECONDS`: waits until a machine says that it is ready.
pub fn wait_ready(arguments: &[&str]) {
    let seconds = arguments[1].parse().expect("a number of seconds");
    let end = Instant::now() + Duration::from_secs(seconds);
    while Instant::now() < end {
        if is_ready(arguments[0]).unwrap_or(false) {
            return;
        }
        thread::sleep(Duration::from_millis(100));
    }
    exit(2);
}

fn is_ready(address: &str) -> io::Result<bool> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(1)))?;
    write!(stream, "GET /readyz HTTP/1.1\r\nHost: machine\r\n\r\n")?;
    let head = read_head(&mut BufReader::new(stream))?;
    Ok(head.is_some_and(|head| head.first.contains(" 200 ")))
}

/// `client ADDRESS ATTEMPT RECORD HEAD`: sends the request whose head is in the file HEAD, with `ATTEMPT` replaced
/// by the id, and prints `END EVENTS LAST`: how the answer ended (`whole`, `cut` or `status N`), the events that
/// came and the id of the last one.
pub fn run(arguments: &[&str]) {
    let [address, attempt, record, head] = arguments[..] else {
        panic!("four arguments");
    };
    let head = std::fs::read_to_string(head).expect("the head can be read");
    let head = head.replace("ATTEMPT", attempt).replace('\n', "\r\n");
    let body = env::var("BODY").unwrap_or_default();
    note(record, &format!("client: sends {attempt} to {address}"));
    let result =
        send(address, &head, &body).unwrap_or_else(|error| format!("cut 0 none ({error})"));
    note(record, &format!("client: {attempt} got {result}"));
    println!("{result}");
}

fn send(address: &str, head: &str, body: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(40)))?;
    stream.write_all(head.as_bytes())?;
    stream.write_all(body.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let Some(head) = read_head(&mut reader)? else {
        return Ok("cut 0 none".to_string());
    };
    let status = head.first.split(' ').nth(1).unwrap_or_default();
    let (body, whole) = if head.header("transfer-encoding").is_some() {
        read_chunks(&mut reader)?
    } else {
        let length = head.header("content-length").unwrap_or("0");
        let mut body = vec![0; length.parse().unwrap_or(0)];
        let whole = reader.read_exact(&mut body).is_ok();
        (body, whole)
    };
    let text = String::from_utf8_lossy(&body);
    let ids: Vec<&str> = text
        .lines()
        .filter_map(|line| line.strip_prefix("id: "))
        .collect();
    let signed = head.header(name("signature")).is_some();
    let end = match (status, whole) {
        ("200", true) if signed => "whole".to_string(),
        ("200", false) => "cut".to_string(),
        (status, _) => format!("status {status}"),
    };
    let in_order = ids
        .iter()
        .enumerate()
        .all(|(place, id)| place.to_string() == **id);
    let order = if in_order { "in order" } else { "out of order" };
    let last = ids.last().unwrap_or(&"none");
    Ok(format!("{end} {} {last} {order}", ids.len()))
}
