//! Endpoints: model engines and plain services, with one trait for each.
//!
//! Only the agent on the same instance calls an endpoint.

pub mod http;

use std::collections::BTreeMap;

use ::http::{Request, Response};
use async_trait::async_trait;
use axum::body::Body;
use bytes::Bytes;
use cinderspoke_schema::control::{Generate, Load, Weights};
use cinderspoke_types::counter::Fence;
use cinderspoke_types::digest::Digest;
use displaydoc::Display;
use futures::stream::BoxStream;
use serde::{Deserialize, Serialize};

/// Why a call to an endpoint failed.
#[derive(Debug, Display)]
pub enum Error {
    /// it was not reached or refused to start, so nothing ran: {0}
    NotRun(String),
    /// what it did is not known: {0}
    Unknown(String),
    /// the order's fence is older than one that it has seen
    Fenced,
}

impl std::error::Error for Error {}

/// A piece of a model's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Piece {
    /// A token.
    Token {
        /// Its position in the answer, from 0.
        position: u64,
        /// Its text.
        text: String,
    },
    /// The end of a complete answer.
    Done {
        /// The total number of tokens.
        tokens: u64,
    },
}

/// The phases of a request that an engine runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prefill and decode.
    Whole,
    /// Prefill only: processes prompts.
    Prefill,
    /// Decode only: generates tokens.
    Decode,
}

/// A change in an engine's prefix cache. Events arrive late and may be lost.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Incremented with each event; a gap means that events were lost.
    pub sequence: u64,
    /// The prefix.
    pub prefix: String,
    /// Whether it is in the cache now.
    pub cached: bool,
}

/// The weights that an engine holds.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Inventory {
    /// The highest fence it has seen.
    pub fence: Fence,
    /// The weights that are completely loaded, by manifest.
    pub loaded: BTreeMap<Digest, Weights>,
}

/// An order to load weights.
pub struct LoadOrder {
    /// The weights to load.
    pub weights: Weights,
    /// The fence of the order. An engine that checks fences refuses one that is lower than the
    /// highest it has seen.
    pub fence: Fence,
    /// The bytes of the weights, in order.
    pub bytes: BoxStream<'static, Result<Bytes, std::io::Error>>,
}

/// The pieces of an answer. It is incomplete if the stream yields an error or ends without
/// [`Piece::Done`].
pub type Pieces = BoxStream<'static, Result<Piece, Error>>;

/// A model engine.
#[async_trait]
pub trait ModelEngine: Send + Sync {
    /// Returns the weights that the engine holds.
    async fn inventory(&self) -> Result<Inventory, Error>;

    /// Loads weights in addition to those that the engine holds. They are in the inventory only
    /// once all bytes have arrived.
    async fn load(&self, order: LoadOrder) -> Result<(), Error>;

    /// Unloads weights.
    async fn unload(&self, manifest: Digest, fence: Fence) -> Result<(), Error>;

    /// Changes the role of the engine.
    async fn change_role(&self, role: Role, fence: Fence) -> Result<(), Error>;

    /// Generates the answer to a request with these weights, from the position in the request.
    /// Dropping the stream cancels the request.
    async fn generate(&self, manifest: Digest, request: &Generate) -> Result<Pieces, Error>;

    /// Returns the load of the engine, which may be out of date.
    async fn load_report(&self) -> Result<Load, Error>;

    /// Returns the events of the prefix cache after a sequence number.
    async fn cache_events(&self, after: u64) -> Result<Vec<CacheEvent>, Error>;

    /// Returns the KV cache of a prefix; `None` if it is not cached.
    async fn export_cache(&self, manifest: Digest, prefix: &str) -> Result<Option<Bytes>, Error>;

    /// Stores the KV cache of a prefix.
    async fn import_cache(&self, manifest: Digest, prefix: &str, cache: Bytes)
    -> Result<(), Error>;
}

/// A plain service.
#[async_trait]
pub trait PlainService: Send + Sync {
    /// Forwards a request, whose URI consists of the path and query only.
    async fn call(&self, request: Request<Body>) -> Result<Response<Body>, Error>;

    /// Whether the service accepts requests.
    async fn is_ready(&self) -> bool;
}
