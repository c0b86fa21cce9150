//! The quarantine of requests and parts of prompts, kept in the platform's store for gateways that
//! start later.

use async_trait::async_trait;
use cinderspoke_core::gateway::suspect::Subject;

use super::Listed;
use crate::Error;

/// The quarantined requests and parts of prompts in the platform's store.
#[async_trait]
pub trait Quarantine: Send + Sync {
    /// Returns what is quarantined in the order of the last write, the latest at the end.
    async fn quarantined(&self) -> Result<Listed<Vec<Subject>>, Error>;

    /// Records that a request or part is quarantined.
    async fn quarantine(&self, subject: Subject) -> Result<(), Error>;

    /// Records that a request or part is no longer quarantined.
    async fn release(&self, subject: Subject) -> Result<(), Error>;
}
