//! Forwards requests to the endpoint.
//!
//! Each answer names its outcome: `not-run` only if the endpoint has not received the request and
//! will not receive it; any case that is not certain is `unknown`.

use std::sync::Arc;

use axum::body::Body;
use axum::extract::{Path, State};
use axum::response::Response;
use bytes::Bytes;
use cinderspoke_core::outcome::Outcome;
use cinderspoke_schema::control::{Generate, Priority};
use cinderspoke_types::digest::Digest;
use cinderspoke_types::id::Service;
use futures::{StreamExt, stream};
use http::{HeaderMap, HeaderValue, Request, StatusCode, Uri};
use http_body_util::BodyExt;
use serde::Deserialize;

use super::serving::Guard;
use super::{Endpoint, Shared};
use crate::endpoint::{Error, ModelEngine, Piece, Pieces, PlainService};
use crate::entry::callers::{MANIFEST, OUTCOME, PRIORITY};
use crate::util::body::Guarded;

/// The path of forwarded requests, before the name of the service.
const PATH: &str = "/v1/requests/";

/// What a forwarded request's path names.
#[derive(Debug, Deserialize)]
pub struct Target {
    service: Service,
}

/// Handles a request that an entry instance forwarded.
pub async fn handle(
    State(shared): State<Arc<Shared>>,
    Path(Target { service }): Path<Target>,
    request: Request<Body>,
) -> Response {
    let Ok(manifest) = requested_manifest(request.headers()) else {
        return refuse(
            Outcome::Bad,
            StatusCode::BAD_REQUEST,
            "the manifest asked for is no digest",
        );
    };
    let Some(guard) = shared.serving.admit(&service, manifest) else {
        let reason = "the service is not answered here with these weights";
        return refuse(Outcome::NotRun, StatusCode::SERVICE_UNAVAILABLE, reason);
    };
    let answer = match (&shared.endpoint, guard.manifest()) {
        (Endpoint::Model(engine), Some(manifest)) => {
            generate(engine.as_ref(), manifest, request, guard).await
        }
        (Endpoint::Plain(plain), None) => call(plain.as_ref(), request, guard).await,
        _ => Err(Error::NotRun("the endpoint is of another kind".into())),
    };
    answer.unwrap_or_else(|error| match error {
        Error::NotRun(reason) => refuse(Outcome::NotRun, StatusCode::SERVICE_UNAVAILABLE, &reason),
        Error::Unknown(reason) => refuse(Outcome::Unknown, StatusCode::BAD_GATEWAY, &reason),
        Error::Fenced => refuse(Outcome::Unknown, StatusCode::BAD_GATEWAY, "fenced"),
    })
}

fn refuse(outcome: Outcome, status: StatusCode, reason: &str) -> Response {
    tracing::debug!(%outcome, reason, "request not answered");
    let mut response = Response::new(Body::from(reason.to_owned()));
    *response.status_mut() = status;
    response.headers_mut().insert(OUTCOME, HeaderValue::from_static(outcome.as_str()));
    response
}

/// The manifest of the weights that the entry instance requests; `None` for a plain service.
fn requested_manifest(headers: &HeaderMap) -> Result<Option<Digest>, ()> {
    let Some(value) = headers.get(MANIFEST) else { return Ok(None) };
    let text = value.to_str().map_err(drop)?;
    text.parse().map(Some).map_err(drop)
}

async fn generate(
    engine: &dyn ModelEngine,
    manifest: Digest,
    request: Request<Body>,
    guard: Guard,
) -> Result<Response, Error> {
    let priority = priority(request.headers());
    let body = request.into_body().collect().await;
    let body = body.map_err(|error| Error::NotRun(error.to_string()))?.to_bytes();
    let mut request: Generate =
        serde_json::from_slice(&body).map_err(|error| Error::NotRun(error.to_string()))?;
    request.priority = priority.unwrap_or(request.priority);
    let pieces = engine.generate(manifest, &request).await?;
    let mut response = Response::new(Body::from_stream(lines(pieces, guard)));
    let headers = response.headers_mut();
    headers.insert(OUTCOME, HeaderValue::from_static(Outcome::Answered.as_str()));
    headers.insert(http::header::CONTENT_TYPE, HeaderValue::from_static("application/x-ndjson"));
    Ok(response)
}

fn priority(headers: &HeaderMap) -> Option<Priority> {
    headers.get(PRIORITY)?.to_str().ok()?.parse().ok()
}

/// Encodes an answer's pieces as lines. An incomplete answer ends with an error, so that it cannot
/// be mistaken for a complete one.
fn lines(pieces: Pieces, guard: Guard) -> impl futures::Stream<Item = std::io::Result<Bytes>> {
    let start = Some((pieces, guard));
    stream::unfold(start, |state| async {
        let (mut pieces, guard) = state?;
        match pieces.next().await {
            Some(Ok(piece @ Piece::Done { .. })) => Some((Ok(line(&piece)), None)),
            Some(Ok(piece)) => Some((Ok(line(&piece)), Some((pieces, guard)))),
            Some(Err(error)) => Some((Err(std::io::Error::other(error.to_string())), None)),
            None => Some((Err(std::io::Error::other("the answer broke off")), None)),
        }
    })
}

fn line(piece: &Piece) -> Bytes {
    let mut line = serde_json::to_vec(piece).unwrap_or_default();
    line.push(b'\n');
    line.into()
}

async fn call(
    plain: &dyn PlainService,
    request: Request<Body>,
    guard: Guard,
) -> Result<Response, Error> {
    let (mut head, body) = request.into_parts();
    let below = below(&head.uri);
    head.uri = below.ok_or_else(|| Error::NotRun(format!("{} is no path", head.uri)))?;
    let response = plain.call(Request::from_parts(head, body)).await?;
    let (mut head, body) = response.into_parts();
    head.headers.insert(OUTCOME, HeaderValue::from_static(Outcome::Answered.as_str()));
    Ok(Response::from_parts(head, Body::new(Guarded::new(body, guard))))
}

/// What of a forwarded request's path and query is the service's own, with its escapes as the caller
/// sent them.
fn below(uri: &Uri) -> Option<Uri> {
    let forwarded = uri.path_and_query()?.as_str().strip_prefix(PATH)?;
    let (_, below) = forwarded.split_at(forwarded.find('/')?);
    below.parse().ok()
}
