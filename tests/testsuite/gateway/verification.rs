//! When staged chunks are read back, and when an order may be sent.

use std::time::Duration;

use cinderspoke_core::gateway::verification::{Step, TOLERANCE, Verification};
use yare::parameterized;

const CHUNKS: usize = 96;

/// The time left for an order to be answered.
const ORDER_TIME: Duration = Duration::from_millis(1500);

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Reads chunks back as an engine does that takes `read_time` for each, until an order may be sent.
/// Returns when that is, and what to do then.
fn read_until_order(verification: &mut Verification, read_time: Duration) -> (Duration, Step) {
    let mut now = Duration::ZERO;
    loop {
        let Step::Read(stale) = verification.step(now) else {
            return (now, verification.step(now));
        };
        let mut left = stale.into_iter().peekable();
        while left.peek().is_some() {
            let began = now;
            now += read_time;
            let at_once: Vec<_> = left.by_ref().take(verification.concurrent_reads()).collect();
            at_once.into_iter().for_each(|chunk| verification.record_intact(chunk, began, now));
        }
    }
}

// Guards against an order whose chunks were verified too long before it is answered.
#[parameterized(sound = { 12 }, slow = { 48 }, very_slow = { 200 })]
fn an_order_is_sent_while_all_chunks_are_verified(read_ms: u64) {
    let mut verification = Verification::new(CHUNKS);
    let (at, step) = read_until_order(&mut verification, ms(read_ms));
    assert_eq!(step, Step::Order);
    assert!(verification.age(at).unwrap() + ORDER_TIME <= TOLERANCE);
    assert!(verification.proves_whole(at + ORDER_TIME - ms(1)));
    assert!(!verification.proves_whole(at + TOLERANCE), "the order was answered too late");
}

// Guards against a slow engine that never gets a version.
#[test]
fn an_engine_that_is_too_slow_gets_its_order_and_is_verified_again() {
    let mut verification = Verification::new(CHUNKS);
    let (at, step) = read_until_order(&mut verification, ms(1200));
    assert_eq!(step, Step::OrderThenVerify);
    assert!(!verification.proves_whole(at + ORDER_TIME));
}

#[test]
fn chunks_are_read_again_once_their_verification_is_too_old() {
    let mut verification = Verification::new(2);
    verification.record_intact(0, ms(0), ms(10));
    verification.record_intact(1, ms(1000), ms(1010));
    assert_eq!(verification.step(ms(1400)), Step::Order);
    assert_eq!(verification.step(ms(1600)), Step::Read(vec![0]));
    assert_eq!(verification.step(ms(2600)), Step::Read(vec![0, 1]));
}

#[test]
fn a_chunk_that_was_replaced_counts_as_unverified() {
    let mut verification = Verification::new(2);
    verification.record_intact(0, ms(0), ms(10));
    verification.record_intact(1, ms(0), ms(10));
    verification.record_bad(1, ms(20), ms(30));
    assert_eq!(verification.age(ms(40)), None);
    assert!(!verification.proves_whole(ms(40)));
    assert_eq!(verification.step(ms(40)), Step::Read(vec![1]));
}

// Guards against more connections than a sound engine needs, as each one takes work there.
#[parameterized(idle = { 1, 1 }, sound = { 12, 2 }, slow = { 48, 8 }, very_slow = { 2000, 24 })]
fn a_slow_engine_is_read_with_more_reads_at_once(read_ms: u64, reads: usize) {
    let mut verification = Verification::new(CHUNKS);
    verification.record_intact(0, ms(0), ms(read_ms));
    assert_eq!(verification.concurrent_reads(), reads);
}
