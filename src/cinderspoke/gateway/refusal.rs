//! Answers of our own, for requests that no endpoint answers.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};

use super::context::Context;

/// When a caller is to come back if nothing better is known.
pub const COME_BACK: Duration = Duration::from_millis(300);

/// When a caller may come back that another gateway can serve at once.
pub const ELSEWHERE: Duration = Duration::from_millis(20);

/// The body of an answer to a caller.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// An answer of our own instead of an endpoint's.
pub struct Refusal {
    /// Its status.
    pub status: StatusCode,
    /// Why, for logs and people.
    pub why: &'static str,
    /// When the caller may come back.
    pub come_back: Option<Duration>,
}

impl Refusal {
    /// A refusal that names no time to come back.
    #[must_use]
    pub fn bad(status: StatusCode, why: &'static str) -> Self {
        Self { status, why, come_back: None }
    }

    /// The request has not run and never will; its caller may come back.
    #[must_use]
    pub fn not_run(why: &'static str, come_back: Duration) -> Self {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Self { status, why, come_back: Some(come_back) }
    }
}

impl Context {
    /// Puts a refusal into the form in which callers read it.
    pub fn refuse(&self, refusal: &Refusal) -> Response<Body> {
        let mut response = plain(refusal.status, refusal.why);
        if let Some(after) = refusal.come_back {
            self.dialect.come_back(response.headers_mut(), after);
        }
        response
    }
}

/// An answer with a line of text.
fn plain(status: StatusCode, text: &'static str) -> Response<Body> {
    let mut response = Response::new(whole(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}

/// A body that is there already.
pub fn whole(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}
