//! Logs and counts the bytes fetched for configurations.

use cinderspoke_ports::client::Progress;
use metrics::counter;

use crate::util::metrics::CONFIGURATION_FETCHED;

/// The smallest abandoned response that is reported, in bytes: a smaller one is an error
/// response.
const MIN_REPORTED_BYTES: u64 = 1024;

/// Reports that a configuration was fetched completely, from a gateway at an address or from
/// the store.
pub fn completed(source: &'static str, from: &str, version: u64, progress: &Progress) {
    let (bytes, took_ms) = count(source, progress);
    tracing::info!(version, source, from, bytes, took_ms, "configuration fetched");
}

/// Reports that a partly received response was abandoned.
pub fn abandoned(kind: &'static str, progress: &Progress) {
    if progress.bytes() >= MIN_REPORTED_BYTES {
        let (bytes, took_ms) = count("given-up", progress);
        tracing::info!(kind, bytes, took_ms, "a response was abandoned midway");
    }
}

fn count(source: &'static str, progress: &Progress) -> (u64, u64) {
    let bytes = progress.bytes();
    counter!(CONFIGURATION_FETCHED, "source" => source).increment(bytes);
    (bytes, progress.elapsed().as_millis() as u64)
}
