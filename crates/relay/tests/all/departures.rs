//! Endpoints that said that they leave, as a VM remembers them and tells others.

use std::time::Duration;

use pimento_relay::departures::Departures;
use pimento_relay::incarnation::Incarnation;
use pimento_units::Moment;

fn departure(number: u32) -> Incarnation {
    Incarnation::new(&format!("i-{number}").parse().unwrap(), 7)
}

fn at(seconds: u64) -> Moment {
    Moment::ZERO + Duration::from_secs(seconds)
}

/// Guards against datagrams that grow beyond what VMs receive when hundreds of endpoints leave together.
#[test]
fn many_departures_fit_a_datagram() {
    let departures = Departures::default();
    for number in 0..500 {
        assert!(departures.record(departure(number), at(10)));
    }
    assert!(departures.record(departure(500), at(11)));
    let told = departures.to_tell(at(11));
    assert_eq!((told.len(), told[0]), (32, departure(500)));
    assert!((0..=500).all(|number| departures.contains(departure(number), at(11))));
}

#[test]
fn a_departure_is_told_once_and_forgotten_at_last() {
    let departures = Departures::default();
    assert!(departures.record(departure(1), at(10)));
    assert!(!departures.record(departure(1), at(11)));
    assert_eq!(departures.to_tell(at(11)), [departure(1)]);
    assert_eq!(departures.to_tell(at(13)), []);
    assert!(departures.contains(departure(1), at(500)));
    assert!(!departures.contains(departure(1), at(700)));
    let next_life = Incarnation::new(&"i-1".parse().unwrap(), 8);
    assert!(!departures.contains(next_life, at(11)));
}
