//! Finding out what a request asks, and reading it whole.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use cinderspoke_core::gateway::call::Call;
use cinderspoke_core::gateway::catalog::{Access, Catalog, Limits, Route};
use cinderspoke_core::gateway::fingerprint::Fingerprint;
use cinderspoke_core::gateway::name::{Service, Team};
use cinderspoke_core::gateway::residency::Residency;
use cinderspoke_core::rendezvous::Key;
use http::{StatusCode, request};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;

use super::context::Context;
use super::record::Record;
use super::refusal::{RETRY_AFTER, RETRY_AFTER_ELSEWHERE, Refusal};
use crate::util::clock::Deadline;

/// A request read whole, and what it asks.
pub struct Parsed {
    /// What is known of it.
    pub call: Call,
    /// Its head, with the caller's headers.
    pub head: request::Parts,
    /// Its body.
    pub body: Bytes,
    /// Its route.
    pub route: Route,
    /// The service that it goes to.
    pub service: Service,
    /// The caller's team.
    pub team: Option<Team>,
    /// How urgent it is.
    pub priority: u8,
    /// Where it may be served, by the configuration under which it was read.
    pub residency: Residency,
    /// When it had come whole, by the gateway's clock. What its body took on the way is its own
    /// time: limits on the wait for others count from here.
    pub arrived: Duration,
    /// When its caller needs no answer any more.
    pub deadline: Deadline,
    /// How long its caller had waited before this attempt.
    pub waited: Duration,
    /// Tells it apart from other requests; made when it is first needed.
    pub fingerprint: OnceLock<Fingerprint>,
}

/// Where a request goes, and for whom.
struct Destination {
    route: Route,
    service: Service,
    team: Option<Team>,
    priority: u8,
    residency: Residency,
}

/// Finds out where a request may go, and reads it whole.
///
/// # Errors
///
/// When it may go nowhere, or does not come whole in time.
pub async fn receive(
    context: &Arc<Context>,
    call: Call,
    head: request::Parts,
    body: Incoming,
    arrived: Duration,
    record: &mut Record,
) -> Result<Parsed, Refusal> {
    if context.is_closing() {
        // It could not be finished before the process has to end.
        return Err(Refusal::not_run("the gateway is stopping", RETRY_AFTER_ELSEWHERE));
    }
    let view = context.state.view();
    let Some(catalog) = &view.catalog else {
        return Err(Refusal::not_run("no configuration is known yet", RETRY_AFTER));
    };
    if !view.evacuations_known {
        return Err(Refusal::not_run("which zones are emptied is not known yet", RETRY_AFTER));
    }
    let Destination { route, service, team, priority, residency } = destination(catalog, &call)?;
    record.version = catalog.declared().version;
    record.route = route.name.clone();
    record.size = call.size;
    record.set_usual_size(view.engine(&service));
    let timeout = call.deadline.unwrap_or(route.timeout);
    let since = context.clock.now().saturating_sub(arrived);
    let deadline = context.clock.after(timeout.min(route.timeout).saturating_sub(since));
    let waited = context.waited_before(&route, timeout);
    record.waited = waited;
    (record.target_latency, record.target_gap) = (route.target, route.target_gap);
    let limits = catalog.declared().limits;
    let body = read_body(body, &limits, &deadline).await?;
    record.body_bytes = Some(body.len() as u64);
    let arrived = context.clock.now();
    let fingerprint = OnceLock::new();
    Ok(Parsed {
        call,
        head,
        body,
        route,
        service,
        team,
        priority,
        residency,
        arrived,
        deadline,
        waited,
        fingerprint,
    })
}

/// Finds the route, the team and the service of a request.
fn destination(catalog: &Catalog, call: &Call) -> Result<Destination, Refusal> {
    let Some(route) = catalog.route(&call.host, &call.path) else {
        return Err(Refusal::new(StatusCode::NOT_FOUND, "no route fits"));
    };
    let (team, rank) = match catalog.access(route, call.key.as_deref()) {
        Access::Open => (None, None),
        Access::Team(team, rank) => (Some(team.clone()), rank),
        Access::Denied => {
            return Err(Refusal::new(StatusCode::UNAUTHORIZED, "no team has the key"));
        }
    };
    let spread = Key::of(call.id.as_str()).as_u64();
    let Some(service) = route.service(spread).cloned() else {
        return Err(Refusal::not_run("the route leads to no service", RETRY_AFTER));
    };
    let priority = rank.unwrap_or(route.priority);
    let residency = catalog.residency(route, call.key.as_deref());
    Ok(Destination { route: route.clone(), service, team, priority, residency })
}

/// Reads a body that is neither too large nor too late.
async fn read_body(body: Incoming, limits: &Limits, deadline: &Deadline) -> Result<Bytes, Refusal> {
    let limit = usize::try_from(limits.body_bytes).unwrap_or(usize::MAX);
    let read = deadline.bound(Limited::new(body, limit).collect()).await;
    let Ok(read) = read else {
        return Err(Refusal::new(StatusCode::REQUEST_TIMEOUT, "the request did not come in time"));
    };
    match read {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            Err(Refusal::new(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"))
        }
        Err(_) => Err(Refusal::new(StatusCode::BAD_REQUEST, "the body broke off")),
    }
}
