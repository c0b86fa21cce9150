//! Sends a request to one replica after another until one answers, and streams the answer back.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use axum::body::Body;
use axum::response::Response;
use cinderspoke_core::outcome::{self, Failure, Next};
use cinderspoke_core::route;
use cinderspoke_ports::framing::{self, HOP_BY_HOP};
use cinderspoke_types::digest::Digest;
use cinderspoke_types::id::Instance;
use http::{HeaderName, HeaderValue, Method, Request, StatusCode, header};
use metrics::counter;
use tokio::time::timeout;

use super::parse::Parsed;
use super::refusal::Refusal;
use super::{Admitted, Context, INSTANCE, MANIFEST, OUTCOME, PRIORITY, RETRY_AFTER, route_of};
use crate::entry::view::{Route, Target};
use crate::util::body::Guarded;
use crate::util::http::uri;
use crate::util::metrics::ATTEMPTS;

/// Timeout for the head of a replica's answer.
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);

/// Headers of a request that the next hop gets anew, beside those of one connection.
const RENEWED: [HeaderName; 2] = [header::HOST, header::CONTENT_LENGTH];

/// The replica that answered, with its counter of requests in progress.
pub(super) struct Responder {
    instance: Instance,
    manifest: Option<Digest>,
    _in_flight: InFlightGuard,
}

/// Increments a counter and decrements it when dropped.
struct InFlightGuard(Arc<std::sync::atomic::AtomicU32>);

impl InFlightGuard {
    fn new(counter: &Arc<std::sync::atomic::AtomicU32>) -> Self {
        counter.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(counter))
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Sends a request to one replica after another until one answers or no further attempt is allowed.
pub(super) async fn attempt_all(
    context: &Context,
    parsed: &Parsed,
) -> Result<(http::Response<Body>, Responder), Refusal> {
    let salt = context.next_number.fetch_add(1, Ordering::Relaxed);
    let request = route::Request { prefix: parsed.prefix, salt };
    let mut tried: Vec<Instance> = Vec::new();
    let mut lost = false;
    let mut reason = String::from("no replica can answer now");
    loop {
        // Load the view for each attempt, since it may have removed the replica that failed.
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
) -> Result<(http::Response<Body>, Responder), (Failure, String)> {
    let in_flight = InFlightGuard::new(&target.in_flight);
    let request =
        request_to_agent(parsed, target).map_err(|error| (Failure::NotSent, error.to_string()))?;
    let sent = timeout(HEAD_TIMEOUT, context.parts.client.send(target.address, request)).await;
    let response = match sent {
        Ok(Ok(response)) => response,
        Ok(Err(error)) if error.is_unsent() => return Err((Failure::NotSent, error.to_string())),
        Ok(Err(error)) => return Err((Failure::Lost, error.to_string())),
        Err(_) => return Err((Failure::Lost, "its answer did not start in time".into())),
    };
    let outcome = response.headers().get(OUTCOME).map(HeaderValue::as_bytes);
    match outcome {
        Some(b"answered") => {
            let (instance, manifest) = (target.instance.clone(), target.manifest);
            let responder = Responder { instance, manifest, _in_flight: in_flight };
            Ok((response, responder))
        }
        Some(b"not-run") => Err((Failure::Refused, "it did not take the request".into())),
        _ => Err((Failure::Lost, format!("it answered {}", response.status()))),
    }
}

fn request_to_agent(parsed: &Parsed, target: &Target) -> http::Result<Request<Body>> {
    let path = format!("/v1/requests/{}{}", parsed.service, parsed.path);
    let mut request = Request::builder()
        .method(parsed.method.clone())
        .uri(uri(target.address, &path)?)
        .body(Body::from(parsed.body.clone()))?;
    let headers = request.headers_mut();
    for (name, value) in &parsed.headers {
        if !HOP_BY_HOP.contains(&name.as_str()) && !RENEWED.contains(name) {
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
/// The request counts as in progress until the stream ends. If the replica's stream fails, the
/// caller's connection fails too, so that the caller does not mistake a partial answer for a
/// complete one.
pub(super) fn respond(
    response: http::Response<Body>,
    responder: Responder,
    admitted: Admitted,
    method: &Method,
) -> Response {
    let (mut head, body) = response.into_parts();
    framing::strip(method, &mut head);
    if let Ok(instance) = HeaderValue::try_from(responder.instance.as_str()) {
        head.headers.insert(INSTANCE, instance);
    }
    if let Some(manifest) = responder.manifest
        && let Ok(manifest) = HeaderValue::try_from(manifest.to_string())
    {
        head.headers.insert(MANIFEST, manifest);
    }
    Response::from_parts(head, Body::new(Guarded::new(body, (responder, admitted))))
}
