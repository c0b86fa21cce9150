//! Whether an outage of the platform is local to one gateway.

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
fn an_answer_to_another_gateway_within_an_outage_shows_that_it_is_local() {
    let mut during = Outage::default();
    during.record_loss(ms(2000));
    assert!(!during.is_local());
    assert!(during.merge_answers(&[ago(100)], ms(5000)));
    assert!(!during.merge_answers(&[ago(100)], ms(5100)), "it is known already");
    during.record_return(ms(6000));
    assert!(during.is_local());

    let mut after = outage();
    assert!(after.merge_answers(&[ago(3000)], ms(10_200)), "received only after the outage");
    assert!(after.is_local());
}

#[test]
fn answers_before_and_after_an_outage_do_not_make_it_local() {
    let mut outage = outage();
    for at in [500, 1900, 2400, 9700, 10_000, 10_100] {
        assert!(!outage.merge_answers(&[ago(10_200 - at)], ms(10_200)), "at {at} ms");
    }
    assert!(!outage.is_local());
}

#[test]
fn the_next_outage_is_independent_of_the_last() {
    let mut outage = outage();
    assert!(outage.merge_answers(&[ago(3000)], ms(10_200)));
    outage.record_loss(ms(20_000));
    assert!(!outage.is_local());
    outage.record_loss(ms(21_000));
    assert!(outage.merge_answers(&[ago(0)], ms(20_900)), "it began at 20 s");
}

#[test]
fn the_newest_answer_to_any_gateway_is_forwarded() {
    let mut outage = Outage::default();
    assert_eq!(outage.answers(ms(1000)).first(), None);
    outage.record_answer(ms(1000));
    assert!(!outage.merge_answers(&[ago(4000)], ms(5000)));
    assert_eq!(outage.answers(ms(5000)).first(), Some(&ago(4000)));
    assert!(!outage.merge_answers(&[ago(200)], ms(5000)));
    assert_eq!(outage.answers(ms(5000)).first(), Some(&ago(200)));
}

#[test]
fn answers_after_a_shared_outage_are_sent_once_all_gateways_can_have_recovered() {
    let mut outage = outage();
    outage.record_answer(ms(10_000));
    assert_eq!(
        outage.answers(ms(10_100)).first(),
        Some(&ago(9100)),
        "the answer before the outage"
    );
    outage.record_answer(ms(14_000));
    assert_eq!(outage.answers(ms(14_100)).first(), Some(&ago(100)));
}

#[test]
fn answers_after_a_local_outage_are_sent_at_once() {
    let mut outage = outage();
    assert!(outage.merge_answers(&[ago(3000)], ms(10_200)));
    outage.record_answer(ms(10_300));
    assert_eq!(outage.answers(ms(10_400)).first(), Some(&ago(100)));
}

// A gateway that is cut off from all others receives their answers only after its outage, when
// the last of them is also from after the outage.
#[test]
fn answers_within_an_outage_are_sent_together_with_later_ones() {
    let mut other = Outage::default();
    for at in (0..200).map(|number| 2000 + 50 * number) {
        other.record_answer(ms(at));
    }
    let answers = other.answers(ms(12_000));
    assert!(answers.len() < 50, "{} answers", answers.len());
    assert!(answers[0] < ago(300), "the last answer is missing: {:?}", answers[0]);
    let mut cut = outage();
    assert!(cut.merge_answers(&answers, ms(12_010)));
    assert!(cut.is_local());
    let mut forwarded = outage();
    assert!(forwarded.merge_answers(&cut.answers(ms(12_020)), ms(12_030)), "others forward them");
}

#[test]
fn a_call_given_up_after_an_outage_starts_no_new_one() {
    let mut outage = outage();
    assert!(outage.merge_answers(&[ago(3000)], ms(10_200)));
    outage.record_loss(ms(3000));
    assert!(outage.is_local(), "it belongs to the outage that has ended");
    assert_eq!(outage.ended(), Some(ms(10_000)));
    outage.record_loss(ms(10_100));
    assert_eq!(outage.ended(), None);
    assert!(!outage.is_local());
}

#[test]
fn the_last_failure_before_the_end_of_an_outage_is_known() {
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
    assert_eq!(outage.last_unanswered(), Some(ms(4000)), "later failures belong to another outage");
}
