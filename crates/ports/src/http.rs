//! Adapters of the platform's services over HTTP with JSON, the protocol of the stand-ins.
//!
//! | call | request | answer |
//! |---|---|---|
//! | read | `GET /v1/objects/KEY` | [`Object`] or 404 |
//! | write | `PUT /v1/objects/KEY` with a [`Write`] | [`Written`] or 409 |
//! | remove | `DELETE /v1/objects/KEY` | 204 |
//! | list | `GET /v1/list?prefix=P` | [`Listing`] |
//! | watch | `GET /v1/watch?prefix=P&after=R&wait_ms=T` | [`Listing`] |
//! | live list | `GET /v1/instances?zone=Z` | array of [`Listed`] |
//! | manifest | `GET /v1/manifests/DIGEST` | a manifest |
//! | weights | `GET /v1/weights/DIGEST` with `range` | the bytes |
//!
//! Rate-limited calls are answered with 429 and the header `retry-after` in seconds.

use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use cinderspoke_core::manifest::Manifest;
use cinderspoke_schema::control;
use cinderspoke_types::counter::Revision;
use cinderspoke_types::digest::Digest;
use cinderspoke_types::id::Zone;
use http::{Method, StatusCode};
use metrics::counter;
use serde::{Deserialize, Serialize};

use super::{Error, Expect, Listed, Listing, LiveList, Object, ObjectStore, Origin, WeightStore};
use crate::client::{self, Call, Client, Path};

/// The metric that counts calls to the platform by kind and result.
pub const PLATFORM_CALLS: &str = "cinderspoke_platform_calls_total";

/// How much longer than the watch's `wait` its answer may take.
const WATCH_MARGIN: Duration = Duration::from_secs(5);

/// The timeout of fetching a chunk.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(30);

/// The retry delay after 429 without a readable `retry-after`.
const DEFAULT_RETRY: Duration = Duration::from_secs(1);

/// The body of a write.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The object's new value.
    pub value: String,
    /// The state that the object must have for the write to take effect.
    pub expect: Expect,
}

/// The answer to a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Written {
    /// The object's new revision.
    pub revision: Revision,
}

/// A client of the object API and the list of live instances.
#[derive(Debug, Clone)]
pub struct Platform {
    client: Client,
    address: SocketAddr,
}

impl Platform {
    /// Creates a client of the platform at an address.
    #[must_use]
    pub fn new(client: Client, address: SocketAddr) -> Self {
        Self { client, address }
    }

    fn object(&self, method: Method, key: &str) -> Call {
        Call::new(method, self.address, Path::from("/v1/objects").segments(key))
    }
}

#[async_trait]
impl ObjectStore for Platform {
    async fn read(&self, key: &str) -> Result<Option<Object>, Error> {
        match counted("read", self.client.fetch_json(self.object(Method::GET, key)).await) {
            Err(Error::NotFound) => Ok(None),
            other => other.map(Some),
        }
    }

    async fn write(&self, key: &str, value: String, expect: Expect) -> Result<Revision, Error> {
        let call = self.object(Method::PUT, key).json(&Write { value, expect });
        let written: Written = counted("write", self.client.fetch_json(call).await)?;
        Ok(written.revision)
    }

    async fn remove(&self, key: &str) -> Result<(), Error> {
        match counted("remove", self.client.fetch(self.object(Method::DELETE, key)).await) {
            Ok(_) | Err(Error::NotFound) => Ok(()),
            Err(error) => Err(error),
        }
    }

    async fn list(&self, prefix: &str) -> Result<Listing, Error> {
        let call = Call::get(self.address, Path::from("/v1/list").pair("prefix", prefix));
        counted("list", self.client.fetch_json(call).await)
    }

    async fn watch(&self, prefix: &str, after: Revision, wait: Duration) -> Result<Listing, Error> {
        let path = Path::from("/v1/watch").pair("prefix", prefix);
        let path = path.pair("after", after).pair("wait_ms", wait.as_millis());
        let call = Call::get(self.address, path).timeout(wait + WATCH_MARGIN);
        counted("watch", self.client.fetch_json(call).await)
    }
}

#[async_trait]
impl LiveList for Platform {
    async fn instances(&self, zone: &Zone) -> Result<Vec<Listed>, Error> {
        let call = Call::get(self.address, Path::from("/v1/instances").pair("zone", zone));
        counted("instances", self.client.fetch_json(call).await)
    }
}

/// A client of the weight store and the origin.
#[derive(Debug, Clone)]
pub struct Weights {
    client: Client,
    weight_store: SocketAddr,
    origin: SocketAddr,
}

impl Weights {
    /// Creates a client of the weight store and the origin at their addresses.
    #[must_use]
    pub fn new(client: Client, weight_store: SocketAddr, origin: SocketAddr) -> Self {
        Self { client, weight_store, origin }
    }
}

#[async_trait]
impl WeightStore for Weights {
    async fn manifest(&self, digest: Digest) -> Result<Manifest, Error> {
        let path = Path::from("/v1/manifests").segment(digest);
        let call = Call::get(self.weight_store, path);
        let raw: control::Manifest = counted("manifest", self.client.fetch_json(call).await)?;
        Manifest::verify(raw, digest).map_err(|error| Error::Refused(error.to_string()))
    }
}

#[async_trait]
impl Origin for Weights {
    async fn read(&self, manifest: Digest, range: Range<u64>) -> Result<Bytes, Error> {
        let length = usize::try_from(range.end - range.start).unwrap_or(usize::MAX);
        let bytes = format!("bytes={}-{}", range.start, range.end.saturating_sub(1));
        let call = Call::get(self.origin, Path::from("/v1/weights").segment(manifest))
            .header("range", bytes)
            .limit(length)
            .timeout(CHUNK_TIMEOUT);
        counted("weights", self.client.fetch(call).await)
    }
}

/// Counts a call in [`PLATFORM_CALLS`] and classifies its error.
fn counted<T>(kind: &'static str, result: Result<T, client::Error>) -> Result<T, Error> {
    let result = result.map_err(classify);
    let label = match &result {
        Ok(_) | Err(Error::NotFound) => "ok",
        Err(Error::Conflict) => "conflict",
        Err(Error::RateLimited(_)) => "limited",
        Err(Error::Unavailable(_)) => "unavailable",
        Err(Error::Refused(_)) => "refused",
    };
    counter!(PLATFORM_CALLS, "kind" => kind, "result" => label).increment(1);
    result
}

fn classify(error: client::Error) -> Error {
    match error.status() {
        Some(StatusCode::CONFLICT) => Error::Conflict,
        Some(StatusCode::NOT_FOUND) => Error::NotFound,
        Some(StatusCode::TOO_MANY_REQUESTS) => {
            Error::RateLimited(error.retry_after().unwrap_or(DEFAULT_RETRY))
        }
        Some(status) if status.is_client_error() => Error::Refused(error.to_string()),
        _ if error.is_invalid() => Error::Refused(error.to_string()),
        _ => Error::Unavailable(error.to_string()),
    }
}
