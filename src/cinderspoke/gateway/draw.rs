//! What it costs to learn configurations, logged and counted.

use cinderspoke_ports::client::Progress;
use metrics::counter;

use crate::util::metrics::CONFIGURATION_DRAWN;

/// The least part of an answer that is told of, in bytes: less than that is a refusal.
const PART: u64 = 1024;

/// Tells that a configuration came whole, from a gateway at an address or from the store.
pub fn came(source: &'static str, from: &str, version: u64, progress: &Progress) {
    let (bytes, took_ms) = count(source, progress);
    tracing::info!(version, source, from, bytes, took_ms, "configuration fetched");
}

/// Tells that an answer was given up of which a part had come.
pub fn given_up(kind: &'static str, progress: &Progress) {
    if progress.bytes() >= PART {
        let (bytes, took_ms) = count("given-up", progress);
        tracing::info!(kind, bytes, took_ms, "a response was abandoned midway");
    }
}

fn count(source: &'static str, progress: &Progress) -> (u64, u64) {
    let bytes = progress.bytes();
    counter!(CONFIGURATION_DRAWN, "source" => source).increment(bytes);
    (bytes, progress.took().as_millis() as u64)
}
