//! Endpoints over HTTP, with the calls that the stand-in endpoints implement.
//!
//! | call | request | answer |
//! |---|---|---|
//! | inventory | `GET /v1/engine` | [`Inventory`] |
//! | load | `PUT /v1/engine/weights/DIGEST?fence=F&model=M&version=V&size=N`, the bytes | 204, or 412 if the fence is too old |
//! | unload | `DELETE /v1/engine/weights/DIGEST?fence=F` | 204, or 412 |
//! | change role | `PUT /v1/engine/role?fence=F` with a [`Role`] | 204, or 412 |
//! | generate | `POST /v1/engine/generate/DIGEST` with a [`Generate`] | a line of JSON for each [`Piece`] |
//! | load report | `GET /v1/engine/load` | a load |
//! | cache events | `GET /v1/engine/cache-events?after=N` | array of [`CacheEvent`] |
//! | export, import | `GET`, `PUT /v1/engine/cache/DIGEST/PREFIX` | the bytes or 404; 204 |
//! | plain service | the call itself; `GET /healthz` | its answer |
//!
//! 409 and 503 from an engine mean that the request did not start.

use std::net::SocketAddr;
use std::time::Duration;

use ::http::{Method, Request, Response, StatusCode};
use async_trait::async_trait;
use axum::body::Body;
use bytes::{Bytes, BytesMut};
use cinderspoke_ports::framing;
use cinderspoke_schema::control::{Generate, Load};
use cinderspoke_types::counter::Fence;
use cinderspoke_types::digest::Digest;
use futures::{Stream, StreamExt, stream};
use http_body_util::BodyExt;

use super::{
    CacheEvent, Error, Inventory, LoadOrder, ModelEngine, Piece, Pieces, PlainService, Role,
};
use crate::util::http::{self as client, Call, Client, Path, uri};

/// Timeout for loading weights.
const LOAD_TIMEOUT: Duration = Duration::from_secs(600);

/// Upper bound on the length of a line with one [`Piece`], in bytes.
const MAX_LINE_LENGTH: usize = 64 << 10;

/// A client for the endpoint at an address.
#[derive(Debug, Clone)]
pub struct Endpoint {
    client: Client,
    address: SocketAddr,
}

impl Endpoint {
    /// Creates a client for the endpoint at an address.
    #[must_use]
    pub fn new(client: Client, address: SocketAddr) -> Self {
        Self { client, address }
    }

    async fn order(&self, call: Call) -> Result<(), Error> {
        self.client.fetch(call).await.map(drop).map_err(classify)
    }

    fn call(&self, method: Method, path: impl Into<Path>) -> Call {
        Call::new(method, self.address, path)
    }
}

/// The path of weights at an engine, with the fence of an order.
fn weights_path(manifest: Digest, fence: Fence) -> Path {
    Path::from("/v1/engine/weights").segment(manifest).pair("fence", fence)
}

/// The path of the cache of a prefix at an engine.
fn cache_path(manifest: Digest, prefix: &str) -> Path {
    Path::from("/v1/engine/cache").segment(manifest).segment(prefix)
}

/// A request that cannot be made has not run.
fn invalid(error: ::http::Error) -> Error {
    Error::NotRun(error.to_string())
}

/// Determines whether a call that failed has not run, may have run, or was fenced.
fn classify(error: client::Error) -> Error {
    match (&error, error.status()) {
        (_, Some(StatusCode::PRECONDITION_FAILED)) => Error::Fenced,
        (_, Some(StatusCode::CONFLICT | StatusCode::SERVICE_UNAVAILABLE))
        | (client::Error::Invalid(..) | client::Error::Connect(..), _) => {
            Error::NotRun(error.to_string())
        }
        _ => Error::Unknown(error.to_string()),
    }
}

#[async_trait]
impl ModelEngine for Endpoint {
    async fn inventory(&self) -> Result<Inventory, Error> {
        let call = self.call(Method::GET, "/v1/engine");
        self.client.fetch_json(call).await.map_err(classify)
    }

    async fn load(&self, order: LoadOrder) -> Result<(), Error> {
        let LoadOrder { weights, fence, bytes } = order;
        let path = weights_path(weights.manifest, fence)
            .pair("model", &weights.model)
            .pair("version", &weights.version)
            .pair("size", weights.size.as_u64());
        let call = self.call(Method::PUT, path).body(Body::from_stream(bytes));
        self.order(call.timeout(LOAD_TIMEOUT)).await
    }

