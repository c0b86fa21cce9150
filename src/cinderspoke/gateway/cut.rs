//! The log line and the metric of callers' connections that the gateway closes with a request in
//! them.

use std::thread;

use metrics::counter;

use super::head::{Progress, Unfinished};
use crate::util::metrics::CUT;

/// Why the gateway closed a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// Its task was dropped, as at the end of the process.
    Dropped,
    /// Its task panicked.
    Panic,
    /// The grace period of a stop was over.
    Stop,
    /// A head was not received in time.
    SlowHead,
    /// The response broke off, which the request's own line explains.
    Response,
    /// What the caller sent is no HTTP, or the connection could not be served on.
    Protocol,
}

impl Cause {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Dropped => "dropped",
            Self::Panic => "panic",
            Self::Stop => "stop",
            Self::SlowHead => "slow-head",
            Self::Response => "response-broke-off",
            Self::Protocol => "protocol",
        }
    }
}

/// Watches a connection until it is closed, in whichever way. Has to be dropped before the
/// connection, which forgets its request.
pub struct Watch {
    progress: Progress,
    cause: Cause,
}

impl Watch {
    /// Watches a connection.
    #[must_use]
    pub fn new(progress: Progress) -> Self {
        Self { progress, cause: Cause::Dropped }
    }

    /// Records that the grace period of a stop is over.
    pub fn stopped(&mut self) {
        self.cause = Cause::Stop;
    }

    /// Records that the connection has ended by itself.
    pub fn ended(&mut self) {
        self.cause = Cause::Protocol;
    }

    /// Returns why a connection with something unfinished was closed.
    fn cause(&self, unfinished: Unfinished) -> Cause {
        match (self.cause, unfinished) {
            _ if thread::panicking() => Cause::Panic,
            (Cause::Protocol, _) if self.progress.is_late() => Cause::SlowHead,
            (Cause::Protocol, _) if self.progress.has_broken_off() => Cause::Response,
            (cause, _) => cause,
        }
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        let Some(unfinished) = self.progress.unfinished() else { return };
        if self.progress.has_left() {
            return;
        }
        let cause = self.cause(unfinished);
        let why = cause.as_str();
        if unfinished != Unfinished::Head && cause != Cause::Response {
            counter!(CUT, "why" => why).increment(1);
        }
        let (id, at) = (self.progress.last_id(), unfinished.as_str());
        tracing::warn!(id, at, why, "caller's connection closed with a request in it");
    }
}
