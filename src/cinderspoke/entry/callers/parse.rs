//! Reading a request whole, and finding all that is wrong with it.

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

/// The longest key, in characters.
const MAX_KEY: usize = 200;

/// How long a caller may take to send its request.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(30);

/// How many characters of a prompt make up the prefix by which it is routed.
const PREFIX: usize = 256;

/// A request that has been understood.
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

/// Reads a request whole, and finds all that is wrong with it.
pub(super) async fn receive(
    context: &Context,
    view: &View,
    request: Request<Body>,
) -> Result<Parsed, Refusal> {
    let (head, body) = request.into_parts();
    let path = head.uri.path_and_query().map_or("/", http::uri::PathAndQuery::as_str).to_owned();
    let mut wrong = Vec::new();
    let (service, path) = split_path(&path).unwrap_or_else(|| {
        wrong.push(format!("the path {path:?} is not /v1/services/NAME/..."));
        (String::new(), path.clone())
    });
    let service = parse_id(&service, "the service", &mut wrong);
    let team = match head.headers.get(TEAM) {
        Some(team) => parse_id(&String::from_utf8_lossy(team.as_bytes()), "the team", &mut wrong),
        None => {
            wrong.push(format!("the header {TEAM} is missing"));
            None
        }
    };
    let asked = repeat_asked(&head.headers, &mut wrong);
    let key = key(&head.headers, &mut wrong);
    let (Some(service), Some(team), true) = (service, team, wrong.is_empty()) else {
        return Err(Refusal::invalid(StatusCode::BAD_REQUEST, "bad-request", wrong.join("; ")));
    };
    let declared = &route_of(view, &service)?.service;
    check_team(view, declared, &team)?;
    let body = read_body(context, body).await?;
    let bare_path = path.split('?').next().unwrap_or_default();
    let by_rule = outcome::repeat(declared, head.method.as_str(), bare_path);
    let repeat = if asked == Repeat::Forbidden { asked } else { by_rule };
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

/// The service's name and the path below it.
fn split_path(path: &str) -> Option<(String, String)> {
    let rest = path.strip_prefix("/v1/services/")?;
    let (service, path) = rest.split_at(rest.find(['/', '?'])?);
    Some((service.into(), if path.starts_with('/') { path.into() } else { format!("/{path}") }))
}

fn parse_id<T: std::str::FromStr<Err: std::fmt::Display>>(
    text: &str,
    what: &str,
    wrong: &mut Vec<String>,
) -> Option<T> {
    let parsed = text.parse();
    parsed.map_err(|error| wrong.push(format!("{what} {error}"))).ok()
}

fn repeat_asked(headers: &HeaderMap, wrong: &mut Vec<String>) -> Repeat {
    match headers.get(REPEAT).map(HeaderValue::as_bytes) {
        None => Repeat::Allowed,
        Some(b"never") => Repeat::Forbidden,
        Some(other) => {
            let other = String::from_utf8_lossy(other);
            wrong.push(format!(
                "the header {REPEAT} is {other:?}: expected \"never\" or no such header"
            ));
            Repeat::Forbidden
        }
    }
}

/// The key by which the caller's own second try is recognised.
fn key(headers: &HeaderMap, wrong: &mut Vec<String>) -> Option<String> {
    let value = headers.get(KEY)?;
    match value.to_str() {
        Ok(key) if (1..=MAX_KEY).contains(&key.len()) => Some(key.to_owned()),
        _ => {
            wrong.push(format!("the header {KEY} is not 1 to {MAX_KEY} characters of ASCII"));
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

/// Reads the body whole, within its limits of size and time.
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

/// The prefix of a request to a model, after checking the request's form.
fn read_prompt(method: &Method, path: &str, body: &Bytes) -> Result<Key, Refusal> {
    if method != Method::POST || path != "/generate" {
        let reason = format!("a model answers POST /generate, not {method} {path}");
        return Err(Refusal::invalid(StatusCode::NOT_FOUND, "no-call", reason));
    }
    let request: Generate = serde_json::from_slice(body).map_err(|error| {
        let reason = format!("the body is no request to a model: {error}");
        Refusal::invalid(StatusCode::BAD_REQUEST, "bad-request", reason)
    })?;
    let prefix: String = request.prompt.chars().take(PREFIX).collect();
    Ok(Key::of(&prefix))
}
