//! Snapshots of views, which a VM that starts adopts from another one.

use std::time::Duration;

use bytes::Bytes;
use pimento_relay::boot;
use pimento_relay::bundle::Bundle;
use pimento_relay::bundle::SharedTopic;
use pimento_relay::follow::View;
use pimento_relay::snapshot;
use pimento_relay::snapshot::Error;
use pimento_relay::snapshot::Snapshot;
use pimento_relay::topic::Record;
use pimento_units::Moment;
use pimento_units::Offset;

use crate::fixture::All;
use crate::fixture::Fixture;
use crate::log::Behaviour;

const DEPLOYMENT: &str = "10.0.0.1:8223";
const AGE: Duration = Duration::from_millis(70);

fn bundle() -> Bundle {
    Bundle {
        topic: SharedTopic::Operators,
        from: Offset::default(),
        to: Offset(9),
        records: vec![(Offset(3), "config".into(), Some(Bytes::from("routes")))],
    }
}

fn encoded(bundle: &Bundle) -> Bytes {
    snapshot::encode(DEPLOYMENT, AGE, bundle.pack().unwrap()).unwrap()
}

#[test]
fn an_encoded_snapshot_decodes_unchanged() {
    let opened = snapshot::decode(DEPLOYMENT, SharedTopic::Operators, &encoded(&bundle())).unwrap();
    assert_eq!(opened.records, bundle().records());
    assert_eq!((opened.to, opened.age), (Offset(9), AGE));
}

// Guards against a VM that starts with a view which was truncated or altered in transit.
#[test]
fn a_snapshot_that_was_cut_or_altered_is_refused() {
    let whole = encoded(&bundle());
    for length in 0..whole.len() {
        assert!(snapshot::decode(DEPLOYMENT, SharedTopic::Operators, &whole[..length]).is_err());
    }
    for place in 0..whole.len() {
        let mut altered = whole.to_vec();
        altered[place] ^= 1;
        let opened = snapshot::decode(DEPLOYMENT, SharedTopic::Operators, &altered);
        assert!(matches!(opened, Err(Error::Digest)), "at {place}");
    }
}

// Guards against a VM that starts with the routes and keys of another system because one of its VMs now has
// a neighbour's former address.
#[test]
fn a_snapshot_of_another_deployment_is_refused() {
    let opened = snapshot::decode("10.0.0.2:8223", SharedTopic::Operators, &encoded(&bundle()));
    assert!(matches!(opened, Err(Error::WrongDeployment { .. })));
}

// Guards against a view of another topic, and against one that lacks the first records of the topic.
#[test]
fn a_snapshot_of_a_part_or_another_topic_is_refused() {
    let opened = snapshot::decode(DEPLOYMENT, SharedTopic::Endpoints, &encoded(&bundle()));
    assert!(matches!(opened, Err(Error::WrongContent { .. })));
    let part = Bundle {
        from: Offset(2),
        ..bundle()
    };
    let opened = snapshot::decode(DEPLOYMENT, SharedTopic::Operators, &encoded(&part));
    assert!(matches!(opened, Err(Error::WrongContent { .. })));
}

// Guards against a snapshot of some kilobytes that unpacks without end and fills a small VM's memory.
#[test]
fn a_snapshot_that_unpacks_without_end_is_refused() {
    let mut long = bundle();
    long.records[0].2 = Some(Bytes::from(vec![0; 64 << 20]));
    assert!(snapshot::decode(DEPLOYMENT, SharedTopic::Operators, &encoded(&long)).is_err());
}

// Guards against a view that seems younger than it is on a VM whose clock began after the view was proven.
#[test]
fn a_view_older_than_the_clock_is_proven_by_nothing() {
    let sent = Moment::ZERO + Duration::from_secs(1);
    assert_eq!(
        snapshot::proven_at(sent, AGE),
        Some(Moment::ZERO + Duration::from_millis(930))
    );
    assert_eq!(snapshot::proven_at(sent, Duration::from_secs(2)), None);
}

// Guards against calls of the log for the VMs that start: a VM serves the view that it has, and tells its age.
#[tokio::test]
async fn serving_a_view_makes_no_call() {
    let fixture = Fixture::new();
    fixture.log.put("a", Some("1"));
    fixture.log.put("b", Some("1"));
    fixture.log.put("b", None);
    fixture
        .until("a proof", |f| f.follower.proven_at().is_some())
        .await;
    fixture.make_served().await;
    let calls = fixture.log.calls();
    let proven = fixture.follower.proven_at().unwrap();
    let (one, proven_one) = fixture.follower.snapshot().unwrap();
    let (other, _) = fixture.follower.snapshot().unwrap();
    assert_eq!(fixture.log.calls(), calls);
    assert_eq!(one.records, other.records);
    let keys: Vec<&str> = one.records.iter().map(|r| r.key.as_str()).collect();
    assert_eq!((keys, proven_one), (vec!["a"], proven));
    assert!(one.age <= boot::now().since(proven));
    assert!(other.age >= one.age);
}

// Guards against endpoints that stay in use after they ended: the log has dropped the records that removed
// them, and the view was replaced by a neighbour's, which does not have the endpoints.
#[test]
fn adopting_a_snapshot_removes_keys_that_it_lacks() {
    let mut view = View::new(All::default());
    let record = |offset, key: &str| Record {
        offset: Offset(offset),
        key: key.into(),
        value: Some(Bytes::from("1")),
    };
    let now = boot::now();
    for record in [record(0, "gone"), record(1, "stays")] {
        view.apply(&record, now);
    }
    view.next = None;
    let snapshot = Snapshot {
        records: vec![record(1, "stays"), record(7, "new")],
        to: Offset(9),
        age: Duration::ZERO,
    };
    view.adopt(&snapshot, Some(now), now);
    let keys: Vec<&str> = view.newest.iter().map(|r| r.key.as_str()).collect();
    assert_eq!(keys, ["new", "stays"]);
    assert_eq!(view.next, Some(Offset(9)));
    assert_eq!(view.proven_at, Some(now));
}

// Guards against an old view that is taken for a young one while the log is unreachable, and against calling
// an unreachable log once for each VM that starts.
#[tokio::test]
async fn a_view_that_cannot_be_read_again_tells_its_age() {
    let fixture = Fixture::new();
    fixture.log.put("a", Some("1"));
    fixture.until("a", |f| f.keys() == ["a"]).await;
    fixture.make_served().await;
    fixture.log.set_behaviour(Behaviour::Refusing);
    tokio::time::sleep(Duration::from_millis(100)).await;
    let calls = fixture.log.calls();
    for _ in 0..5 {
        let (snapshot, _) = fixture.follower.snapshot().unwrap();
        assert!(snapshot.age >= Duration::from_millis(100));
    }
    let calls = fixture.log.calls() - calls;
    assert!(calls <= 2, "{calls} calls");
}
