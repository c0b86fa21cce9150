//! What one send brings: a whole answer, a stream that has begun, or a failure.

use std::time::Duration;

use bytes::Bytes;
use cinderspoke_core::gateway::attempt::Outcome;
use cinderspoke_core::gateway::catalog::Kind;
use cinderspoke_core::gateway::health::Observation;
use http::{Response, StatusCode, Version, header, response};
use http_body_util::{BodyExt, Limited};

use super::choose::Selected;
use super::context::Context;
use super::parse::Parsed;
use super::record::Record;
use super::send::{
    Answer, MAX_BUFFERED_ANSWER, keep_alive_timeout, record_refusal, send, start_deadline,
};
use super::stream::EventStream;
use super::target::Target;
use crate::util::clock::Deadline;

/// How much longer than twice what is expected a stream's first event may take.
const FIRST_SILENCE: Duration = Duration::from_millis(1300);

/// What became of one send.
pub enum Attempt {
    /// A whole answer.
    Whole(Response<Bytes>),
    /// A stream whose first events are there.
    Stream(response::Parts, Box<EventStream>),
    /// No success; an endpoint's own failure may be passed on.
    Failed(Outcome, Option<Response<Bytes>>),
}

/// Sends a request to an endpoint and reads as much of the answer as has to be
/// there before the caller is told anything.
pub async fn attempt(
    context: &Context,
    parsed: &Parsed,
    selected: &Selected,
    record: &mut Record,
) -> Attempt {
    let slack = match parsed.route.kind {
        Kind::Stream { resumable: true } => FIRST_SILENCE,
        _ => Duration::MAX,
    };
    let until = start_deadline(context, parsed, selected, slack);
    let answer = match send(context, parsed, selected, None, &until).await {
        Ok(answer) => answer,
        Err(fate) => return Attempt::Failed(fate, None),
    };
    if answer.info.request.as_ref() != Some(&parsed.call.id) {
        // The answer of another request, or none of an endpoint: nothing is known of ours.
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
        read(context, parsed, answer).await
    }
}

/// Whether an answer is encoded: none is asked for, so it is no endpoint's own.
pub fn is_encoded(head: &response::Parts) -> bool {
    head.headers.contains_key(header::CONTENT_ENCODING)
}

/// The endpoint's answer does not tell what became of the request.
fn lost(context: &Context, target: &Target) -> Attempt {
    target.observe(Observation::Silence, context.clock.now());
    Attempt::Failed(Outcome::Lost, None)
}

/// Waits for the first events of a stream.
async fn begin(
    context: &Context,
    answer: Answer,
    until: &Deadline,
    record: &mut Record,
) -> Attempt {
    let (head, mut stream) = EventStream::new(answer);
    if let Err(interrupted) = stream.wait_first(until).await {
        stream.target().observe(Observation::Silence, context.clock.now());
        return Attempt::Failed(interrupted.outcome(), None);
    }
    stream.started();
    stream.target().observe(Observation::Good, context.clock.now());
    record.first_byte();
    Attempt::Stream(head, Box::new(stream))
}

/// Reads an answer whole.
async fn read(context: &Context, parsed: &Parsed, answer: Answer) -> Attempt {
    let Answer { head, body, connection, sent, .. } = answer;
    let read = parsed.deadline.bound(Limited::new(body, MAX_BUFFERED_ANSWER).collect()).await;
    let body = match read {
        Ok(Ok(body)) => body,
        Ok(Err(_)) => {
            sent.target.observe(Observation::Silence, context.clock.now());
            return Attempt::Failed(Outcome::BrokenOff, None);
        }
        Err(_) => return lost(context, &sent.target),
    };
    let target = sent.finish();
    target.pool.check_in(connection, keep_alive_timeout(&head.headers));
    let good = !head.status.is_server_error();
    let sign = if good { Observation::Good } else { Observation::Failure };
    target.observe(sign, context.clock.now());
    let response = Response::from_parts(end_to_end(head), body.to_bytes());
    if is_promise(response.status()) {
        // Such a status would promise that the request has not run.
        Attempt::Failed(Outcome::Failed, None)
    } else if good {
        Attempt::Whole(response)
    } else {
        Attempt::Failed(Outcome::Failed, Some(response))
    }
}

/// Whether callers take a status for the promise that their request has not run.
fn is_promise(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// The head of an answer without what concerns the endpoint's connection.
pub fn end_to_end(mut head: response::Parts) -> response::Parts {
    for name in ["connection", "keep-alive", "proxy-connection", "transfer-encoding", "upgrade"] {
        head.headers.remove(name);
    }
    head.version = Version::HTTP_11;
    head
}
