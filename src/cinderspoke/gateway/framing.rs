//! How the end of an answer is marked, and whether an answer that has ended is whole.
//!
//! An answer with neither a length nor chunks ends with its connection, and so does that of an
//! endpoint that crashes. One new connection distinguishes them: a crashed endpoint refuses it. If
//! it is accepted, the pool keeps it in place of the one that ended.

use std::time::Duration;

use http::{header, response};
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, timeout};

use super::pool::Pool;
use crate::util::clock::Deadline;

/// Timeout of finding out whether an answer is whole: the end of the answer waits for it.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// How the end of an answer's body is marked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// By a length, which may be zero.
    Length,
    /// By the last chunk.
    Chunked,
    /// By the end of the connection.
    Connection,
}

/// Whether an answer that has ended is whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completeness {
    /// It is whole.
    Whole,
    /// It ended with its connection, and whether the endpoint crashed is unknown. For the caller
    /// it counts as whole, but it is no evidence that the endpoint outlived the request.
    Unknown,
    /// The endpoint crashed during the answer.
    BrokenOff,
}

impl Framing {
    /// Returns the framing of an answer of which only the head was read; see
    /// [RFC 9112, section 6.3](https://www.rfc-editor.org/rfc/rfc9112#section-6.3).
    #[must_use]
    pub fn of(head: &response::Parts, body: &Incoming) -> Self {
        if body.size_hint().exact().is_some() {
            Self::Length
        } else if is_chunked(head) {
            Self::Chunked
        } else {
            Self::Connection
        }
    }

    /// Returns the name for the log.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::Connection => "connection",
        }
    }

    /// Returns whether the connection can carry another request after the answer.
    #[must_use]
    pub fn allows_reuse(self) -> bool {
        self != Self::Connection
    }

    /// Returns whether an answer that has just ended without an error is whole.
    pub async fn completeness(self, pool: &Pool, until: &Deadline) -> Completeness {
        if self != Self::Connection {
            return Completeness::Whole;
        }
        let check = timeout(CHECK_TIMEOUT, pool.refuses_connections(Instant::now()));
        match until.timeout(check).await {
            Ok(Ok(Some(false))) => Completeness::Whole,
            Ok(Ok(Some(true))) => Completeness::BrokenOff,
            Ok(Ok(None) | Err(_)) | Err(_) => Completeness::Unknown,
        }
    }
}

/// Returns whether the last transfer coding of an answer is `chunked`.
fn is_chunked(head: &response::Parts) -> bool {
    let codings = head.headers.get_all(header::TRANSFER_ENCODING).iter().next_back();
    let last = codings.and_then(|value| value.to_str().ok()?.rsplit(',').next());
    last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}
