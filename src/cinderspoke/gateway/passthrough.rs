//! Forwards a stream to its caller and resumes it at another endpoint when its own endpoint stops
//! sending or breaks off.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cinderspoke_core::gateway::attempt::{Next, Outcome};
use cinderspoke_core::gateway::event::Events;
use cinderspoke_core::gateway::health::Observation;
use cinderspoke_ports::framing;
use http::{Response, StatusCode, response};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;

use super::answer::is_encoded;
use super::choose::{Attempts, Position, Selected};
use super::completeness::Completeness;
use super::context::{Context, Withdrawal};
use super::crash;
use super::parse::Parsed;
use super::record::Record;
use super::refusal::Body;
use super::send::{record_refusal, send, start_deadline};
use super::stream::{EventStream, Interrupted, Item};
use super::target::Target;
use crate::util::clock::Deadline;

/// Timeout between events of a stream after which another endpoint resumes it: callers give up
/// after two seconds.
const EVENT_TIMEOUT: Duration = Duration::from_millis(1100);

/// A stream being forwarded to its caller.
struct Passthrough {
    context: Arc<Context>,
    parsed: Parsed,
    attempts: Attempts,
    record: Record,
    stream: Option<Box<EventStream>>,
    // The number of the last event that was forwarded.
    last: Option<u64>,
    status: StatusCode,
}

/// Returns the response to a caller for a stream that has begun.
pub fn respond(
    context: &Arc<Context>,
    parsed: Parsed,
    mut attempts: Attempts,
    record: Record,
    mut head: response::Parts,
    stream: Box<EventStream>,
) -> Response<Body> {
    framing::strip(&parsed.head.method, &mut head);
    // The running attempt counts as one that has run.
    attempts.record(Outcome::Lost);
    let last = parsed.call.last_event;
    let passthrough = Passthrough {
        context: Arc::clone(context),
        parsed,
        attempts,
        record,
        stream: Some(stream),
        last,
        status: head.status,
    };
    let events = futures::stream::unfold(Some(passthrough), |passthrough| async {
        let mut passthrough = passthrough?;
        match passthrough.next().await {
            Some(Ok(bytes)) => Some((Ok(Frame::data(bytes)), Some(passthrough))),
            Some(Err(error)) => Some((Err(error), None)),
            None => None,
        }
    });
    let body: Body = StreamBody::new(events).boxed_unsync();
    Response::from_parts(head, body)
}

