//! Starts and stops programs and waits for their effects.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;

/// Maximum wait for any event, far above what a busy machine needs.
const TIMEOUT: Duration = Duration::from_mins(1);

/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running program, killed on drop.
pub struct Process {
    child: Child,
    /// The address that the program printed as `READY=`.
    pub address: String,
}

impl Process {
    /// Starts a program and waits for its `READY=` line.
    pub fn start(mut command: Command) -> Self {
        let started = command.stdout(Stdio::piped()).stderr(Stdio::null()).spawn();
        let mut child = started.expect("the program starts");
        let output = child.stdout.take().expect("the output is piped");
        let mut line = String::new();
        let read = BufReader::new(output).read_line(&mut line);
        read.expect("the program prints its address");
        let address = line.trim().strip_prefix("READY=");
        let address = address.expect("the program is ready").into();
        Self { child, address }
    }

    /// Sends a signal by name, such as `STOP`.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill")
            .args([&format!("-{name}"), &id])
            .status();
        assert!(sent.expect("kill runs").success());
    }

    /// Waits for the program to exit and returns its exit code.
    pub fn wait(mut self) -> Option<i32> {
        eventually("the program exits", || {
            self.child.try_wait().expect("it can be waited for")
        })
        .code()
    }

    /// The JSON body of the response to `GET path`, if there is one.
    pub fn get(&self, path: &str) -> Option<Value> {
        let mut stream = TcpStream::connect(&self.address).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
        write!(stream, "GET {path} HTTP/1.0\r\n\r\n").ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).ok()?;
        let (_, body) = answer.split_once("\r\n\r\n")?;
        serde_json::from_str(body).ok()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Fails if the program has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Waits until `poll` returns a value.
pub fn eventually<T>(what: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        if let Some(found) = poll() {
            return found;
        }
        assert!(Instant::now() < deadline, "timed out: {what}");
        thread::sleep(POLL_INTERVAL);
    }
}
