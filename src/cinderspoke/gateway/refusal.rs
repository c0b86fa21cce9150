//! Responses that the gateway generates itself, for requests that no endpoint answers.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};

use super::context::Context;

/// The retry delay in responses to callers unless a better estimate is known.
pub const RETRY_AFTER: Duration = Duration::from_millis(300);

/// The retry delay in responses to callers when another gateway can serve them at once.
pub const RETRY_AFTER_ELSEWHERE: Duration = Duration::from_millis(20);

/// The reason for refusing a request while the gateway stops.
pub const STOPPING: &str = "the gateway is stopping";

/// The body of a response to a caller.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// A response that the gateway generates instead of an endpoint's.
pub struct Refusal {
    /// The HTTP status.
    pub status: StatusCode,
    /// The reason, written to the log and to the response body.
    pub reason: &'static str,
    /// The delay after which the caller may retry; none if the response names none.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal without a retry delay.
    #[must_use]
    pub fn new(status: StatusCode, reason: &'static str) -> Self {
        Self { status, reason, retry_after: None }
    }

    /// Creates a refusal which guarantees that the request has not run and will not run, so
    /// that the caller may retry it.
    #[must_use]
    pub fn not_run(reason: &'static str, retry_after: Duration) -> Self {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Self { status, reason, retry_after: Some(retry_after) }
    }

    /// Creates the refusal of a request that has not run while the gateway stops.
    #[must_use]
    pub fn stopping() -> Self {
        Self::not_run(STOPPING, RETRY_AFTER_ELSEWHERE)
    }
}

impl Context {
    /// Converts a refusal to the response that the caller receives.
    pub fn refuse(&self, refusal: &Refusal) -> Response<Body> {
        let mut response = plain(refusal.status, refusal.reason);
        if let Some(after) = refusal.retry_after {
            self.dialect.retry_after(response.headers_mut(), after);
        }
        response
    }
}

/// Returns a plain-text response.
fn plain(status: StatusCode, text: &'static str) -> Response<Body> {
    let mut response = Response::new(full(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}

/// Returns a body of bytes that are all in memory.
pub fn full(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}
