//! Where weights come from at first.

use async_trait::async_trait;
use bytes::Bytes;
use cinderspoke_core::gateway::name::Model;
use cinderspoke_core::gateway::rollout::Version;
use serde::{Deserialize, Serialize};

use crate::Error;

/// What an origin says of a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Bytes of a chunk.
    pub chunk_bytes: u64,
    /// The SHA-256 of each chunk.
    pub digests: Vec<[u8; 32]>,
}

/// An origin of weights.
#[async_trait]
pub trait Origin: Send + Sync {
    /// The chunks of a version.
    async fn listing(&self, model: &Model, version: Version) -> Result<Listing, Error>;

    /// The bytes of a chunk; not checked.
    async fn chunk(&self, model: &Model, version: Version, chunk: usize) -> Result<Bytes, Error>;
}
