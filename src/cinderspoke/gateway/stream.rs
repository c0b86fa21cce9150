//! A response stream from an endpoint, split into whole events.

use std::sync::Arc;
use std::time::Duration;

use cinderspoke_core::gateway::attempt::Outcome;
use cinderspoke_core::gateway::event::{Events, Splitter};
use cinderspoke_ports::framing::{Fault, Framing};
use http::response;
use hyper::body::Incoming;
use tokio::time::error::Elapsed;

use super::completeness::Completeness;
use super::context::Context;
use super::memory::{self, Share};
use super::pool::Connection;
use super::send::{Answer, Sent, keep_alive_timeout};
use super::target::Target;
use crate::util::clock::Deadline;

/// A stream of events that an endpoint is sending.
pub struct EventStream {
    sent: Sent,
    body: Incoming,
    framing: Framing,
    connection: Connection,
    // The idle timeout of the connection, as the endpoint says.
    idle_timeout: Option<Duration>,
    splitter: Splitter,
    // The memory of the incomplete event that the splitter buffers.
    share: Share,
    // Whether events were received.
    has_begun: bool,
    // Whole events that were received by `wait_first` and not yet returned by `next`.
    ready: Option<Events>,
    // The completeness of a stream that ended before any event.
    ended: Option<Completeness>,
}

/// Why a stream was interrupted before its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Interrupted {
    /// The connection broke off, the endpoint crashed, or the data is no event stream.
    BrokenOff,
    /// No event was received in time.
    TimedOut,
    /// No memory was left for an event that is not whole.
    Exhausted,
    /// Its first event shows that the head of the answer is spoilt.
    Spoilt(Fault),
}

impl Interrupted {
    /// Returns the outcome of the attempt whose stream was interrupted.
    #[must_use]
    pub fn outcome(self) -> Outcome {
        match self {
            Self::BrokenOff => Outcome::BrokenOff,
            Self::TimedOut | Self::Exhausted => Outcome::Lost,
            Self::Spoilt(_) => Outcome::Spoilt,
        }
    }
}

impl From<memory::Error> for Interrupted {
    fn from(error: memory::Error) -> Self {
        match error {
            memory::Error::Exhausted => Self::Exhausted,
            memory::Error::BrokenOff(_) | memory::Error::TooLong => Self::BrokenOff,
        }
    }
}

impl From<Elapsed> for Interrupted {
    fn from(_: Elapsed) -> Self {
        Self::TimedOut
    }
}

/// The next item of a stream.
pub enum Item {
    /// Whole events.
    Events(Events),
    /// The stream ended, and whether it is certain that it is complete.
    End(Completeness),
}

impl EventStream {
    /// Creates the stream of an answer of which only the head was read; returns the head too.
    #[must_use]
    pub fn new(context: &Context, answer: Answer) -> (response::Parts, Self) {
        let share = context.memory.share(&answer.sent.target.name);
        let Answer { head, framing, body, connection, sent, .. } = answer;
        let idle_timeout = keep_alive_timeout(&head.headers);
        let stream = Self {
            sent,
            body,
            framing,
            connection,
            idle_timeout,
            splitter: Splitter::default(),
            share,
            has_begun: false,
            ready: None,
            ended: None,
        };
        (head, stream)
    }

    /// Returns the endpoint that sends the stream.
    #[must_use]
    pub fn target(&self) -> &Arc<Target> {
        &self.sent.target
    }

    /// Returns when the request was sent, by the gateway's clock.
    #[must_use]
    pub fn sent_at(&self) -> Duration {
        self.sent.sent_at
    }

    /// Records that the endpoint has begun to answer.
    pub fn started(&self) {
        self.sent.started();
    }

    /// Waits for the first whole event, or the end of a stream without any.
    ///
    /// # Errors
    ///
    /// If neither is received in time, or the stream breaks off.
    pub async fn wait_first(&mut self, until: &Deadline) -> Result<(), Interrupted> {
        match self.next(until).await? {
            Item::Events(events) => self.ready = Some(events),
            Item::End(completeness) => self.ended = Some(completeness),
        }
        Ok(())
    }

    /// Waits for the next whole events, or the end.
    ///
    /// # Errors
    ///
    /// If neither is received in time, or the stream breaks off.
    pub async fn next(&mut self, until: &Deadline) -> Result<Item, Interrupted> {
        if let Some(events) = self.ready.take() {
            return Ok(Item::Events(events));
        }
        if let Some(completeness) = self.ended {
            return Ok(Item::End(completeness));
        }
        loop {
            let data = until.timeout(self.share.next(&mut self.body)).await?;
            let Some(data) = data? else { return self.end(until).await };
            let events = self.splitter.push(&data).map_err(|_| Interrupted::BrokenOff)?;
            let buffered = self.splitter.partial_bytes();
            if let Some(events) = events {
                self.check_first(&events)?;
                self.share.release_to(buffered);
                return Ok(Item::Events(events));
            }
            until.timeout(self.share.hold(buffered)).await??;
        }
    }

    /// Checks the first events, which may be the rest of a head that ended early.
    fn check_first(&mut self, events: &Events) -> Result<(), Interrupted> {
        if std::mem::replace(&mut self.has_begun, true) {
            return Ok(());
        }
        self.framing.check_body(&events.bytes).map_err(Interrupted::Spoilt)
    }

    /// Finds out whether the stream is complete after its last byte.
    async fn end(&self, until: &Deadline) -> Result<Item, Interrupted> {
        if self.splitter.has_partial() {
            return Err(Interrupted::BrokenOff);
        }
        match Completeness::determine(self.framing, &self.target().pool, until).await {
            Completeness::BrokenOff => Err(Interrupted::BrokenOff),
            completeness => Ok(Item::End(completeness)),
        }
    }

    /// Returns the connection to the pool if it can be reused.
    pub fn finish(self) {
        let Self { sent, body, framing, connection, idle_timeout, .. } = self;
        drop(body);
        if framing.allows_reuse() {
            sent.target.pool.check_in(connection, idle_timeout);
        }
    }
}
