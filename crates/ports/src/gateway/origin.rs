//! The origin from which weights are fetched.

use async_trait::async_trait;
use bytes::Bytes;
use cinderspoke_core::gateway::name::Model;
use cinderspoke_core::gateway::rollout::Version;
use serde::{Deserialize, Serialize};

use crate::Error;

/// The chunks of one version of a model's weights, as an origin lists them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// The size of a chunk, in bytes; the last chunk may be smaller.
    pub chunk_bytes: u64,
    /// The SHA-256 of each chunk, in order.
    pub digests: Vec<[u8; 32]>,
}

/// An origin of weights.
#[async_trait]
pub trait Origin: Send + Sync {
    /// Returns the list of a version's chunks.
    async fn listing(&self, model: &Model, version: Version) -> Result<Listing, Error>;

    /// Fetches a chunk; `chunk` counts from zero. The bytes are not verified.
    async fn chunk(&self, model: &Model, version: Version, chunk: usize) -> Result<Bytes, Error>;
}
