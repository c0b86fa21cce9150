//! Which requests are held back, as the platform's store keeps it for gateways that start.

use async_trait::async_trait;
use cinderspoke_core::gateway::fingerprint::Fingerprint;

use crate::Error;

/// The requests that are held back, in the platform's store.
#[async_trait]
pub trait Quarantine: Send + Sync {
    /// Those that are held back, the ones that were last written at the end.
    async fn quarantined(&self) -> Result<Vec<Fingerprint>, Error>;

    /// Says that a request is held back.
    async fn quarantine(&self, request: Fingerprint) -> Result<(), Error>;

    /// Says that a request is held back no more.
    async fn release(&self, request: Fingerprint) -> Result<(), Error>;
}
