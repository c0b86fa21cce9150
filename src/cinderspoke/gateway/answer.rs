//! The result of one attempt: a whole answer, a stream that has begun, or a failure.

use std::time::Duration;

use bytes::Bytes;
use cinderspoke_core::gateway::attempt::Outcome;
use cinderspoke_core::gateway::catalog::Kind;
use cinderspoke_core::gateway::health::Observation;
use cinderspoke_ports::framing;
use http::{Response, StatusCode, header, response};

use super::choose::{Position, Selected};
use super::completeness::Completeness;
use super::context::{Context, Withdrawal};
use super::memory;
use super::parse::Parsed;
use super::record::Record;
use super::send::{
    Answer, MAX_BUFFERED_ANSWER, keep_alive_timeout, record_refusal, send, spoilt, start_deadline,
};
use super::stream::{EventStream, Interrupted};
use super::target::Target;
use crate::util::clock::Deadline;

/// Added to twice the expected time for the first event of a stream.
const FIRST_EVENT_SLACK: Duration = Duration::from_millis(1300);

/// The result of one attempt.
pub enum Attempt {
    /// A whole answer, and whether it is certain that it is whole.
    Whole(Response<Bytes>, Completeness),
    /// The head of a stream whose first events were received, and the stream.
    Stream(response::Parts, Box<EventStream>),
    /// A failure, with the endpoint's failure response if that may be forwarded.
    Failed(Outcome, Option<Response<Bytes>>),
}

/// Sends a request to an endpoint and reads what has to be received before the response to the
/// caller begins: the whole answer, or the first events of a stream. `withdrawal` pays for a send
/// beyond the request's first.
pub async fn attempt(
    context: &Context,
    parsed: &Parsed,
    selected: &Selected,
    withdrawal: Option<Withdrawal>,
    record: &mut Record,
) -> Attempt {
    let slack = match parsed.route.kind {
        Kind::Stream { resumable: true } if selected.position == Position::Followed => {
            FIRST_EVENT_SLACK
        }
        _ => Duration::MAX,
    };
    let until = start_deadline(context, parsed, selected, slack);
    let answer = match send(context, parsed, selected, withdrawal, None, &until, record).await {
        Ok(answer) => answer,
        Err(outcome) => return Attempt::Failed(outcome, None),
    };
    record.set_framing(answer.framing);
    if answer.info.request.as_ref() != Some(&parsed.call.id) {
        // The answer belongs to another request or is not from an endpoint, so the outcome of
        // this request is unknown.
        return lost(context, &selected.target);
    }
    if answer.info.not_run {
        record_refusal(context, parsed, answer).await;
        return Attempt::Failed(Outcome::Refused, None);
    }
    let success = answer.head.status.is_success();
    if is_encoded(&answer.head) || (success && !answer.info.signed) {
        return lost(context, &selected.target);
    }
    if success && parsed.route.kind.streams() {
        begin(context, answer, &until, record).await
    } else {
        read(context, parsed, answer, record).await
    }
}

/// Returns whether an answer has a content encoding. Requests ask for none, so an encoded answer
/// was not written by the endpoint itself.
pub fn is_encoded(head: &response::Parts) -> bool {
    head.headers.contains_key(header::CONTENT_ENCODING)
}

/// Fails an attempt whose outcome is unknown.
fn lost(context: &Context, target: &Target) -> Attempt {
    target.observe(Observation::Silence, context.clock.now());
    Attempt::Failed(Outcome::Lost, None)
}

/// Fails an attempt whose answer broke off.
fn broken_off(context: &Context, target: &Target) -> Attempt {
    target.observe(Observation::Silence, context.clock.now());
    Attempt::Failed(Outcome::BrokenOff, None)
}

/// Waits for the first events of a stream.
async fn begin(
    context: &Context,
    answer: Answer,
    until: &Deadline,
    record: &mut Record,
) -> Attempt {
    let (head, mut stream) = EventStream::new(context, answer);
    if let Err(interrupted) = stream.wait_first(until).await {
        if let Interrupted::Spoilt(fault) = interrupted {
            let outcome = spoilt(context, stream.target(), record, fault, None);
            return Attempt::Failed(outcome, None);
        }
        stream.target().observe(Observation::Silence, context.clock.now());
        return Attempt::Failed(interrupted.outcome(), None);
    }
    stream.started();
    stream.target().observe(Observation::Good, context.clock.now());
    record.first_byte();
    Attempt::Stream(head, Box::new(stream))
}

/// Reads a whole answer.
async fn read(context: &Context, parsed: &Parsed, answer: Answer, record: &mut Record) -> Attempt {
    let Answer { mut head, framing, body, connection, sent, .. } = answer;
    let share = context.memory.share(&sent.target.name);
    let read = parsed.deadline.timeout(share.collect(body, MAX_BUFFERED_ANSWER)).await;
    let body = match read {
        Ok(Ok(body)) => body,
        Ok(Err(memory::Error::BrokenOff(_) | memory::Error::TooLong)) => {
            return broken_off(context, &sent.target);
        }
        Ok(Err(memory::Error::Exhausted)) | Err(_) => return lost(context, &sent.target),
    };
    let target = sent.finish();
    if let Err(fault) = framing.check_body(&body) {
        return Attempt::Failed(spoilt(context, &target, record, fault, None), None);
    }
    if framing.allows_reuse() {
        target.pool.check_in(connection, keep_alive_timeout(&head.headers));
    }
    let completeness = Completeness::determine(framing, &target.pool, &parsed.deadline).await;
    if completeness == Completeness::BrokenOff {
        return broken_off(context, &target);
    }
    let good = !head.status.is_server_error();
    let sign = if good { Observation::Good } else { Observation::Failure };
    target.observe(sign, context.clock.now());
    framing::strip(&parsed.head.method, &mut head);
    let response = Response::from_parts(head, body);
    if means_not_run(response.status()) {
        // The caller would conclude from the status that the request has not run.
        Attempt::Failed(Outcome::Failed, None)
    } else if good {
        Attempt::Whole(response, completeness)
    } else {
        Attempt::Failed(Outcome::Failed, Some(response))
    }
}

/// Returns whether callers take a status as a guarantee that their request has not run.
fn means_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}
