//! The limit of requests from all gateways together to a cold endpoint.

use std::time::Duration;

use cinderspoke_core::gateway::cold::{Bound, Options, WINDOW};
use cinderspoke_core::gateway::quota::Sends;
use cinderspoke_core::rendezvous::Key;
use yare::parameterized;

use super::ms;

fn keys(gateways: u16) -> Vec<Key> {
    let address = |number: u16| {
        let [high, low] = number.to_be_bytes();
        std::net::SocketAddr::from(([10, 0, high, low], 7700))
    };
    (0..gateways).map(|number| Key::of_address(address(number))).collect()
}

/// The shares of all gateways for an endpoint; each gateway knows all others.
fn shares(bound: Bound, gateways: u16, endpoint: &str) -> Vec<usize> {
    let keys = keys(gateways);
    let share = |own: &Key| {
        let others: Vec<_> = keys.iter().copied().filter(|other| other != own).collect();
        bound.share(Key::of(endpoint), *own, &others)
    };
    keys.iter().map(share).collect()
}

// Guards against gateways that together send more than a cold endpoint can handle.
#[parameterized(one = { 1 }, few = { 9 }, as_many_as_the_bound = { 26 }, many = { 60 }, hundreds = { 546 })]
fn the_shares_of_all_gateways_are_within_the_bound(gateways: u16) {
    let bound = Options { overage: 1.5, slack: 5.0 }.bound(14.0);
    assert_eq!(bound, Bound(26.0));
    for endpoint in ["e1", "e2", "e3"] {
        let sum: usize = shares(bound, gateways, endpoint).iter().sum();
        assert!((19..=21).contains(&sum), "{sum} of 26 at {gateways} gateways");
    }
}

// Guards against the same few gateways having the shares of every endpoint.
#[test]
fn with_fewer_shares_than_gateways_each_endpoint_gives_them_to_different_ones() {
    let with_share = |endpoint: &str| {
        let shares = shares(Bound(26.0), 200, endpoint);
        shares.iter().map(|share| *share > 0).collect::<Vec<_>>()
    };
    let (one, other) = (with_share("e1"), with_share("e2"));
    let both = one.iter().zip(&other).filter(|(one, other)| **one && **other).count();
    assert!(both < 10, "{both} of 20 have a share of both");
}

// Guards against flooding a zone that recovers, when all gateways send there at once.
#[test]
fn a_recovered_zone_receives_no_more_than_the_bound_in_any_second() {
    const GATEWAYS: u16 = 31;
    let shares = shares(Bound(26.0), GATEWAYS, "e1");
    let mut sends: Vec<Sends> = (0..GATEWAYS).map(|_| Sends::default()).collect();
    let mut arrived: Vec<Duration> = Vec::new();
    for now in (0..5000).map(ms) {
        for (sends, share) in sends.iter_mut().zip(&shares) {
            if sends.count(WINDOW, now) < *share {
                sends.add(now);
                arrived.push(now + ms(now.as_millis() as u64 % 7));
            }
        }
    }
    arrived.sort_unstable();
    let within = |from: &Duration| {
        arrived.iter().filter(|at| *at >= from && **at < *from + Duration::from_secs(1)).count()
    };
    let most = arrived.iter().map(within).max().unwrap_or_default();
    assert!(most <= 26, "{most} in a second");
    assert!(arrived.len() >= 80, "{} in five seconds: the bound is used", arrived.len());
}