impl Passthrough {
    /// Returns the next events for the caller; none at the end of the stream.
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        loop {
            let until = self.next_event_deadline();
            let Some(stream) = &mut self.stream else {
                return Some(Err(self.break_off("no endpoint could resume the stream")));
            };
            match stream.next(&until).await {
                Ok(Item::Events(events)) => return Some(self.forward(events)),
                Ok(Item::End(completeness)) => {
                    if let Some(stream) = self.stream.take() {
                        stream.finish();
                    }
                    if completeness == Completeness::Whole {
                        self.context.record_served(&self.parsed);
                    }
                    self.record.answered(self.status);
                    return None;
                }
                Err(Interrupted::TimedOut) if self.parsed.deadline.is_over() => {
                    return Some(Err(self.break_off("the deadline passed during the stream")));
                }
                Err(interrupted) => self.resume(interrupted).await,
            }
        }
    }

    /// Returns until when the next event has to be received. If no other endpoint could resume
    /// the stream, only the request's deadline ends it.
    fn next_event_deadline(&self) -> Deadline {
        let repeatable = self.parsed.route.kind.repeatable();
        let next = self.attempts.history.next(repeatable, self.parsed.route.attempts, true);
        if self.last.is_some() && next == Next::Retry {
            self.context.clock.after(EVENT_TIMEOUT).min(self.parsed.deadline)
        } else {
            self.parsed.deadline
        }
    }

    /// Returns events to forward, unless the caller has received them before.
    fn forward(&mut self, events: Events) -> io::Result<Bytes> {
        if let (Some(last), Some(new)) = (self.last, events.last_id)
            && new <= last
        {
            return Err(self.break_off("an endpoint repeated events"));
        }
        self.last = events.last_id.or(self.last);
        self.record.events_sent();
        Ok(events.bytes.into())
    }

    /// Breaks the stream off and records the reason.
    fn break_off(&mut self, reason: &'static str) -> io::Error {
        self.stream = None;
        self.record.broken(reason);
        io::Error::other(reason)
    }

    /// Resumes the stream at another endpoint, after the last whole event. A stream that only
    /// paused goes on if no other endpoint can take it.
    async fn resume(&mut self, interrupted: Interrupted) {
        let Some(stream) = self.stream.take() else { return };
        stream.target().observe(Observation::Silence, self.context.clock.now());
        let mut paused = None;
        match interrupted {
            Interrupted::BrokenOff => {
                self.record.attempt_failed(&stream.target().name, interrupted.outcome());
                self.investigate(stream.target(), stream.sent_at()).await;
                drop(stream);
            }
            Interrupted::Exhausted => {
                self.record.attempt_failed(&stream.target().name, interrupted.outcome());
                drop(stream);
            }
            Interrupted::Spoilt(fault) => {
                self.record.head_spoilt(&stream.target().name, fault, None);
                self.record.attempt_failed(&stream.target().name, interrupted.outcome());
                drop(stream);
            }
            Interrupted::TimedOut => paused = Some(stream),
        }
        // A stream without event numbers cannot be resumed.
        let Some(last) = self.last else { return };
        loop {
            let Some((selected, withdrawal)) = self.choose_next().await else {
                self.stream = paused;
                return;
            };
            self.attempts.tried.push(selected.target.name.clone());
            let sent = self.context.clock.now();
            match self.request_rest(&selected, withdrawal, last).await {
                Ok(stream) => {
                    if let Some(paused) = paused.take() {
                        self.record.attempt_failed(&paused.target().name, interrupted.outcome());
                    }
                    self.attempts.record(Outcome::Lost);
                    self.record.resumed();
                    self.stream = Some(stream);
                    return;
                }
                Err(outcome) => {
                    self.record.attempt_failed(&selected.target.name, outcome);
                    if outcome == Outcome::BrokenOff {
                        self.investigate(&selected.target, sent).await;
                    }
                    self.attempts.record(outcome);
                }
            }
        }
    }

    /// Chooses the endpoint that is to resume the stream; none if it may not be resumed or no
    /// endpoint can take it.
    async fn choose_next(&mut self) -> Option<(Selected, Withdrawal)> {
        let resumable = self.parsed.route.kind.repeatable();
        let time_left = !self.parsed.deadline.is_over();
        let next = self.attempts.history.next(resumable, self.parsed.route.attempts, time_left);
        if next != Next::Retry || self.context.quarantine(&self.parsed).is_some() {
            return None;
        }
        // Withdrawn before the choice, which uses up shares, probes and reservations.
        let withdrawal = self.context.withdraw_retry(&self.parsed.service, &mut self.record)?;
        let choice = self.attempts.choose(&self.context, &self.parsed, &mut self.record);
        Some((choice.await.ok()?, withdrawal))
    }

    /// Finds out whether an endpoint crashed when the connection of an attempt broke off.
    async fn investigate(&self, target: &Arc<Target>, sent: Duration) {
        let framing = self.record.framing();
        crash::investigate(&self.context, &self.parsed, target, sent, framing).await;
    }

    /// Sends the request to an endpoint to continue after an event.
    async fn request_rest(
        &mut self,
        selected: &Selected,
        withdrawal: Withdrawal,
        last: u64,
    ) -> Result<Box<EventStream>, Outcome> {
        let slack = if selected.position == Position::Last { Duration::MAX } else { EVENT_TIMEOUT };
        let until = start_deadline(&self.context, &self.parsed, selected, slack);
        let record = &mut self.record;
        let answer = send(
            &self.context,
            &self.parsed,
            selected,
            Some(withdrawal),
            Some(last),
            &until,
            record,
        )
        .await?;
        self.record.set_framing(answer.framing);
        if answer.info.request.as_ref() != Some(&self.parsed.call.id) {
            return Err(Outcome::Lost);
        }
        if answer.info.not_run {
            record_refusal(&self.context, &self.parsed, answer).await;
            return Err(Outcome::Refused);
        }
        if is_encoded(&answer.head) {
            // The encoded bytes would not continue what the caller has received.
            return Err(Outcome::Lost);
        }
        if !answer.head.status.is_success() || !answer.info.signed {
            return Err(Outcome::Failed);
        }
        let (_, stream) = EventStream::new(&self.context, answer);
        stream.started();
        Ok(Box::new(stream))
    }
}
