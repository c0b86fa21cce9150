//! Sends a request to an endpoint and receives the head of the answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cinderspoke_core::gateway::attempt::Outcome;
use cinderspoke_core::gateway::health::Observation;
use cinderspoke_ports::body;
use cinderspoke_ports::framing::{Fault, Framing};
use cinderspoke_ports::gateway::{AnswerHead, Attempt};
use http::{HeaderMap, Request, Uri, response};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::timeout;

use super::choose::{Position, Selected};
use super::context::{Context, Withdrawal};
use super::outstanding::Changes;
use super::parse::Parsed;
use super::pool::{Checkout, Connection};
use super::query::release;
use super::record::Record;
use super::target::Target;
use crate::util::clock::Deadline;

/// Maximum size of an answer that is buffered whole, in bytes.
pub const MAX_BUFFERED_ANSWER: usize = 8 << 20;

/// How long after a version's last start time a request on it is given up; less than the margin
/// that is kept when the request is sent.
const VERSION_MARGIN: Duration = Duration::from_millis(400);

/// Added to twice the expected time for an answer over a reused connection: as much as for the
/// first event of a stream.
const STALE_SLACK: Duration = Duration::from_millis(1300);

/// Timeout of receiving the body of a refusal.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(100);

/// A request sent to an endpoint, counted as outstanding there until it is dropped.
pub struct Sent {
    /// The endpoint.
    pub target: Arc<Target>,
    /// When the request was sent, by the gateway's clock.
    pub sent_at: Duration,
    number: u64,
    // Collects the changes to publish to the endpoint's agent.
    changes: Arc<Changes>,
}

impl Sent {
    /// Counts a request as outstanding at an endpoint; this uses up its reservation.
    fn new(context: &Context, parsed: &Parsed, selected: &Selected) -> Self {
        let (number, target) = (context.next_attempt_number(), Arc::clone(&selected.target));
        let (prompt, now) = (parsed.call.size.prompt, context.clock.now());
        {
            let load = &mut target.tracking().load;
            load.record_sent(number, prompt, selected.expected_ttft, now);
            selected.reservation.iter().for_each(|number| load.pending.resolve(*number));
        }
        let changes = context.state.outstanding_changes();
        changes.add(&target);
        Self { target, sent_at: now, number, changes }
    }

    /// Records that the answer has begun.
    pub fn started(&self) {
        self.target.tracking().load.record_first_token(self.number);
        self.changes.add(&self.target);
    }

