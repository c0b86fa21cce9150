//! The quarantine of requests, kept in the platform's store for gateways that start later.

use async_trait::async_trait;
use cinderspoke_core::gateway::fingerprint::Fingerprint;

use crate::Error;

/// The quarantined requests in the platform's store.
#[async_trait]
pub trait Quarantine: Send + Sync {
    /// Returns the quarantined requests in the order of their last write, the latest at the end.
    async fn quarantined(&self) -> Result<Vec<Fingerprint>, Error>;

    /// Records that a request is quarantined.
    async fn quarantine(&self, request: Fingerprint) -> Result<(), Error>;

    /// Records that a request is no longer quarantined.
    async fn release(&self, request: Fingerprint) -> Result<(), Error>;
}
