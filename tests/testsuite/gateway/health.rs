//! Ejection of endpoints whose requests fail.

use cinderspoke_core::gateway::health::{self, Health, Observation};

use super::ms;

#[test]
fn an_endpoint_that_stalls_is_ejected_and_then_probed_with_one_request() {
    let mut health = Health::default();
    assert!(health.record(Observation::Stall, ms(0)));
    assert_eq!(health.state(ms(100)), health::State::Ejected);
    assert_eq!(health.state(ms(900)), health::State::ProbeDue);
    health.start_probe(ms(900));
    assert_eq!(health.state(ms(901)), health::State::Ejected, "only one probe at a time");
    health.record(Observation::Good, ms(950));
    assert_eq!(health.state(ms(951)), health::State::Healthy);
}

#[test]
fn an_endpoint_that_fails_occasionally_is_not_ejected() {
    let mut health = Health::default();
    for request in 0..300 {
        let observation = if request % 7 == 0 { Observation::Failure } else { Observation::Good };
        assert!(!health.record(observation, ms(request)), "one failure in seven is tolerated");
    }
}

#[test]
fn an_endpoint_that_fails_most_requests_is_ejected() {
    let mut health = Health::default();
    let is_ejected = (0..30).any(|request| {
        let observation = if request % 3 == 0 { Observation::Good } else { Observation::Failure };
        health.record(observation, ms(request))
    });
    assert!(is_ejected);
}