    async fn unload(&self, manifest: Digest, fence: Fence) -> Result<(), Error> {
        self.order(self.call(Method::DELETE, weights_path(manifest, fence))).await
    }

    async fn change_role(&self, role: Role, fence: Fence) -> Result<(), Error> {
        let path = Path::from("/v1/engine/role").pair("fence", fence);
        self.order(self.call(Method::PUT, path).json(&role)).await
    }

    async fn generate(&self, manifest: Digest, request: &Generate) -> Result<Pieces, Error> {
        let body = serde_json::to_vec(request).unwrap_or_default();
        let uri = uri(self.address, &format!("/v1/engine/generate/{manifest}")).map_err(invalid)?;
        let head = Request::post(uri).header(::http::header::CONTENT_TYPE, "application/json");
        let request = head.body(Body::from(body)).map_err(invalid)?;
        let response = self.client.send(self.address, request).await.map_err(classify)?;
        match response.status() {
            StatusCode::OK => Ok(pieces(response.into_body()).boxed()),
            status @ (StatusCode::CONFLICT | StatusCode::SERVICE_UNAVAILABLE) => {
                Err(Error::NotRun(format!("the engine answered {status}")))
            }
            status => Err(Error::Unknown(format!("the engine answered {status}"))),
        }
    }

    async fn load_report(&self) -> Result<Load, Error> {
        let call = self.call(Method::GET, "/v1/engine/load");
        self.client.fetch_json(call).await.map_err(classify)
    }

    async fn cache_events(&self, after: u64) -> Result<Vec<CacheEvent>, Error> {
        let path = Path::from("/v1/engine/cache-events").pair("after", after);
        let call = self.call(Method::GET, path);
        self.client.fetch_json(call).await.map_err(classify)
    }

    async fn export_cache(&self, manifest: Digest, prefix: &str) -> Result<Option<Bytes>, Error> {
        let call = self.call(Method::GET, cache_path(manifest, prefix));
        match self.client.fetch(call).await {
            Ok(cache) => Ok(Some(cache)),
            Err(error) if error.status() == Some(StatusCode::NOT_FOUND) => Ok(None),
            Err(error) => Err(classify(error)),
        }
    }

    async fn import_cache(
        &self,
        manifest: Digest,
        prefix: &str,
        cache: Bytes,
    ) -> Result<(), Error> {
        let call = self.call(Method::PUT, cache_path(manifest, prefix));
        self.order(call.body(Body::from(cache))).await
    }
}

#[async_trait]
impl PlainService for Endpoint {
    async fn call(&self, mut request: Request<Body>) -> Result<Response<Body>, Error> {
        let path = request.uri().path_and_query().map_or("/", |path| path.as_str());
        *request.uri_mut() = uri(self.address, path).map_err(invalid)?;
        let method = request.method().clone();
        let response = self.client.send(self.address, request).await.map_err(classify)?;
        let (mut head, body) = response.into_parts();
        framing::strip(&method, &mut head);
        Ok(Response::from_parts(head, body))
    }

    async fn is_ready(&self) -> bool {
        let call = Call::get(self.address, "/healthz").timeout(Duration::from_secs(1));
        self.client.fetch(call).await.is_ok()
    }
}

/// Splits the body of an answer into lines.
struct Lines {
    body: Body,
    buffer: BytesMut,
}

/// Parses each line of an answer as a piece.
fn pieces(body: Body) -> impl Stream<Item = Result<Piece, Error>> {
    let lines = Lines { body, buffer: BytesMut::new() };
    stream::unfold(Some(lines), |lines| async {
        let mut lines = lines?;
        match lines.next().await {
            Some(Ok(piece)) => Some((Ok(piece), Some(lines))),
            Some(Err(error)) => Some((Err(error), None)),
            None => None,
        }
    })
}

impl Lines {
    /// Reads the next line; `None` at the end of the body.
    async fn next(&mut self) -> Option<Result<Piece, Error>> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line = self.buffer.split_to(end + 1);
                let piece = serde_json::from_slice(&line);
                return Some(piece.map_err(|error| Error::Unknown(error.to_string())));
            }
            if self.buffer.len() > MAX_LINE_LENGTH {
                return Some(Err(Error::Unknown("a line of the answer is too long".into())));
            }
            match self.body.frame().await? {
                Ok(frame) => self.buffer.extend(frame.into_data().unwrap_or_default()),
                Err(error) => return Some(Err(Error::Unknown(error.to_string()))),
            }
        }
    }
}
