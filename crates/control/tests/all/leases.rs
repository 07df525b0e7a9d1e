//! Leases at the end of the process.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use pimento_control::controller::Controller;
use pimento_control::leases;
use pimento_control::leases::Leases;
use pimento_control::leases::Manager;
use pimento_control::leases::Setup;
use pimento_control::metrics::Metrics;
use pimento_coordination::Appender;
use pimento_coordination::Follower;
use pimento_coordination::appender;
use pimento_coordination::lease;
use pimento_coordination::lease::View;
use pimento_coordination::log::Error;
use pimento_coordination::log::Log;
use pimento_ledger::Stream;
use pimento_ledger::record::LeaseRecord;
use pimento_units::Offset;
use pimento_units::Span;
use pimento_units::Wall;
use pimento_wire::platform::Batch;
use pimento_wire::platform::Entry;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::fakes::example;
use crate::fakes::name;

const SPAN: Duration = Duration::from_millis(900);

/// Time between the effect of an append and its response.
const RESPONSE: Duration = Duration::from_millis(50);

/// Time between two reads.
const READ: Duration = Duration::from_millis(25);

/// A log whose appends take effect some time before they are answered.
#[derive(Debug, Clone)]
struct SlowLog {
    start: Instant,
    records: Arc<Mutex<Vec<Entry>>>,
}

impl SlowLog {
    fn now(&self) -> Wall {
        let elapsed = self.start.elapsed().as_millis();
        Wall::from_millis(u64::try_from(elapsed).expect("a short test"))
    }

    fn len(&self) -> usize {
        self.records.lock().unwrap().len()
    }

    fn released(&self) -> usize {
        let records = self.records.lock().unwrap();
        let records = records.iter().map(|entry| entry.record.as_str());
        let is_release = |text: &str| {
            let record = serde_json::from_str(text).expect("a record");
            matches!(record, LeaseRecord::Release(_))
        };
        records.filter(|text| is_release(text)).count()
    }
}

impl Log for SlowLog {
    async fn append(&self, _: Stream, records: Vec<String>) -> Result<Offset, Error> {
        let at = self.now();
        let first = self.len();
        for record in records {
            let offset = Offset(self.len() as u64);
            let entry = Entry { offset, at, record };
            self.records.lock().unwrap().push(entry);
        }
        tokio::time::sleep(RESPONSE).await;
        Ok(Offset(first as u64))
    }

    async fn read(&self, _: Stream, from: Offset, _: usize, _: Duration) -> Result<Batch, Error> {
        tokio::time::sleep(READ).await;
        let records = self.records.lock().unwrap();
        let newer = records.iter().filter(|entry| entry.offset >= from);
        let end = Offset(records.len() as u64);
        Ok(Batch {
            records: newer.cloned().collect(),
            next: end,
            end,
            now: self.now(),
        })
    }
}

/// The process ends while its leases are renewed. Guards against releases that end with it, for which a
/// successor would wait.
#[tokio::test(start_paused = true)]
async fn leases_are_released_although_a_renewal_is_under_way() {
    let log = SlowLog {
        start: Instant::now(),
        records: Arc::default(),
    };
    let token = CancellationToken::new();
    let stream = Stream::Leases;
    let setup = Setup {
        node: name("control-1"),
        zone: name("kig-remera"),
        lease: lease::Config {
            span: Span::from(SPAN),
            margin: SPAN / 9,
        },
        appender: Appender::start(log.clone(), appender::Config::default(), token.clone()),
        follower: Follower::start(
            log.clone(),
            stream,
            Offset(0),
            View::default(),
            token.clone(),
        ),
    };
    let leases = Leases::new(name("kig-remera"));
    let stop = token.child_token();
    let (_state, state) = watch::channel(Arc::new(example()));
    let metrics = Metrics::new().expect("new metrics");
    let mut manager = Manager::new(setup.clone(), leases.clone(), state, metrics, stop.clone());
    let Ok(_) = manager.pass().await;
    while leases.all_held().is_empty() {
        tokio::time::sleep(READ).await;
    }
    let held = leases.all_held().len();
    let records = log.len();
    while log.len() == records {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    leases::release(&leases, &stop, Duration::from_secs(3)).await;
    token.cancel();
    assert_eq!(log.released(), held);
}
