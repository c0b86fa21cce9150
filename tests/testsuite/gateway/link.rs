//! Detection of congested links by chunk requests.

use cinderspoke_core::gateway::link::{Link, Observation};

use super::ms;

#[test]
fn a_link_is_congested_for_a_while_after_a_slow_or_failed_chunk_request() {
    let mut link = Link::default();
    assert!(!link.is_congested(ms(0)));
    link.observe(Observation::ResponseTime(ms(200)), ms(1000));
    assert!(!link.is_congested(ms(1000)));
    link.observe(Observation::ResponseTime(ms(900)), ms(2000));
    assert!(link.is_congested(ms(2000)) && link.is_congested(ms(6900)));
    link.observe(Observation::ResponseTime(ms(200)), ms(3000));
    assert!(link.is_congested(ms(3000)), "one fast chunk does not end it");
    assert!(!link.is_congested(ms(7100)));
    link.observe(Observation::NoResponse, ms(8000));
    assert!(link.is_congested(ms(8100)));
    link.observe(Observation::Inconclusive, ms(14_000));
    assert!(!link.is_congested(ms(14_000)));
}
