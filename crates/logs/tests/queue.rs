//! The queue under load, with an output that nobody reads, and with one that fails.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use pimento_logs::Budget;
use pimento_logs::Queue;
use pimento_logs::budget::Priority;
use pimento_units::Moment;

/// Longer than any operation here takes.
const TIMEOUT: Duration = Duration::from_secs(20);

const LINE: &[u8; 100] = &[b'x'; 100];

/// An output that blocks until it is opened.
#[derive(Debug, Clone, Default)]
struct Pipe {
    shared: Arc<(Mutex<State>, Condvar)>,
}

#[derive(Debug, Default)]
struct State {
    open: bool,
    bytes: Vec<u8>,
}

impl Pipe {
    fn open(&self) {
        self.shared.0.lock().unwrap().open = true;
        self.shared.1.notify_all();
    }

    fn text(&self) -> String {
        String::from_utf8(self.shared.0.lock().unwrap().bytes.clone()).unwrap()
    }
}

impl Write for Pipe {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let state = self.shared.0.lock().unwrap();
        let mut state = self.shared.1.wait_while(state, |s| !s.open).unwrap();
        state.bytes.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn missing(count: u64) -> Vec<u8> {
    format!("missing {count}").into_bytes()
}

fn start(queue: &Arc<Queue>, output: impl Write + Send + 'static) -> thread::JoinHandle<()> {
    let queue = Arc::clone(queue);
    thread::spawn(move || queue.write(output, missing))
}

/// The reader of the program's output stops reading. The pipe fills up and the writing thread
/// blocks, but the program must neither wait nor use more memory: lines are dropped. When the
/// reader resumes, a line states how many are missing, and later lines are written again.
#[test]
fn an_output_that_nobody_reads_does_not_block() {
    let queue = Arc::new(Queue::new(Moment::ZERO));
    let pipe = Pipe::default();
    let writer = start(&queue, pipe.clone());
    let pushed: u64 = 50_000;
    for _ in 0..pushed {
        queue.push(LINE);
    }
    let dropped = queue.dropped().unwritten;
    assert!(dropped > 0, "everything fitted");
    pipe.open();
    assert!(queue.flush(TIMEOUT));
    queue.push(b"after");
    queue.close();
    writer.join().unwrap();
    let text = pipe.text();
    let whole = text.lines().filter(|line| line.as_bytes() == LINE).count();
    assert_eq!(whole as u64 + dropped, pushed);
    let missing: u64 = text
        .lines()
        .filter_map(|line| line.strip_prefix("missing "))
        .map(|count| count.parse::<u64>().unwrap())
        .sum();
    assert_eq!(missing, dropped);
    assert!(text.lines().any(|line| line == "after"));
}

/// The output is closed permanently. Lines are counted as dropped, and the failure has no other
/// effect.
#[test]
fn lines_to_a_closed_output_are_counted() {
    struct Closed;
    impl Write for Closed {
        fn write(&mut self, _: &[u8]) -> io::Result<usize> {
            Err(io::ErrorKind::BrokenPipe.into())
        }
        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }
    let queue = Arc::new(Queue::new(Moment::ZERO));
    let writer = start(&queue, Closed);
    queue.push(b"one");
    queue.push(b"two");
    assert!(queue.flush(TIMEOUT));
    queue.close();
    writer.join().unwrap();
    assert_eq!(queue.dropped().unwritten, 2);
}

/// A flood of requests produces more lines than the budget allows. Lines about single requests are
/// dropped and counted, and warnings are still written.
#[test]
fn a_flood_leaves_room_for_warnings() {
    let queue = Queue::new(Moment::ZERO);
    let normal = (0..10_000).filter(|_| queue.admit(Priority::Normal, Moment::ZERO));
    let normal = normal.count();
    assert!(normal < 1_000, "{normal} lines at once");
    assert_eq!(queue.dropped().over_budget, 10_000 - normal as u64);
    let high = (0..100).filter(|_| queue.admit(Priority::High, Moment::ZERO));
    assert_eq!(high.count(), 100);
}

/// Over a long time the budget admits the sustained rate, however the lines are spaced.
#[test]
fn the_budget_refills_with_time() {
    let mut budget = Budget::new(Moment::ZERO);
    let mut admitted: u32 = 0;
    for step in 0..100_000_u64 {
        let now = Moment::ZERO + Duration::from_millis(step);
        admitted += u32::from(budget.try_acquire(Priority::Normal, now));
    }
    // 100 s at 400 lines a second, and the initial content of the bucket.
    assert!((39_900..=40_800).contains(&admitted), "{admitted} lines");
}

/// Several processes share one pipe. Each write must contain whole lines and be small enough to be
/// atomic, or lines of other processes could be interleaved with them. A longer line is a write by
/// itself.
#[test]
fn whole_lines_are_written_at_once() {
    #[derive(Clone, Default)]
    struct Calls(Arc<Mutex<Vec<Vec<u8>>>>);
    impl Write for Calls {
        fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
            self.0.lock().unwrap().push(bytes.to_vec());
            Ok(bytes.len())
        }
        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }
    let queue = Arc::new(Queue::new(Moment::ZERO));
    for length in [10, 3_000, 2_000, 9_000, 50, 60] {
        queue.push(&vec![b'y'; length]);
    }
    let calls = Calls::default();
    let writer = start(&queue, calls.clone());
    queue.close();
    writer.join().unwrap();
    let lengths: Vec<usize> = calls.0.lock().unwrap().iter().map(Vec::len).collect();
    assert_eq!(lengths, [10 + 1 + 3_000 + 1, 2_001, 9_001, 51 + 61]);
}
