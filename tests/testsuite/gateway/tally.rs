//! The sum of the outstanding requests of all gateways, kept by an endpoint's agent.

use std::net::SocketAddr;
use std::time::Duration;

use cinderspoke_core::gateway::tally::{Outstanding, Tally};

use super::ms;

fn gateway(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

fn outstanding(requests: u32, waiting: u32) -> Outstanding {
    Outstanding { requests, waiting, unread: waiting * 1000 }
}

fn others(tally: &Tally, gateway: SocketAddr, now: Duration) -> Outstanding {
    tally.others(tally.total(now), gateway, now)
}

#[test]
fn each_gateway_gets_the_sum_of_the_others() {
    let mut tally = Tally::default();
    tally.apply(gateway(1), outstanding(3, 1), ms(10), ms(100));
    tally.apply(gateway(2), outstanding(2, 2), ms(10), ms(100));
    assert_eq!(others(&tally, gateway(1), ms(110)), outstanding(2, 2));
    assert_eq!(others(&tally, gateway(2), ms(110)), outstanding(3, 1));
    assert_eq!(others(&tally, gateway(3), ms(110)), outstanding(5, 3));
}

#[test]
fn counts_that_arrive_out_of_order_are_ignored() {
    let mut tally = Tally::default();
    tally.apply(gateway(1), outstanding(0, 0), ms(20), ms(100));
    tally.apply(gateway(1), outstanding(4, 4), ms(10), ms(101));
    assert_eq!(others(&tally, gateway(2), ms(102)), outstanding(0, 0));
}

// A gateway that was killed never reports the end of its requests.
#[test]
fn the_counts_of_a_silent_gateway_expire() {
    let mut tally = Tally::default();
    tally.apply(gateway(1), outstanding(4, 4), ms(50_000), ms(100));
    assert_eq!(others(&tally, gateway(2), ms(1000)), outstanding(4, 4), "repetitions may be lost");
    assert_eq!(others(&tally, gateway(2), ms(2000)), outstanding(0, 0));
    // The next process has a clock of its own.
    tally.apply(gateway(1), outstanding(1, 1), ms(0), ms(2100));
    assert_eq!(others(&tally, gateway(2), ms(2100)), outstanding(1, 1));
}
