//! Addresses that tests are given.
//!
//! Symptom: a test that listens finds its address in use, once. Cause: two runs
//! of the tests at the same time, whose processes had ids that are equal modulo
//! 200, were given the same addresses.

use std::collections::HashSet;
use std::net::TcpListener;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};

use cinderspoke::entry::listen;
use cinderspoke::util::listen::udp;
use cinderspoke_test_support::address::{free, place};

#[test]
fn processes_that_run_at_the_same_time_are_given_different_addresses() {
    let mut given = HashSet::new();
    for process in 4_100_000..4_110_000 {
        for number in [1, 167, 300] {
            assert!(given.insert(place(process, number)), "process {process}, number {number}");
        }
    }
}

// Symptom: a test that listens finds its address in use, now and then. Sequence:
// the address is tried by listening to it; another thread starts a program; the
// listener is closed, and the address listened to. Cause: from its fork until it
// runs its program a child holds copies of all sockets, and a copy that listens
// keeps the address. What settled it: it happened beside no other run, in tests
// that share their process with those that start programs.
#[test]
fn an_address_stays_free_while_other_tests_start_programs() {
    let done = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                while !done.load(Ordering::Relaxed) {
                    assert!(Command::new("true").status().unwrap().success());
                }
            });
        }
        let taken = (0..3000).filter(|_| TcpListener::bind(free().unwrap()).is_err()).count();
        done.store(true, Ordering::Relaxed);
        assert_eq!(taken, 0, "addresses that were free were in use");
    });
}

/// How often something fails beside threads that start programs.
fn failures_beside_programs(mut fails: impl FnMut() -> bool) -> usize {
    let done = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for _ in 0..2 {
            scope.spawn(|| {
                while !done.load(Ordering::Relaxed) {
                    assert!(Command::new("true").status().unwrap().success());
                }
            });
        }
        let failures = (0..3000).filter(|_| fails()).count();
        done.store(true, Ordering::Relaxed);
        failures
    })
}

// Symptom: an entry instance that was killed and is started again finds its address
// in use, once. Sequence: another test starts a program while the instance listens;
// the instance is killed, and listens again before that program runs. Cause: as
// above, the child's copy of the listener keeps the address.
#[test]
fn an_instance_that_starts_again_gets_its_address_while_other_tests_start_programs() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let address = free().unwrap();
    let failed = failures_beside_programs(|| runtime.block_on(listen(address)).is_err());
    assert_eq!(failed, 0, "an address whose listener had ended was in use");
}

#[test]
fn one_that_receives_datagrams_gets_its_address_as_well() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let address = free().unwrap();
    let failed = failures_beside_programs(|| runtime.block_on(udp(address)).is_err());
    assert_eq!(failed, 0, "an address whose socket had ended was in use");
}

#[tokio::test(start_paused = true)]
async fn an_address_that_is_taken_for_good_is_reported() {
    let (holder, _) = listen(free().unwrap()).await.unwrap();
    let address = holder.local_addr().unwrap();
    let error = listen(address).await.unwrap_err();
    let expected = format!("listening to {address}: Address already in use");
    assert!(format!("{error:#}").starts_with(&expected), "{error:#}");
}
