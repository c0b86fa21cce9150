//! A stream as an endpoint writes it, cut into whole events.

use std::sync::Arc;
use std::time::Duration;

use cinderspoke_core::gateway::attempt::Outcome;
use cinderspoke_core::gateway::event::{Events, Splitter};
use http::response;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::pool::Connection;
use super::send::{Answer, Sent, keep_alive_timeout};
use super::target::Target;
use crate::util::clock::Deadline;

/// A stream that an endpoint is writing.
pub struct EventStream {
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
pub enum Interrupted {
    /// Its connection broke off, or what came is no stream.
    BrokenOff,
    /// It was silent for too long.
    TimedOut,
}

impl Interrupted {
    /// What became of the send that stopped so.
    #[must_use]
    pub fn fate(self) -> Outcome {
        match self {
            Self::BrokenOff => Outcome::BrokenOff,
            Self::TimedOut => Outcome::Lost,
        }
    }
}

/// What a stream brings next.
pub enum Item {
    /// Whole events.
    Events(Events),
    /// The endpoint has ended it.
    End,
}

impl EventStream {
    /// The stream of an answer of which only the head was read, and that head.
    #[must_use]
    pub fn new(answer: Answer) -> (response::Parts, Self) {
        let Answer { head, body, connection, sent, .. } = answer;
        let keep = keep_alive_timeout(&head.headers);
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
        self.sent.sent_at
    }

    /// Takes in that the endpoint has begun to answer.
    pub fn started(&self) {
        self.sent.started();
    }

    /// Waits for the first whole event, or the end of a stream without any.
    ///
    /// # Errors
    ///
    /// When neither comes in time.
    pub async fn wait_first(&mut self, until: &Deadline) -> Result<(), Interrupted> {
        match self.next(until).await? {
            Item::Events(events) => self.ready = Some(events),
            Item::End => self.ended = true,
        }
        Ok(())
    }

    /// Waits for the next whole events, or the end.
    ///
    /// # Errors
    ///
    /// When neither comes in time, or the stream breaks off.
    pub async fn next(&mut self, until: &Deadline) -> Result<Item, Interrupted> {
        if let Some(events) = self.ready.take() {
            return Ok(Item::Events(events));
        }
        if self.ended {
            return Ok(Item::End);
        }
        loop {
            let frame = until.bound(self.body.frame()).await.map_err(|_| Interrupted::TimedOut)?;
            let Some(frame) = frame else {
                return if self.splitter.has_partial() {
                    Err(Interrupted::BrokenOff)
                } else {
                    Ok(Item::End)
                };
            };
            let Ok(data) = frame.map_err(|_| Interrupted::BrokenOff)?.into_data() else { continue };
            if let Some(events) = self.splitter.push(&data).map_err(|_| Interrupted::BrokenOff)? {
                return Ok(Item::Events(events));
            }
        }
    }

    /// Keeps the connection for other requests.
    pub fn finish(self) {
        let Self { sent, body, connection, keep, .. } = self;
        drop(body);
        sent.target.pool.check_in(connection, keep);
    }
}
