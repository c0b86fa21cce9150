//! How long a peer may take to give a chunk.

use std::time::Duration;

use cinderspoke::agent::fetch::Timeouts;
use cinderspoke_types::size::Bytes;

const TIMEOUTS: Timeouts = Timeouts { chunk: Duration::from_secs(1), wait: Duration::from_secs(1) };

// A chunk that takes longer than the time that suffices for small ones is fetched in vain
// again and again.
#[test]
fn a_large_chunk_may_take_as_long_as_a_slow_link_does() {
    assert_eq!(TIMEOUTS.for_chunk(Bytes::new(24_576)), Duration::from_secs(1));
    assert_eq!(TIMEOUTS.for_chunk(Bytes::from_mib(16)), Duration::from_millis(167_772));
}
