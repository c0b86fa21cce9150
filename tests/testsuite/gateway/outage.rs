//! Whether the platform was away for all.

use cinderspoke_core::gateway::outage::{Ago, Outage};

use super::ms;

fn ago(milliseconds: u64) -> Ago {
    ms(milliseconds).into()
}

/// An outage from the second to the tenth second.
fn outage() -> Outage {
    let mut outage = Outage::default();
    outage.record_answer(ms(1000));
    outage.record_loss(ms(2000));
    outage.record_return(ms(10_000));
    outage
}

#[test]
fn an_answer_to_another_gateway_in_its_midst_tells_that_the_outage_was_ones_own() {
    let mut during = Outage::default();
    during.record_loss(ms(2000));
    assert!(!during.is_local());
    assert!(during.merge_answers(&[ago(100)], ms(5000)));
    assert!(!during.merge_answers(&[ago(100)], ms(5100)), "it is no news any more");
    during.record_return(ms(6000));
    assert!(during.is_local());

    let mut after = outage();
    assert!(after.merge_answers(&[ago(3000)], ms(10_200)), "told only after the return");
    assert!(after.is_local());
}

#[test]
fn answers_before_and_after_an_outage_tell_nothing() {
    let mut outage = outage();
    for at in [500, 1900, 2400, 9700, 10_000, 10_100] {
        assert!(!outage.merge_answers(&[ago(10_200 - at)], ms(10_200)), "at {at} ms");
    }
    assert!(!outage.is_local());
}

#[test]
fn the_next_outage_is_judged_by_itself() {
    let mut outage = outage();
    assert!(outage.merge_answers(&[ago(3000)], ms(10_200)));
    outage.record_loss(ms(20_000));
    assert!(!outage.is_local());
    outage.record_loss(ms(21_000));
    assert!(outage.merge_answers(&[ago(0)], ms(20_900)), "it began at 20 s");
}

#[test]
fn the_newest_answer_to_anyone_is_passed_on() {
    let mut outage = Outage::default();
    assert_eq!(outage.answers(ms(1000)).first(), None);
    outage.record_answer(ms(1000));
    assert!(!outage.merge_answers(&[ago(4000)], ms(5000)));
    assert_eq!(outage.answers(ms(5000)).first(), Some(&ago(4000)));
    assert!(!outage.merge_answers(&[ago(200)], ms(5000)));
    assert_eq!(outage.answers(ms(5000)).first(), Some(&ago(200)));
}

#[test]
fn answers_to_who_lost_the_platform_too_are_told_only_once_all_had_time_to_return() {
    let mut outage = outage();
    outage.record_answer(ms(10_000));
    assert_eq!(outage.answers(ms(10_100)).first(), Some(&ago(9100)), "that of before the outage");
    outage.record_answer(ms(14_000));
    assert_eq!(outage.answers(ms(14_100)).first(), Some(&ago(100)));
}

#[test]
fn answers_after_an_outage_of_ones_own_are_told_at_once() {
    let mut outage = outage();
    assert!(outage.merge_answers(&[ago(3000)], ms(10_200)));
    outage.record_answer(ms(10_300));
    assert_eq!(outage.answers(ms(10_400)).first(), Some(&ago(100)));
}

// Whoever is cut off from all others hears of their answers only after its own return, and
// the last of them is of after that by then.
#[test]
fn answers_in_its_midst_are_told_beside_later_ones() {
    let mut other = Outage::default();
    for at in (0..200).map(|number| 2000 + 50 * number) {
        other.record_answer(ms(at));
    }
    let told = other.answers(ms(12_000));
    assert!(told.len() < 50, "they stay few: {}", told.len());
    assert!(told[0] < ago(300), "the last one among them: {:?}", told[0]);
    let mut cut = outage();
    assert!(cut.merge_answers(&told, ms(12_010)));
    assert!(cut.is_local());
    let mut passed_on = outage();
    assert!(passed_on.merge_answers(&cut.answers(ms(12_020)), ms(12_030)), "others pass them on");
}

#[test]
fn what_is_given_up_after_the_return_begins_no_new_outage() {
    let mut outage = outage();
    assert!(outage.merge_answers(&[ago(3000)], ms(10_200)));
    outage.record_loss(ms(3000));
    assert!(outage.is_local(), "it is the one that is over");
    assert_eq!(outage.ended(), Some(ms(10_000)));
    outage.record_loss(ms(10_100));
    assert_eq!(outage.ended(), None);
    assert!(!outage.is_local());
}

#[test]
fn it_tells_when_the_platform_was_last_known_to_be_away_before_the_return() {
    let mut outage = Outage::default();
    outage.record_failure(ms(3000));
    outage.record_loss(ms(2000));
    outage.record_failure(ms(4000));
    outage.record_failure(ms(3500));
    assert_eq!(outage.last_unanswered(), None);
    outage.record_return(ms(5000));
    assert_eq!(outage.last_unanswered(), Some(ms(4000)));
    outage.record_failure(ms(5500));
    outage.record_return(ms(6000));
    assert_eq!(outage.last_unanswered(), Some(ms(4000)), "what fails later is of another one");
}
