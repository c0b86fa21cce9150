//! The timeout for a chunk from a peer.

use std::time::Duration;

use cinderspoke::agent::fetch::Timeouts;
use cinderspoke_types::size::Bytes;

const TIMEOUTS: Timeouts = Timeouts { chunk: Duration::from_secs(1), wait: Duration::from_secs(1) };

// Guards against a timeout that suffices only for small chunks: a large one would be requested
// again and again and never complete.
#[test]
fn the_timeout_of_a_large_chunk_suffices_for_a_slow_link() {
    assert_eq!(TIMEOUTS.for_chunk(Bytes::new(24_576)), Duration::from_secs(1));
    assert_eq!(TIMEOUTS.for_chunk(Bytes::from_mib(16)), Duration::from_millis(167_772));
}