    /// Ends the count of the request and returns the endpoint.
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

/// An answer of which the head has been received.
pub struct Answer {
    /// The head.
    pub head: response::Parts,
    /// How the end of the body is marked.
    pub framing: Framing,
    /// The protocol's fields in the head.
    pub info: AnswerHead,
    /// The body, of which nothing was read yet.
    pub body: Incoming,
    /// The connection that carries it.
    pub connection: Connection,
    /// The outstanding request.
    pub sent: Sent,
}

/// Sends a request and waits for the head of the answer; `after` is the last event that the
/// caller has received, if another endpoint sent it. `withdrawal` pays for a send beyond the
/// request's first, and is put back if no byte leaves this process.
///
/// # Errors
///
/// The outcome of the attempt, if no head is received in time.
pub async fn send(
    context: &Context,
    parsed: &Parsed,
    selected: &Selected,
    mut withdrawal: Option<Withdrawal>,
    after: Option<u64>,
    until: &Deadline,
    record: &mut Record,
) -> Result<Answer, Outcome> {
    let target = &selected.target;
    // The probe is used up only here: a choice may still be given up.
    target.tracking().health.start_probe(context.clock.now());
    let checkout = match selected.position {
        // Only a reused connection may be stale, and there is no attempt left to find that out.
        Position::Last => target.pool.connect().await,
        Position::Only | Position::Followed => target.pool.checkout().await,
    };
    let Checkout { mut connection, reused } = match checkout {
        Ok(taken) => taken,
        Err(error) => {
            tracing::debug!(endpoint = %target.name, error = format!("{error:#}"), "connecting");
            target.observe(Observation::Silence, context.clock.now());
            selected.reservation.iter().for_each(|number| release(target, *number, &context.state));
            return Err(Outcome::NotSent);
        }
    };
    let is_first = withdrawal.is_none();
    if !context.admits(parsed) || (is_first && context.is_too_late(&parsed.deadline)) {
        // What is wrong with it became known while it waited for an endpoint or a connection, or
        // the gateway has begun to close connections meanwhile.
        target.pool.check_in(connection, None);
        selected.reservation.iter().for_each(|number| release(target, *number, &context.state));
        return Err(Outcome::NotSent);
    }
    let sent = Sent::new(context, parsed, selected);
    let request = request(context, parsed, selected, after);
    let stale = stale_after(parsed, selected).filter(|_| reused);
    let until = stale.map_or(*until, |stale| context.clock.after(stale).min(*until));
    record.sent();
    if let Some(withdrawal) = &mut withdrawal {
        withdrawal.spend();
        record.retry_sent();
    }
    match until.timeout(connection.try_send_request(request)).await {
        Ok(Ok(response)) => {
            let (head, body) = response.into_parts();
            let framing = match Framing::read(&parsed.head.method, &head) {
                Ok(framing) => framing,
                // The connection ends with what is dropped here.
                Err(fault) => return Err(spoilt(context, target, record, fault, None)),
            };
            let info = context.dialect.parse_answer(&head);
            context.observe_answer_head(parsed, target, &info);
            Ok(Answer { head, framing, info, body, connection, sent })
        }
        Ok(Err(mut error)) => {
            let unsent = error.take_message().is_some();
            let cause = error.error().to_string();
            tracing::debug!(endpoint = %target.name, unsent, cause, "sending");
            if !unsent && error.error().is_parse() {
                return Err(spoilt(context, target, record, Fault::Unreadable, Some(&cause)));
            }
            target.observe(Observation::Silence, context.clock.now());
            if !unsent {
                return Err(Outcome::BrokenOff);
            }
            record.unsent();
            withdrawal.iter_mut().for_each(Withdrawal::unspend);
            Err(Outcome::NotSent)
        }
        Err(_) => {
            target.observe(Observation::Stall, context.clock.now());
            Err(if stale.is_some() { Outcome::Stale } else { Outcome::Lost })
        }
    }
}

/// Records an answer with a spoilt head.
pub fn spoilt(
    context: &Context,
    target: &Target,
    record: &Record,
    fault: Fault,
    detail: Option<&str>,
) -> Outcome {
    target.observe(Observation::Silence, context.clock.now());
    record.head_spoilt(&target.name, fault, detail);
    Outcome::Spoilt
}

/// Returns after how long without an answer a reused connection counts as stale; none if the
/// request may not be repeated.
///
/// A stale connection cannot be distinguished from a slow endpoint. Half of the remaining time is
/// kept for a new connection; otherwise such a request would wait for all of it and fail.
fn stale_after(parsed: &Parsed, selected: &Selected) -> Option<Duration> {
    let timeout = (selected.expected_ttft * 2 + STALE_SLACK).min(parsed.deadline.left() / 2);
    parsed.route.kind.repeatable().then_some(timeout)
}

/// Builds the request for the endpoint.
fn request(
    context: &Context,
    parsed: &Parsed,
    selected: &Selected,
    after: Option<u64>,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(parsed.body.clone()));
    *request.method_mut() = parsed.head.method.clone();
    *request.uri_mut() =
        parsed.head.uri.path_and_query().cloned().map(Uri::from).unwrap_or_default();
    *request.headers_mut() = parsed.head.headers.clone();
    let attempt = Attempt {
        endpoint: &selected.target.name,
        version: selected.version,
        time_left: parsed.deadline.left(),
        team: parsed.team.as_ref(),
        priority: parsed.priority,
        last_event: after.or(parsed.call.last_event),
    };
    context.dialect.write_request(request.headers_mut(), &attempt);
    request
}

/// Returns until when an answer has to begin before the request is retried elsewhere: twice the
/// expected time, which grows with the size of the request, plus `slack`.
pub fn start_deadline(
    context: &Context,
    parsed: &Parsed,
    selected: &Selected,
    slack: Duration,
) -> Deadline {
    let timeout = slack.saturating_add(selected.expected_ttft * 2);
    // A request that has not begun by then may no longer begin on the old version.
    let version_ends = selected.version_left.map_or(Duration::MAX, |left| left + VERSION_MARGIN);
    let timeout = timeout.min(version_ends);
    context.clock.after(timeout).min(parsed.deadline)
}

/// Records that an endpoint refused a request without running it, and reuses the connection if
/// the rest of the refusal is received in time.
pub async fn record_refusal(context: &Context, parsed: &Parsed, answer: Answer) {
    let Answer { head, framing, info, body, connection, sent } = answer;
    let target = &sent.target;
    target.record_refusal(context.clock.now());
    tracing::info!(
        id = %parsed.call.id,
        endpoint = %target.name,
        status = head.status.as_u16(),
        rest_ms = info.backoff.map(|rest| rest.as_millis() as u64),
        "an endpoint refused a request"
    );
    let read = timeout(REFUSAL_BODY_TIMEOUT, body::discard(body, MAX_BUFFERED_ANSWER)).await;
    if read == Ok(true) && framing.allows_reuse() {
        target.pool.check_in(connection, keep_alive_timeout(&head.headers));
    }
}

/// Returns the idle timeout of a connection, in whole seconds, from the `keep-alive` header.
pub fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let number = text.split(',').find_map(|part| {
        let part = part.trim();
        part.strip_prefix("timeout=").unwrap_or(part).parse().ok()
    });
    number.map(Duration::from_secs)
}
