//! One send of a request to an endpoint, up to the head of the answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cinderspoke_core::gateway::attempt::Outcome;
use cinderspoke_core::gateway::health::Observation;
use cinderspoke_ports::gateway::{AnswerHead, Sending};
use http::{HeaderMap, Request, response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use tokio::time::timeout;

use super::choose::Selected;
use super::context::Context;
use super::outstanding::Changes;
use super::parse::Parsed;
use super::pool::{Checkout, Connection};
use super::query::release;
use super::target::Target;
use crate::util::clock::Deadline;

/// The largest answer that is held until it is whole.
pub const MAX_BUFFERED_ANSWER: usize = 8 << 20;

/// How much later than expected a request may begin on an old version; less than
/// the margin that is kept when it is sent.
const BEGIN_MARGIN: Duration = Duration::from_millis(400);

/// How much longer than twice what is expected an answer over a connection that had
/// rested may take at least: as long as the first event of a stream.
const STALE: Duration = Duration::from_millis(1300);

/// How long the rest of a refusal may take to come.
const REFUSAL: Duration = Duration::from_millis(100);

/// A request at an endpoint, counted there until it is dropped.
pub struct Sent {
    /// The endpoint.
    pub target: Arc<Target>,
    /// When it was sent, by the gateway's clock.
    pub sent_at: Duration,
    number: u64,
    // Where its agent's news are gathered.
    changes: Arc<Changes>,
}

impl Sent {
    /// Counts a request as sent to an endpoint.
    fn new(context: &Context, parsed: &Parsed, selected: &Selected) -> Self {
        let (number, target) = (context.next_attempt_number(), Arc::clone(&selected.target));
        let (prompt, now) = (parsed.call.size.prompt, context.clock.now());
        {
            let load = &mut target.tracking().load;
            load.record_sent(number, prompt, selected.expected_ttfb, now);
            selected.reservation.iter().for_each(|number| load.pending.resolve(*number));
        }
        let changes = context.state.outstanding_changes();
        changes.add(&target);
        Self { target, sent_at: now, number, changes }
    }

    /// Takes in that the answer has begun.
    pub fn started(&self) {
        self.target.tracking().load.record_first_token(self.number);
        self.changes.add(&self.target);
    }

    /// Ends the request at the endpoint, which stays of use to the caller.
    #[must_use]
    pub fn finish(self) -> Arc<Target> {
        Arc::clone(&self.target)
    }
}

impl Drop for Sent {
    fn drop(&mut self) {
        self.target.tracking().load.record_end(self.number);
        self.changes.add(&self.target);
    }
}

/// An answer whose head is there.
pub struct Answer {
    /// Its head.
    pub head: response::Parts,
    /// What its head says.
    pub info: AnswerHead,
    /// Its body, of which nothing was read yet.
    pub body: Incoming,
    /// The connection that it comes over.
    pub connection: Connection,
    /// The request at the endpoint.
    pub sent: Sent,
}

/// Sends a request and waits for the head of the answer; `after` is the last
/// event that the caller has, if another endpoint gave it.
///
/// # Errors
///
/// What became of the request when no head came in time.
pub async fn send(
    context: &Context,
    parsed: &Parsed,
    selected: &Selected,
    after: Option<u64>,
    until: &Deadline,
) -> Result<Answer, Outcome> {
    let target = &selected.target;
    // Not before: what was chosen may still be refused for want of budget.
    target.tracking().health.start_probe(context.clock.now());
    let Checkout { mut connection, reused } = match target.pool.checkout().await {
        Ok(taken) => taken,
        Err(error) => {
            tracing::debug!(endpoint = %target.name, error = format!("{error:#}"), "connecting");
            target.observe(Observation::Silence, context.clock.now());
            selected.reservation.iter().for_each(|number| release(target, *number, &context.state));
            return Err(Outcome::NotSent);
        }
    };
    let sent = Sent::new(context, parsed, selected);
    let request = request(context, parsed, selected, after);
    let stale = stale_after(parsed, selected).filter(|_| reused);
    let until = stale.map_or(*until, |stale| context.clock.after(stale).min(*until));
    match until.bound(connection.try_send_request(request)).await {
        Ok(Ok(response)) => {
            let (head, body) = response.into_parts();
            let info = context.dialect.answer(&head);
            context.observe_answer_head(parsed, target, &info);
            Ok(Answer { head, info, body, connection, sent })
        }
        Ok(Err(mut error)) => {
            let unsent = error.take_message().is_some();
            let cause = error.error().to_string();
            tracing::debug!(endpoint = %target.name, unsent, cause, "sending");
            target.observe(Observation::Silence, context.clock.now());
            Err(if unsent { Outcome::NotSent } else { Outcome::BrokenOff })
        }
        Err(_) => {
            target.observe(Observation::Stall, context.clock.now());
            Err(if stale.is_some() { Outcome::Stale } else { Outcome::Lost })
        }
    }
}

/// After how long without an answer a connection that had rested is taken to have gone
/// silent, where the request may be sent once more.
///
/// Nothing tells a silent connection from a slow endpoint. Half of the time that is left is
/// kept for a new one; without it, such a request waits for all of it in vain.
fn stale_after(parsed: &Parsed, selected: &Selected) -> Option<Duration> {
    let patience = (selected.expected_ttfb * 2 + STALE).min(parsed.deadline.left() / 2);
    parsed.route.kind.repeatable().then_some(patience)
}

/// The request as the endpoint gets it.
fn request(
    context: &Context,
    parsed: &Parsed,
    selected: &Selected,
    after: Option<u64>,
) -> Request<Full<Bytes>> {
    let path = parsed.head.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut request = Request::new(Full::new(parsed.body.clone()));
    *request.method_mut() = parsed.head.method.clone();
    *request.uri_mut() = path.parse().unwrap_or_default();
    *request.headers_mut() = parsed.head.headers.clone();
    let sending = Sending {
        endpoint: &selected.target.name,
        version: selected.version,
        left: parsed.deadline.left(),
        team: parsed.team.as_ref(),
        priority: parsed.priority,
        after: after.or(parsed.call.last_event),
    };
    context.dialect.address(request.headers_mut(), &sending);
    request
}

/// Until when a request has to have begun, so that it is not tried elsewhere: it may take twice
/// what is expected of it, which is longer the larger it is, and some slack.
pub fn start_deadline(
    context: &Context,
    parsed: &Parsed,
    selected: &Selected,
    slack: Duration,
) -> Deadline {
    let patience = slack.saturating_add(selected.expected_ttfb * 2);
    // What has not begun by then may not begin on the old version any more.
    let version_ends = selected.version_left.map_or(Duration::MAX, |left| left + BEGIN_MARGIN);
    let patience = patience.min(version_ends);
    context.clock.after(patience).min(parsed.deadline)
}

/// Takes in that an endpoint has refused a request without running it.
pub async fn record_refusal(context: &Context, parsed: &Parsed, answer: Answer) {
    let Answer { head, info, body, connection, sent } = answer;
    let target = &sent.target;
    target.record_refusal(context.clock.now());
    tracing::info!(
        id = %parsed.call.id,
        endpoint = %target.name,
        status = head.status.as_u16(),
        rest_ms = info.rest.map(|rest| rest.as_millis() as u64),
        "an endpoint refused a request"
    );
    if let Ok(Ok(_)) = timeout(REFUSAL, Limited::new(body, MAX_BUFFERED_ANSWER).collect()).await {
        target.pool.check_in(connection, keep_alive_timeout(&head.headers));
    }
}

/// How long the endpoint lets the connection rest, in whole seconds as it says.
pub fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let number = text.split(',').find_map(|part| {
        let part = part.trim();
        part.strip_prefix("timeout=").unwrap_or(part).parse().ok()
    });
    number.map(Duration::from_secs)
}
