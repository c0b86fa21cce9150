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

// Symptom: an entry instance that was killed and is started again finds its address
// in use, once. Sequence: another test starts a program while the instance listens;
// the instance is killed, and listens again before that program runs. Cause: as
// above, the child's copy of the listener keeps the address.
#[test]
fn an_instance_that_starts_again_gets_its_address_while_other_tests_start_programs() {
    let done = AtomicBool::new(false);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let address = free().unwrap();
    std::thread::scope(|scope| {
        for _ in 0..2 {
            scope.spawn(|| {
                while !done.load(Ordering::Relaxed) {
                    assert!(Command::new("true").status().unwrap().success());
                }
            });
        }
        let listens_again = || runtime.block_on(listen(address)).is_err();
        let failed = (0..3000).filter(|_| listens_again()).count();
        done.store(true, Ordering::Relaxed);
        assert_eq!(failed, 0, "an address whose listener had ended was in use");
    });
}
