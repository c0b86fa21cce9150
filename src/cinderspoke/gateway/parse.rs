//! Resolves the route, team and service of a request and reads its body, also of one that is
//! refused.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use cinderspoke_core::gateway::call::Call;
use cinderspoke_core::gateway::catalog::{Access, Catalog, Limits, Route};
use cinderspoke_core::gateway::fingerprint::Fingerprint;
use cinderspoke_core::gateway::name::{Service, Team};
use cinderspoke_core::gateway::residency::Residency;
use cinderspoke_core::gateway::returns::Return;
use cinderspoke_core::gateway::shedding::Rank;
use cinderspoke_core::rendezvous::Key;
use cinderspoke_ports::body;
use http::{StatusCode, request};
use hyper::body::Incoming;

use super::context::Context;
use super::record::Record;
use super::refusal::{RETRY_AFTER, Refusal};
use crate::util::clock::Deadline;

/// A request that was read whole, with its route and settings.
pub struct Parsed {
    /// The fields that the gateway's protocol reads from the head.
    pub call: Call,
    /// The head, with the caller's headers.
    pub head: request::Parts,
    /// The body.
    pub body: Bytes,
    /// The route.
    pub route: Route,
    /// The service that the route selects for it.
    pub service: Service,
    /// The caller's team; none on a public route.
    pub team: Option<Team>,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// Where it may be served, by the configuration under which it was parsed.
    pub residency: Residency,
    /// When the whole request had arrived, by the gateway's clock. Limits on the time that it
    /// waits for other requests count from here: receiving the body is not part of that.
    pub arrived: Duration,
    /// The time after which the caller needs no answer.
    pub deadline: Deadline,
    /// How long the caller had waited before this attempt of the caller.
    pub waited: Duration,
    /// Which part of that the stated timeout does not take into account.
    pub unstated_wait: Duration,
    /// Whether the caller returned earlier than it was asked to.
    pub is_early: bool,
    /// The fingerprint that distinguishes it from other requests; computed on first use.
    pub fingerprint: OnceLock<Fingerprint>,
}

impl Parsed {
    /// The rank of the request under load.
    #[must_use]
    pub fn rank(&self) -> Rank {
        Rank {
            is_late: self.is_early || self.waited >= self.route.target,
            priority: self.priority,
            route: self.route.priority,
        }
    }

    /// The time that is left until the caller needs no answer, counted from its first attempt.
    #[must_use]
    pub fn time_left(&self) -> Duration {
        self.deadline.left().saturating_sub(self.unstated_wait)
    }

    /// Counts the wait from the first attempt of a caller that was refused before.
    fn apply_return(&mut self, found: Return) {
        self.unstated_wait = found.waited.saturating_sub(self.waited);
        self.waited = self.waited.max(found.waited);
        self.is_early = found.is_early;
    }
}

/// The route and service of a request, and its team's settings.
struct Destination {
    route: Route,
    service: Service,
    team: Option<Team>,
    priority: u8,
    residency: Residency,
}

/// Resolves where a request goes and reads its body. `arrived` is when its head was received, by
/// the gateway's clock.
///
/// # Errors
///
/// If the request may not be served now, or is not received whole in time and within the limits.
pub async fn receive(
    context: &Arc<Context>,
    call: Call,
    head: request::Parts,
    body: &mut Incoming,
    arrived: Duration,
    record: &mut Record,
) -> Result<Parsed, Refusal> {
    if context.is_closing() {
        // The request might not be finished before the process has to end.
        return Err(Refusal::stopping());
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
    if context.is_too_late(&deadline) {
        return Err(Refusal::stopping());
    }
    record.body_bytes = Some(body.len() as u64);
    let arrived = context.clock.now();
    let fingerprint = OnceLock::new();
    let mut parsed = Parsed {
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
        unstated_wait: Duration::ZERO,
        is_early: false,
        fingerprint,
    };
    let returned = context.recognize(&parsed);
    if let Some(found) = returned {
        parsed.apply_return(found);
    }
    record.waited = parsed.waited;
    record.returned = returned;
    Ok(parsed)
}

/// Resolves the route, the team and the service of a request.
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

/// Reads a body within the size limit and the deadline.
async fn read_body(
    body: &mut Incoming,
    limits: &Limits,
    deadline: &Deadline,
) -> Result<Bytes, Refusal> {
    let limit = usize::try_from(limits.body_bytes).unwrap_or(usize::MAX);
    let read = deadline.timeout(body::collect(body, limit)).await;
    let Ok(read) = read else {
        return Err(Refusal::new(StatusCode::REQUEST_TIMEOUT, "the request did not come in time"));
    };
    match read {
        Ok(body) => Ok(body),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            Err(Refusal::new(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"))
        }
        Err(_) => Err(Refusal::new(StatusCode::BAD_REQUEST, "the body broke off")),
    }
}

/// Reads and drops the rest of a body; returns whether it was received whole, within the size
/// limit and until the deadline.
///
/// A connection that is closed with received data unread is reset, and the reset may overtake the
/// response.
pub async fn discard(context: &Context, body: &mut Incoming, until: &Deadline) -> bool {
    let limit = usize::try_from(context.limits().body_bytes).unwrap_or(usize::MAX);
    until.timeout(body::discard(body, limit)).await.unwrap_or(false)
}
