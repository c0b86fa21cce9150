//! Trying replicas until one answers, and streaming its answer back.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use axum::body::Body;
use axum::response::Response;
use cinderspoke_core::outcome::{self, Failure, Next};
use cinderspoke_core::route;
use cinderspoke_types::digest::Digest;
use cinderspoke_types::id::Instance;
use futures::StreamExt;
use http::{HeaderValue, Request, StatusCode};
use metrics::counter;
use tokio::time::timeout;

use super::parse::Parsed;
use super::refusal::Refusal;
use super::{Admitted, Context, INSTANCE, MANIFEST, OUTCOME, PRIORITY, RETRY_AFTER, route_of};
use crate::entry::view::{Route, Target};
use crate::util::http::{Error, uri};
use crate::util::metrics::ATTEMPTS;

/// How long a replica may take until its answer starts.
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);

/// Headers that say something of a connection, not of a request.
const HOP_BY_HOP: [&str; 7] =
    ["connection", "keep-alive", "te", "trailer", "transfer-encoding", "upgrade", "host"];

/// The replica that answered, and the count of its requests in progress.
pub(super) struct Answering {
    instance: Instance,
    manifest: Option<Digest>,
    _in_flight: Counted,
}

/// Adds one to a counter until it is dropped.
struct Counted(Arc<std::sync::atomic::AtomicU32>);

impl Counted {
    fn new(counter: &Arc<std::sync::atomic::AtomicU32>) -> Self {
        counter.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(counter))
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Tries replicas until one answers or nothing more may be tried.
pub(super) async fn attempt_all(
    context: &Context,
    parsed: &Parsed,
) -> Result<(http::Response<Body>, Answering), Refusal> {
    let salt = context.requests.fetch_add(1, Ordering::Relaxed);
    let request = route::Request { prefix: parsed.prefix, salt };
    let mut tried: Vec<Instance> = Vec::new();
    let mut lost = false;
    let mut reason = String::from("no replica can answer now");
    loop {
        // Read anew each time: the replica that failed may be known as gone by now.
        let view = context.parts.control.view();
        let route = route_of(&view, &parsed.service)?;
        let Some(target) = pick(route, &request, &tried) else { break };
        tried.push(target.instance.clone());
        let attempts = u32::try_from(tried.len()).unwrap_or(u32::MAX);
        let (failure, why) = match attempt(context, parsed, target).await {
            Ok(answer) => {
                counter!(ATTEMPTS, "result" => "answered").increment(1);
                return Ok(answer);
            }
            Err(failed) => failed,
        };
        counter!(ATTEMPTS, "result" => label(failure)).increment(1);
        reason = format!("{}: {why}", target.instance);
        lost |= failure == Failure::Lost;
        match outcome::after_failure(failure, lost, attempts, parsed.repeat) {
            Next::Retry => {}
            Next::Respond(_) => break,
        }
    }
    if lost {
        return Err(Refusal::unknown(reason));
    }
    Err(Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "no-replica", reason, RETRY_AFTER))
}

fn label(failure: Failure) -> &'static str {
    match failure {
        Failure::NotSent => "not-sent",
        Failure::Refused => "refused",
        Failure::Lost => "lost",
    }
}

fn pick<'a>(route: &'a Route, request: &route::Request, tried: &[Instance]) -> Option<&'a Target> {
    let fresh = |target: &&Target| !tried.contains(&target.instance);
    let candidates: Vec<_> = route.targets.iter().filter(fresh).map(Target::to_candidate).collect();
    let chosen = route::pick(request, &candidates)?;
    route.targets.iter().find(|target| target.instance == chosen.instance)
}

/// Sends a request to one replica's agent.
async fn attempt(
    context: &Context,
    parsed: &Parsed,
    target: &Target,
) -> Result<(http::Response<Body>, Answering), (Failure, String)> {
    let in_flight = Counted::new(&target.in_flight);
    let request =
        request_to_agent(parsed, target).map_err(|error| (Failure::NotSent, error.to_string()))?;
    let sent = timeout(HEAD_TIMEOUT, context.parts.client.send(target.address, request)).await;
    let response = match sent {
        Ok(Ok(response)) => response,
        Ok(Err(error @ Error::Connect(..))) => return Err((Failure::NotSent, error.to_string())),
        Ok(Err(error)) => return Err((Failure::Lost, error.to_string())),
        Err(_) => return Err((Failure::Lost, "its answer did not start in time".into())),
    };
    let outcome = response.headers().get(OUTCOME).map(HeaderValue::as_bytes);
    match outcome {
        Some(b"answered") => {
            let (instance, manifest) = (target.instance.clone(), target.manifest);
            let answering = Answering { instance, manifest, _in_flight: in_flight };
            Ok((response, answering))
        }
        Some(b"not-run") => Err((Failure::Refused, "it did not take the request".into())),
        _ => Err((Failure::Lost, format!("it answered {}", response.status()))),
    }
}

fn request_to_agent(parsed: &Parsed, target: &Target) -> http::Result<Request<Body>> {
    let path = format!("/v1/requests/{}{}", parsed.service, parsed.path);
    let mut request = Request::builder()
        .method(parsed.method.clone())
        .uri(uri(target.address, &path))
        .body(Body::from(parsed.body.clone()))?;
    let headers = request.headers_mut();
    for (name, value) in &parsed.headers {
        if !HOP_BY_HOP.contains(&name.as_str()) && name != http::header::CONTENT_LENGTH {
            headers.append(name.clone(), value.clone());
        }
    }
    headers.remove(MANIFEST);
    headers.insert(PRIORITY, HeaderValue::try_from(parsed.priority.to_string())?);
    if let Some(manifest) = target.manifest {
        headers.insert(MANIFEST, HeaderValue::try_from(manifest.to_string())?);
    }
    Ok(request)
}

/// Streams a replica's answer to the caller.
///
/// What counts the request lives as long as the stream. When the stream breaks
/// off, so does the caller's: a part is never passed off as a whole.
pub(super) fn pass_back(
    response: http::Response<Body>,
    answering: Answering,
    admitted: Admitted,
) -> Response {
    let (mut head, body) = response.into_parts();
    for name in HOP_BY_HOP {
        head.headers.remove(name);
    }
    if let Ok(instance) = HeaderValue::try_from(answering.instance.as_str()) {
        head.headers.insert(INSTANCE, instance);
    }
    if let Some(manifest) = answering.manifest
        && let Ok(manifest) = HeaderValue::try_from(manifest.to_string())
    {
        head.headers.insert(MANIFEST, manifest);
    }
    let held = (answering, admitted);
    let stream = body.into_data_stream().map(move |frame| {
        let _held = &held;
        frame
    });
    Response::from_parts(head, Body::from_stream(stream))
}
