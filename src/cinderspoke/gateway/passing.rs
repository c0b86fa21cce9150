//! Passing a stream on to its caller; when its endpoint falls silent, another
//! one goes on with it.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cinderspoke_core::gateway::attempt::{Next, Outcome};
use cinderspoke_core::gateway::event::Events;
use cinderspoke_core::gateway::health::Observation;
use http::{Response, StatusCode, header, response};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;

use super::answer::{end_to_end, is_encoded};
use super::choose::{Chosen, Sends};
use super::context::Context;
use super::crash;
use super::parse::Parsed;
use super::record::Record;
use super::refusal::Body;
use super::send::{begins_until, refused, send};
use super::stream::{Live, Part, Stopped};
use crate::util::clock::Deadline;

/// How long an endpoint may be silent in the middle of a stream before another
/// one goes on with it: callers leave after two seconds.
const SILENCE: Duration = Duration::from_millis(1100);

/// A stream on its way to its caller.
struct Passing {
    context: Arc<Context>,
    parsed: Parsed,
    sends: Sends,
    record: Record,
    live: Option<Box<Live>>,
    // The last event that was passed on.
    last: Option<u64>,
    status: StatusCode,
}

/// Makes the answer to a caller out of a stream that has begun.
pub fn pass_on(
    context: &Arc<Context>,
    parsed: Parsed,
    mut sends: Sends,
    record: Record,
    head: response::Parts,
    live: Box<Live>,
) -> Response<Body> {
    let head = end_to_end(head);
    // The send that runs counts as one that has run.
    sends.record(Outcome::Lost);
    let last = parsed.call.last_event;
    let passing = Passing {
        context: Arc::clone(context),
        parsed,
        sends,
        record,
        live: Some(live),
        last,
        status: head.status,
    };
    let events = futures::stream::unfold(Some(passing), |passing| async {
        let mut passing = passing?;
        match passing.next().await {
            Some(Ok(bytes)) => Some((Ok(Frame::data(bytes)), Some(passing))),
            Some(Err(error)) => Some((Err(error), None)),
            None => None,
        }
    });
    let body: Body = StreamBody::new(events).boxed_unsync();
    let mut response = Response::from_parts(head, body);
    // Another endpoint may go on with another length.
    response.headers_mut().remove(header::CONTENT_LENGTH);
    response
}

impl Passing {
    /// The next events for the caller; none at the end.
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        loop {
            let until = self.patient_until();
            let Some(live) = &mut self.live else {
                return Some(Err(self.break_off("no endpoint could go on")));
            };
            match live.next(&until).await {
                Ok(Part::Events(events)) => return Some(self.pass(events)),
                Ok(Part::End) => {
                    if let Some(live) = self.live.take() {
                        live.finish();
                    }
                    self.context.was_served(&self.parsed);
                    self.record.answered(self.status);
                    return None;
                }
                Err(Stopped::Silent) if self.parsed.deadline.is_over() => {
                    return Some(Err(self.break_off("no time is left")));
                }
                Err(stopped) => self.resume(stopped).await,
            }
        }
    }

    /// Until when the endpoint may be silent: where no other one could go on,
    /// silence is no reason to end the stream.
    fn patient_until(&self) -> Deadline {
        let repeatable = self.parsed.route.kind.repeatable();
        let next = self.sends.history.next(repeatable, self.parsed.route.attempts, true);
        if self.last.is_some() && next == Next::Retry {
            self.context.clock.after(SILENCE).min(self.parsed.deadline)
        } else {
            self.parsed.deadline
        }
    }

    /// Passes events on, unless the caller has had them.
    fn pass(&mut self, events: Events) -> io::Result<Bytes> {
        if let (Some(last), Some(new)) = (self.last, events.last_id)
            && new <= last
        {
            return Err(self.break_off("events came twice"));
        }
        self.last = events.last_id.or(self.last);
        self.record.passed();
        Ok(events.bytes.into())
    }

    /// Ends the stream before its time.
    fn break_off(&mut self, why: &'static str) -> io::Error {
        self.live = None;
        self.record.broken(why);
        io::Error::other(why)
    }

    /// Has another endpoint go on after the last whole event.
    async fn resume(&mut self, stopped: Stopped) {
        let Some(live) = self.live.take() else { return };
        live.target().observe(Observation::Silence, self.context.clock.now());
        self.record.failed_send(&live.target().name, stopped.fate());
        if stopped == Stopped::BrokeOff {
            crash::look_into(&self.context, &self.parsed, live.target(), live.sent_at()).await;
        }
        drop(live);
        // Without a number there is nothing to go on after.
        let Some(last) = self.last else { return };
        loop {
            let resumable = self.parsed.route.kind.repeatable();
            let time_left = !self.parsed.deadline.is_over();
            let next = self.sends.history.next(resumable, self.parsed.route.attempts, time_left);
            if next != Next::Retry || self.context.holds_back(&self.parsed).is_some() {
                return;
            }
            let choice = self.sends.choose(&self.context, &self.parsed, &mut self.record);
            let Ok(chosen) = choice.await else { return };
            if !self.context.spend_repeat(&self.parsed.service) {
                return;
            }
            self.sends.tried.push(chosen.target.name.clone());
            let sent = self.context.clock.now();
            match self.go_on(&chosen, last).await {
                Ok(live) => {
                    self.sends.record(Outcome::Lost);
                    self.record.resumed();
                    self.live = Some(live);
                    return;
                }
                Err(fate) => {
                    self.record.failed_send(&chosen.target.name, fate);
                    if fate == Outcome::BrokenOff {
                        crash::look_into(&self.context, &self.parsed, &chosen.target, sent).await;
                    }
                    self.sends.record(fate);
                }
            }
        }
    }

    /// Asks an endpoint to go on after an event.
    async fn go_on(&self, chosen: &Chosen, last: u64) -> Result<Box<Live>, Outcome> {
        let until = begins_until(&self.context, &self.parsed, chosen, SILENCE);
        let answer = send(&self.context, &self.parsed, chosen, Some(last), &until).await?;
        if answer.said.request.as_ref() != Some(&self.parsed.call.id) {
            return Err(Outcome::Lost);
        }
        if answer.said.not_run {
            refused(&self.context, &self.parsed, answer).await;
            return Err(Outcome::Refused);
        }
        if is_encoded(&answer.head) {
            // What follows would not be the rest of what the caller has.
            return Err(Outcome::Lost);
        }
        if !answer.head.status.is_success() || !answer.said.signed {
            return Err(Outcome::Failed);
        }
        let (_, live) = Live::new(answer);
        live.begun();
        Ok(Box::new(live))
    }
}
