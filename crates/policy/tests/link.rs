//! Load of a VM's own link, and how many requests it receives at a time.

use std::time::Duration;

use pimento_policy::link;
use pimento_policy::link::Link;
use pimento_policy::link::Load;
use pimento_policy::link::Totals;
use pimento_units::Bandwidth;
use pimento_units::Moment;

/// Time between two measurements.
const STEP: Duration = Duration::from_millis(50);

/// A million bytes per second.
fn bandwidth() -> Bandwidth {
    Bandwidth::from_mbps(8.0).unwrap()
}

/// A link with bytes that are received and sent in each step.
struct Play {
    link: Link,
    totals: Totals,
    now: Moment,
}

impl Play {
    fn new() -> Self {
        Self {
            link: Link::new(bandwidth(), Moment::default()),
            totals: Totals::default(),
            now: Moment::default(),
        }
    }

    fn run(&mut self, time: Duration, received: u64, sent: u64) -> Load {
        let end = self.now + time;
        let mut load = Load::default();
        while self.now < end {
            self.now = self.now + STEP;
            self.totals.received += received;
            self.totals.sent += sent;
            load = self.link.measure(self.totals, self.now);
        }
        load
    }
}

/// Guards against a way in that is full and looks like a way out that is, or the other way round.
#[test]
fn each_way_counts_by_itself() {
    let load = Play::new().run(Duration::from_secs(1), 48_000, 5_000);
    assert!(
        load.is_receiving_full() && !load.is_sending_full(),
        "{load:?}"
    );
    let load = Play::new().run(Duration::from_secs(1), 5_000, 48_000);
    assert!(
        !load.is_receiving_full() && load.is_sending_full(),
        "{load:?}"
    );
}

/// Guards against callers who wait to be accepted by a VM whose link has room.
#[test]
fn any_number_is_received_while_the_link_has_room() {
    let mut play = Play::new();
    play.run(Duration::from_secs(2), 15_000, 15_000);
    assert_eq!(play.link.max_receiving(), None);
}

/// Guards against requests that a full link carries and nobody gets an answer to.
#[test]
fn one_request_is_received_at_a_time_while_either_way_is_full() {
    for (received, sent) in [(48_000, 1_000), (1_000, 48_000)] {
        let mut play = Play::new();
        let load = play.run(Duration::from_secs(1), received, sent);
        assert_eq!(play.link.max_receiving(), Some(1), "{load:?}");
    }
}

/// Guards against a burst that fills the link before the number is limited.
#[test]
fn the_number_is_limited_before_the_link_is_full() {
    let mut play = Play::new();
    let load = play.run(Duration::from_secs(1), 32_000, 15_000);
    let limit = play.link.max_receiving().unwrap();
    assert!(!load.is_full() && (2..=16).contains(&limit), "{load:?}");
}

/// Guards against events that wait behind a burst of answers which the bandwidth's mean use doesn't show.
#[test]
fn written_bytes_that_wait_make_the_way_out_full() {
    let mut play = Play::new();
    let load = play.run(STEP, 0, 150_000);
    assert!(load.send_delay >= Duration::from_millis(50), "{load:?}");
    assert_eq!(play.link.max_receiving(), Some(1));
    let load = play.run(Duration::from_secs(1), 0, 1_000);
    assert_eq!(load.send_delay, Duration::ZERO);
}

/// Guards against a VM that still refuses callers seconds after the load is gone.
#[test]
fn a_link_has_room_within_seconds_of_the_loads_end() {
    let mut play = Play::new();
    play.run(Duration::from_secs(10), 100_000, 60_000);
    let load = play.run(Duration::from_secs(3), 10_000, 10_000);
    assert_eq!(play.link.max_receiving(), None, "{load:?}");
}

/// Guards against requests that fill a small link while they wait to be accepted.
#[test]
fn fewer_connections_wait_at_a_smaller_link() {
    assert_eq!(link::backlog(None, 1_024), 1_024);
    let small = link::backlog(Some(bandwidth()), 1_024);
    assert!((4..=16).contains(&small), "{small}");
    let large = Bandwidth::from_mbps(10_000.0).unwrap();
    assert_eq!(link::backlog(Some(large), 1_024), 1_024);
}
