//! How long requests are still sent to an old version.

use std::time::Duration;

use cinderspoke_core::gateway::overlap::Overlap;
use yare::parameterized;

use super::ms;

#[parameterized(
    bound_4_s = { 4000, 2400, 3200 },
    bound_8_s = { 8000, 4800, 6400 },
    bound_10_s = { 10_000, 6800, 8400 },
    bound_13_4_s = { 13_400, 10_200, 11_800 },
)]
fn margins_are_proportional_below_8_s_and_fixed_from_there(bound: u64, narrow: u64, clear: u64) {
    let overlap = Overlap::within(ms(bound));
    assert_eq!(overlap, Overlap { narrow: ms(narrow), clear: ms(clear) });
}

// Links delay requests equally under any bound, so a smaller margin under a longer bound would
// let requests begin on the old version too late.
#[test]
fn margins_never_shrink_as_the_bound_grows() {
    let margins = |bound: u64| {
        let Overlap { narrow, clear } = Overlap::within(ms(bound));
        (ms(bound) - narrow, ms(bound) - clear)
    };
    let mut previous = (Duration::ZERO, Duration::ZERO);
    for bound in (0..30_000).step_by(100) {
        let (narrow, clear) = margins(bound);
        assert!(narrow >= previous.0 && clear >= previous.1, "{bound} ms");
        assert!(narrow >= clear, "{bound} ms");
        previous = (narrow, clear);
    }
}
