//! Leaving out endpoints that fail.

use cinderspoke_core::gateway::health::{self, Health, Observation};

use super::ms;

#[test]
fn an_endpoint_that_stalls_is_left_out_and_then_tried_by_one_request() {
    let mut health = Health::default();
    assert!(health.record(Observation::Stall, ms(0)));
    assert_eq!(health.state(ms(100)), health::State::Ejected);
    assert_eq!(health.state(ms(900)), health::State::ProbeDue);
    health.start_probe(ms(900));
    assert_eq!(health.state(ms(901)), health::State::Ejected, "one request is enough");
    health.record(Observation::Good, ms(950));
    assert_eq!(health.state(ms(951)), health::State::Healthy);
}

#[test]
fn an_endpoint_that_fails_now_and_then_stays() {
    let mut health = Health::default();
    for request in 0..300 {
        let sign = if request % 7 == 0 { Observation::Failure } else { Observation::Good };
        assert!(!health.record(sign, ms(request)), "one in seven fails by itself");
    }
}

#[test]
fn an_endpoint_that_fails_most_requests_is_left_out() {
    let mut health = Health::default();
    let out = (0..30).any(|request| {
        let sign = if request % 3 == 0 { Observation::Good } else { Observation::Failure };
        health.record(sign, ms(request))
    });
    assert!(out);
}
