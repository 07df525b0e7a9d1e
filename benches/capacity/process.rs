//! Starts programs and reads their processor time and memory from `/proc`.

use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

/// A running program, killed when dropped.
pub struct Program(Child);

impl Program {
    /// Starts a program and reads its `READY=` line.
    pub fn ready(mut command: Command) -> (Self, SocketAddr) {
        command.stdout(Stdio::piped()).stderr(Stdio::null());
        let mut child = command.spawn().expect("the program starts");
        let output = child.stdout.take().expect("piped");
        let mut line = String::new();
        BufReader::new(output)
            .read_line(&mut line)
            .expect("it prints its address");
        let address = line.trim().strip_prefix("READY=").expect("it is ready");
        let address = address.parse().expect("an address");
        (Self(child), address)
    }

    /// Starts a program and discards its output.
    pub fn start(mut command: Command) -> Self {
        command.stdout(Stdio::null()).stderr(Stdio::null());
        Self(command.spawn().expect("the program starts"))
    }

    /// Processor time used so far.
    pub fn cpu(&self) -> Duration {
        cpu(&self.0.id().to_string())
    }

    /// Resident memory in bytes.
    pub fn memory(&self) -> u64 {
        memory(&self.0.id().to_string())
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Processor time used by this process so far.
pub fn own_cpu() -> Duration {
    cpu("self")
}

/// The sum over the threads that are alive. The measured programs end no threads while they run,
/// so this is the time of the whole process.
fn cpu(process: &str) -> Duration {
    let tasks = fs::read_dir(format!("/proc/{process}/task")).expect("it runs");
    let nanos = tasks.filter_map(|task| {
        let path = task.ok()?.path().join("schedstat");
        let text = fs::read_to_string(path).ok()?;
        text.split_whitespace().next()?.parse::<u64>().ok()
    });
    Duration::from_nanos(nanos.sum())
}

fn memory(process: &str) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).expect("it runs");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes: u64 = line
        .and_then(|line| line.split_whitespace().next())
        .and_then(|number| number.parse().ok())
        .expect("a number of kilobytes");
    kilobytes * 1_024
}
