//! Answers of our own, for requests that no endpoint answers.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};

use super::context::Context;

/// When a caller is to come back if nothing better is known.
pub const RETRY_AFTER: Duration = Duration::from_millis(300);

/// When a caller may come back that another gateway can serve at once.
pub const RETRY_AFTER_ELSEWHERE: Duration = Duration::from_millis(20);

/// The body of an answer to a caller.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// An answer of our own instead of an endpoint's.
pub struct Refusal {
    /// Its status.
    pub status: StatusCode,
    /// Why, for logs and people.
    pub reason: &'static str,
    /// When the caller may come back.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal that names no time to come back.
    #[must_use]
    pub fn new(status: StatusCode, reason: &'static str) -> Self {
        Self { status, reason, retry_after: None }
    }

    /// The request has not run and never will; its caller may come back.
    #[must_use]
    pub fn not_run(reason: &'static str, retry_after: Duration) -> Self {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Self { status, reason, retry_after: Some(retry_after) }
    }
}

impl Context {
    /// Puts a refusal into the form in which callers read it.
    pub fn refuse(&self, refusal: &Refusal) -> Response<Body> {
        let mut response = plain(refusal.status, refusal.reason);
        if let Some(after) = refusal.retry_after {
            self.dialect.come_back(response.headers_mut(), after);
        }
        response
    }
}

/// An answer with a line of text.
fn plain(status: StatusCode, text: &'static str) -> Response<Body> {
    let mut response = Response::new(full(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}

/// A body that is there already.
pub fn full(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}
