//! The addresses that tests listen on.
//!
//! Guards against two concurrent test runs that get the same addresses, where a test that listens
//! fails with "address in use": this happened to processes whose ids were equal modulo 200.

use std::collections::HashSet;
use std::net::TcpListener;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};

use cinderspoke::entry::listen;
use cinderspoke::util::listen::udp;
use cinderspoke_test_support::address::{free, place};

#[test]
fn concurrent_processes_get_different_addresses() {
    let mut given = HashSet::new();
    for process in 4_100_000..4_110_000 {
        for number in [1, 167, 300] {
            assert!(given.insert(place(process, number)), "process {process}, number {number}");
        }
    }
}

// Guards against a free address that is sometimes in use when a test listens on it: it is tried
// by listening, and another thread starts a program before that listener is closed. Between fork
// and exec the child has copies of all sockets, and the copy of a listening socket keeps the
// address in use. This happens within one run, in tests that share a process with tests which
// start programs.
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

/// Counts how often `fails` returns true while other threads start programs.
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

// Guards against an entry instance that is killed and restarted and finds its address in use:
// another test starts a program while the instance listens, and the instance is killed and
// listens again before the child's exec. As above, the child's copy of the listening socket
// keeps the address in use.
#[test]
fn a_restarted_instance_gets_its_address_while_other_tests_start_programs() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let address = free().unwrap();
    let failed = failures_beside_programs(|| runtime.block_on(listen(address)).is_err());
    assert_eq!(failed, 0, "the address of a closed listener was in use");
}

#[test]
fn a_restarted_instance_gets_its_udp_address_while_other_tests_start_programs() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let address = free().unwrap();
    let failed = failures_beside_programs(|| runtime.block_on(udp(address)).is_err());
    assert_eq!(failed, 0, "the address of a closed socket was in use");
}

#[tokio::test(start_paused = true)]
async fn an_address_that_stays_in_use_is_reported() {
    let (holder, _) = listen(free().unwrap()).await.unwrap();
    let address = holder.local_addr().unwrap();
    let error = listen(address).await.unwrap_err();
    let expected = format!("listening to {address}: Address already in use");
    assert!(format!("{error:#}").starts_with(&expected), "{error:#}");
}
