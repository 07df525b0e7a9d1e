//! The little of HTTP/1.1 that the stand-ins need.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::net::TcpStream;

/// A head with its body.
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    /// A value of the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

/// Reads a head; none at the end of the connection.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_string(), value.trim().to_string()));
        }
    }
    Ok(Some(Message {
        first: first.trim_end().to_string(),
        headers,
        body: Vec::new(),
    }))
}

/// Reads a request with its body; none at the end of the connection.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    let chunked = message
        .header("transfer-encoding")
        .is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"));
    if chunked {
        let (body, whole) = read_chunks(reader)?;
        if !whole {
            return Ok(None);
        }
        message.body = body;
        return Ok(Some(message));
    }
    let length = message.header("content-length").unwrap_or("0");
    let mut body = vec![0; length.parse().unwrap_or(0)];
    reader.read_exact(&mut body)?;
    message.body = body;
    Ok(Some(message))
}

/// Reads a chunked body. Returns what came, and whether it ended as a chunked body has to.
pub fn read_chunks(reader: &mut impl BufRead) -> io::Result<(Vec<u8>, bool)> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok((body, false));
        }
        let size = line.trim().split(';').next().unwrap_or_default();
        let Ok(size) = usize::from_str_radix(size, 16) else {
            return Ok((body, false));
        };
        let mut chunk = vec![0; size + 2];
        if let Err(error) = reader.read_exact(&mut chunk) {
            if error.kind() == io::ErrorKind::UnexpectedEof {
                return Ok((body, false));
            }
            return Err(error);
        }
        if size == 0 {
            return Ok((body, true));
        }
        body.extend_from_slice(&chunk[..size]);
    }
}
