//! Serves callers' requests: parses and admits a request, sends it to a replica and returns the
//! answer.
//!
//! Every answer states its outcome in the header [`OUTCOME`]; see the callers' page of the
//! documentation.

mod attempt;
mod parse;
mod refusal;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::extract::State;
use axum::response::{IntoResponse, Response};
use cinderspoke_core::admission::{Decision, Limiter};
use cinderspoke_core::outcome::{Outcome, Repeat};
use cinderspoke_types::counter::Generation;
use cinderspoke_types::id::{Instance, Service};
use cinderspoke_types::size;
use http::{Request, StatusCode};
use metrics::{counter, histogram};
use tokio::time::Instant;

use self::attempt::{attempt_all, respond};
use self::parse::{Parsed, receive};
use self::refusal::Refusal;
use super::at_most_once::{Attempt, ClaimOutcome};
use super::control::Handle;
use super::view::{Route, View};
use crate::ports::ObjectStore;
use crate::util::clock::{Clock, incarnation};
use crate::util::http::Client;
use crate::util::metrics::{FIRST_BYTE, REQUESTS};

/// The header that names the caller's team.
pub const TEAM: &str = "cinderspoke-team";

/// The header by which a caller forbids that its request runs more than once; its value is `never`.
pub const REPEAT: &str = "cinderspoke-repeat";

/// The header with the caller's key, which identifies repeated sends of the same request.
pub const KEY: &str = "cinderspoke-key";

/// The header with the outcome of a request.
pub const OUTCOME: &str = "cinderspoke-outcome";

/// The header with the manifest of the weights: in an answer those that were used, in a request to
/// an agent those to use.
pub const MANIFEST: &str = "cinderspoke-manifest";

/// The header with the priority of a request that an entry instance sends to an agent.
pub const PRIORITY: &str = "cinderspoke-priority";

/// The header with the name of the instance that answered.
pub const INSTANCE: &str = "cinderspoke-instance";

/// Retry delay for a caller whose request found no replica.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The dependencies of the callers' router.
pub struct Parts {
    /// Handle of the control task.
    pub control: Handle,
    /// The HTTP client for calls to agents.
    pub client: Client,
    /// The store in which keys are claimed.
    pub store: Arc<dyn ObjectStore>,
    /// The name of this entry instance.
    pub instance: Instance,
    /// Upper bound on the size of a request body.
    pub body_limit: size::Bytes,
}

/// The shared state of the request handlers.
struct Context {
    parts: Parts,
    gate: Mutex<Limits>,
    clock: Clock,
    // Starts at the incarnation, so that no number repeats one of an earlier process on this
    // instance.
    next_number: AtomicU64,
}

/// The admission gate and the generation of the configuration that it applies.
#[derive(Default)]
struct Limits {
    gate: Limiter,
    generation: Generation,
}

/// Builds the router for callers.
pub fn app(parts: Parts) -> Router {
    let context = Context {
        parts,
        gate: Mutex::default(),
        clock: Clock::start(),
        next_number: AtomicU64::new(incarnation().as_u64()),
    };
    Router::new().fallback(answer).with_state(Arc::new(context))
}

async fn answer(State(context): State<Arc<Context>>, request: Request<Body>) -> Response {
    let arrived = Instant::now();
    let (response, outcome) = match try_answer(&context, request).await {
        Ok(response) => (response, Outcome::Answered),
        Err(refusal) => {
            tracing::debug!(outcome = %refusal.outcome, reason = refusal.reason, "request refused");
            let outcome = refusal.outcome;
            (refusal.into_response(), outcome)
        }
    };
    counter!(REQUESTS, "outcome" => outcome.to_string()).increment(1);
    histogram!(FIRST_BYTE).record(arrived.elapsed().as_secs_f64());
    response
}

async fn try_answer(context: &Arc<Context>, request: Request<Body>) -> Result<Response, Refusal> {
    let view = context.parts.control.view();
    let parsed = receive(context, &view, request).await?;
    let route = route_of(&view, &parsed.service)?;
    let admitted = admit(context, &view, &parsed, route)?;
    let claimed = claim(context, &parsed).await?;
    match attempt_all(context, &parsed).await {
        Ok((response, target)) => Ok(respond(response, target, admitted, &parsed.method)),
        Err(refusal) => {
            if let (Some(attempt), Outcome::NotRun) = (claimed, refusal.outcome) {
                attempt.release(context.parts.store.as_ref()).await;
            }
            Err(refusal)
        }
    }
}

/// Looks up the route to a service.
fn route_of<'a>(view: &'a View, service: &Service) -> Result<&'a Route, Refusal> {
    if view.active.is_none() {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return Err(Refusal::not_run(
            status,
            "no-configuration",
            "no configuration is known yet",
            RETRY_AFTER,
        ));
    }
    let missing = || {
        let reason = format!("there is no service {service}");
        Refusal::invalid(StatusCode::NOT_FOUND, "no-service", reason)
    };
    view.routes.get(service).ok_or_else(missing)
}

/// A request that the gate has admitted. Dropping it tells the gate that the request has ended.
struct Admitted {
    context: Arc<Context>,
    service: Service,
}

impl Drop for Admitted {
    fn drop(&mut self) {
        lock(&self.context.gate).gate.finish(&self.service);
    }
}

fn lock(limits: &Mutex<Limits>) -> MutexGuard<'_, Limits> {
    limits.lock().unwrap_or_else(PoisonError::into_inner)
}

fn admit(
    context: &Arc<Context>,
    view: &View,
    parsed: &Parsed,
    route: &Route,
) -> Result<Admitted, Refusal> {
    let now = context.clock.now();
    let mut limits = lock(&context.gate);
    if let Some(active) = &view.active
        && active.root.generation > limits.generation
    {
        limits.gate.configure(&active.configuration, now);
        limits.generation = active.root.generation;
    }
    let Parsed { team, service, .. } = parsed;
    match limits.gate.admit(team, service, route.targets.len(), now) {
        Decision::Admit => Ok(Admitted { context: Arc::clone(context), service: service.clone() }),
        Decision::Refuse { reason, retry_after } => {
            let (status, reason) = (StatusCode::TOO_MANY_REQUESTS, reason.to_string());
            Err(Refusal::not_run(status, "limited", reason, retry_after))
        }
    }
}

/// Claims the key of a request that has one and may run only once.
async fn claim(context: &Context, parsed: &Parsed) -> Result<Option<Attempt>, Refusal> {
    let Some(key) = parsed.key.as_deref().filter(|_| parsed.repeat == Repeat::Forbidden) else {
        return Ok(None);
    };
    let number = context.next_number.fetch_add(1, Ordering::Relaxed);
    let Parts { store, instance, .. } = &context.parts;
    let attempt = Attempt::new(&parsed.service, &parsed.team, key, instance, number);
    match attempt.claim(store.as_ref()).await {
        ClaimOutcome::Claimed => Ok(Some(attempt)),
        ClaimOutcome::Taken => {
            let reason = "the key was used before, and that request may have run";
            Err(Refusal { status: StatusCode::CONFLICT, ..Refusal::unknown(reason) })
        }
        ClaimOutcome::Unknown(error) => {
            let (status, reason) = (StatusCode::SERVICE_UNAVAILABLE, error.to_string());
            Err(Refusal::not_run(status, "key-not-known", reason, RETRY_AFTER))
        }
    }
}
