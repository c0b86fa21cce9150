//! A stream as an endpoint writes it, cut into whole events.

use std::sync::Arc;
use std::time::Duration;

use cinderspoke_core::gateway::attempt::Outcome;
use cinderspoke_core::gateway::event::{Events, Splitter};
use http::response;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::pool::Connection;
use super::send::{Answer, Sent, keep_alive};
use super::target::Target;
use crate::util::clock::Deadline;

/// A stream that an endpoint is writing.
pub struct Live {
    sent: Sent,
    body: Incoming,
    connection: Connection,
    // How long the endpoint lets the connection rest afterwards.
    keep: Option<Duration>,
    splitter: Splitter,
    // Whole events that are to be passed on.
    ready: Option<Events>,
    // Whether the endpoint has ended the stream.
    ended: bool,
}

/// Why a stream brings nothing more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stopped {
    /// Its connection broke off, or what came is no stream.
    BrokeOff,
    /// It was silent for too long.
    Silent,
}

impl Stopped {
    /// What became of the send that stopped so.
    #[must_use]
    pub fn fate(self) -> Outcome {
        match self {
            Self::BrokeOff => Outcome::BrokenOff,
            Self::Silent => Outcome::Lost,
        }
    }
}

/// What a stream brings next.
pub enum Part {
    /// Whole events.
    Events(Events),
    /// The endpoint has ended it.
    End,
}

impl Live {
    /// The stream of an answer of which only the head was read, and that head.
    #[must_use]
    pub fn new(answer: Answer) -> (response::Parts, Self) {
        let Answer { head, body, connection, sent, .. } = answer;
        let keep = keep_alive(&head.headers);
        let (splitter, ready, ended) = (Splitter::default(), None, false);
        (head, Self { sent, body, connection, keep, splitter, ready, ended })
    }

    /// The endpoint that writes it.
    #[must_use]
    pub fn target(&self) -> &Arc<Target> {
        &self.sent.target
    }

    /// When the request was sent, by the gateway's clock.
    #[must_use]
    pub fn sent_at(&self) -> Duration {
        self.sent.at
    }

    /// Takes in that the endpoint has begun to answer.
    pub fn begun(&self) {
        self.sent.begun();
    }

    /// Waits for the first whole event, or the end of a stream without any.
    ///
    /// # Errors
    ///
    /// When neither comes in time.
    pub async fn first(&mut self, until: &Deadline) -> Result<(), Stopped> {
        match self.next(until).await? {
            Part::Events(events) => self.ready = Some(events),
            Part::End => self.ended = true,
        }
        Ok(())
    }

    /// Waits for the next whole events, or the end.
    ///
    /// # Errors
    ///
    /// When neither comes in time, or the stream breaks off.
    pub async fn next(&mut self, until: &Deadline) -> Result<Part, Stopped> {
        if let Some(events) = self.ready.take() {
            return Ok(Part::Events(events));
        }
        if self.ended {
            return Ok(Part::End);
        }
        loop {
            let frame = until.bound(self.body.frame()).await.map_err(|_| Stopped::Silent)?;
            let Some(frame) = frame else {
                return if self.splitter.has_partial() {
                    Err(Stopped::BrokeOff)
                } else {
                    Ok(Part::End)
                };
            };
            let Ok(data) = frame.map_err(|_| Stopped::BrokeOff)?.into_data() else { continue };
            if let Some(events) = self.splitter.push(&data).map_err(|_| Stopped::BrokeOff)? {
                return Ok(Part::Events(events));
            }
        }
    }

    /// Keeps the connection for other requests.
    pub fn finish(self) {
        let Self { sent, body, connection, keep, .. } = self;
        drop(body);
        sent.target.pool.keep(connection, keep);
    }
}
