//! Addresses that tests are given.
//!
//! Symptom: a test that listens finds its address in use, once. Cause: two runs
//! of the tests at the same time, whose processes had ids that are equal modulo
//! 200, were given the same addresses.

use std::collections::HashSet;

use cinderspoke_test_support::address::place;

#[test]
fn processes_that_run_at_the_same_time_are_given_different_addresses() {
    let mut given = HashSet::new();
    for process in 4_100_000..4_110_000 {
        for number in [1, 167, 300] {
            assert!(given.insert(place(process, number)), "process {process}, number {number}");
        }
    }
}
