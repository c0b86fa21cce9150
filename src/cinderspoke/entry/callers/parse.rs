//! Reads a request and checks it, reporting all errors in its path and headers at once.

use std::time::Duration;

use axum::body::Body;
use bytes::Bytes;
use cinderspoke_core::outcome::{self, Repeat};
use cinderspoke_core::rendezvous::Key;
use cinderspoke_schema::control::Generate;
use cinderspoke_schema::operator::{Kind, Priority};
use cinderspoke_types::id::{Service, Team};
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode};
use http_body_util::{BodyExt, Limited};
use tokio::time::timeout;

use super::refusal::Refusal;
use super::{Context, KEY, REPEAT, TEAM, route_of};
use crate::entry::view::View;

/// Upper bound on the length of a key, in characters.
const MAX_KEY_LENGTH: usize = 200;

/// Timeout for receiving the body of a request.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(30);

/// Length of the prefix of a prompt by which a request is routed, in characters.
const PREFIX_LENGTH: usize = 256;

/// A parsed request.
pub(super) struct Parsed {
    pub(super) service: Service,
    pub(super) team: Team,
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) repeat: Repeat,
    pub(super) key: Option<String>,
    pub(super) prefix: Option<Key>,
    pub(super) priority: Priority,
}

/// Reads a request with its whole body and checks it.
pub(super) async fn receive(
    context: &Context,
    view: &View,
    request: Request<Body>,
) -> Result<Parsed, Refusal> {
    let (head, body) = request.into_parts();
    let path = head.uri.path_and_query().map_or("/", http::uri::PathAndQuery::as_str).to_owned();
    let mut errors = Vec::new();
    let (service, path) = split_path(&path).unwrap_or_else(|| {
        errors.push(format!("the path {path:?} is not /v1/services/NAME/..."));
        (String::new(), path.clone())
    });
    let service = parse_id(&service, "the service", &mut errors);
    let team = match head.headers.get(TEAM) {
        Some(team) => parse_id(&String::from_utf8_lossy(team.as_bytes()), "the team", &mut errors),
        None => {
            errors.push(format!("the header {TEAM} is missing"));
            None
        }
    };
    let requested = requested_repeat(&head.headers, &mut errors);
    let key = key(&head.headers, &mut errors);
    let (Some(service), Some(team), true) = (service, team, errors.is_empty()) else {
        return Err(Refusal::invalid(StatusCode::BAD_REQUEST, "bad-request", errors.join("; ")));
    };
    let declared = &route_of(view, &service)?.service;
    check_team(view, declared, &team)?;
    let body = read_body(context, body).await?;
    let bare_path = path.split('?').next().unwrap_or_default();
    let by_rule = outcome::repeat(declared, head.method.as_str(), bare_path);
    let repeat = if requested == Repeat::Forbidden { requested } else { by_rule };
    let prefix = match declared.kind {
        Kind::Model => Some(read_prompt(&head.method, bare_path, &body)?),
        Kind::Plain => None,
    };
    Ok(Parsed {
        service,
        team,
        method: head.method,
        path,
        headers: head.headers,
        body,
        repeat,
        key,
        prefix,
        priority: declared.priority,
    })
}

/// Splits a path into the name of the service and the path below it.
fn split_path(path: &str) -> Option<(String, String)> {
    let rest = path.strip_prefix("/v1/services/")?;
    let (service, path) = rest.split_at(rest.find(['/', '?'])?);
    Some((service.into(), if path.starts_with('/') { path.into() } else { format!("/{path}") }))
}

fn parse_id<T: std::str::FromStr<Err: std::fmt::Display>>(
    text: &str,
    what: &str,
    errors: &mut Vec<String>,
) -> Option<T> {
    let parsed = text.parse();
    parsed.map_err(|error| errors.push(format!("{what} {error}"))).ok()
}

fn requested_repeat(headers: &HeaderMap, errors: &mut Vec<String>) -> Repeat {
    match headers.get(REPEAT).map(HeaderValue::as_bytes) {
        None => Repeat::Allowed,
        Some(b"never") => Repeat::Forbidden,
        Some(other) => {
            let other = String::from_utf8_lossy(other);
            errors.push(format!(
                "the header {REPEAT} is {other:?}: expected \"never\" or no such header"
            ));
            Repeat::Forbidden
        }
    }
}

/// Returns the caller's key, which identifies repeated sends of the same request.
fn key(headers: &HeaderMap, errors: &mut Vec<String>) -> Option<String> {
    let value = headers.get(KEY)?;
    match value.to_str() {
        Ok(key) if (1..=MAX_KEY_LENGTH).contains(&key.len()) => Some(key.to_owned()),
        _ => {
            errors
                .push(format!("the header {KEY} is not 1 to {MAX_KEY_LENGTH} characters of ASCII"));
            None
        }
    }
}

fn check_team(
    view: &View,
    service: &cinderspoke_schema::operator::Service,
    team: &Team,
) -> Result<(), Refusal> {
    let declared =
        view.active.as_ref().is_some_and(|active| active.configuration.teams.contains_key(team));
    let allowed = service.teams.is_empty() || service.teams.contains(team);
    if declared && allowed {
        return Ok(());
    }
    let reason = format!("team {team} may not call {}", service.name);
    Err(Refusal::invalid(StatusCode::FORBIDDEN, "not-allowed", reason))
}

/// Reads the whole body within the limits on its size and on the time to receive it.
async fn read_body(context: &Context, body: Body) -> Result<Bytes, Refusal> {
    let limited = Limited::new(body, context.parts.body_limit.as_usize());
    match timeout(RECEIVE_TIMEOUT, limited.collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            let reason = format!("the body is above {}", context.parts.body_limit);
            Err(Refusal::invalid(StatusCode::PAYLOAD_TOO_LARGE, "too-large", reason))
        }
        Ok(Err(error)) => {
            let reason = format!("the body broke off: {error}");
            Err(Refusal::invalid(StatusCode::BAD_REQUEST, "broken", reason))
        }
        Err(_) => Err(Refusal::invalid(
            StatusCode::REQUEST_TIMEOUT,
            "too-slow",
            "the body came too slowly",
        )),
    }
}

/// Checks the form of a request to a model and returns the prefix of its prompt.
fn read_prompt(method: &Method, path: &str, body: &Bytes) -> Result<Key, Refusal> {
    if method != Method::POST || path != "/generate" {
        let reason = format!("a model answers POST /generate, not {method} {path}");
        return Err(Refusal::invalid(StatusCode::NOT_FOUND, "no-call", reason));
    }
    let request: Generate = serde_json::from_slice(body).map_err(|error| {
        let reason = format!("the body is no request to a model: {error}");
        Refusal::invalid(StatusCode::BAD_REQUEST, "bad-request", reason)
    })?;
    let prefix: String = request.prompt.chars().take(PREFIX_LENGTH).collect();
    Ok(Key::of(&prefix))
}
