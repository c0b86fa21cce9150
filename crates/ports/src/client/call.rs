//! A request to another process, and the limits on its answer.

use std::net::SocketAddr;
use std::time::Duration;

use axum::body::Body;
use http::{Method, Request};
use serde::Serialize;

use super::{Error, Path, Progress, uri};

/// A request and the limits on its answer, which is read completely.
#[derive(Debug)]
pub struct Call {
    pub(super) address: SocketAddr,
    pub(super) method: Method,
    path: Path,
    headers: Vec<(&'static str, String)>,
    body: Body,
    pub(super) limit: usize,
    pub(super) timeout: Duration,
    pub(super) idle_timeout: Duration,
    pub(super) progress: Progress,
}

/// The largest body of an answer by default, in bytes.
const DEFAULT_LIMIT: usize = 16 << 20;

/// The timeout of the whole exchange by default.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(5);

impl Call {
    /// Creates a request without a body.
    #[must_use]
    pub fn new(method: Method, address: SocketAddr, path: impl Into<Path>) -> Self {
        Self {
            address,
            method,
            path: path.into(),
            headers: Vec::new(),
            body: Body::empty(),
            limit: DEFAULT_LIMIT,
            timeout: DEFAULT_TIMEOUT,
            idle_timeout: Duration::MAX,
            progress: Progress::default(),
        }
    }

    /// Creates a GET request.
    #[must_use]
    pub fn get(address: SocketAddr, path: impl Into<Path>) -> Self {
        Self::new(Method::GET, address, path)
    }

    /// Has the connection closed after the call, so that if all calls to an address do so, each
    /// one is made on a new connection.
    ///
    /// For calls that must not be late: an idle connection may be dead, which shows only when an
    /// answer is due.
    #[must_use]
    pub fn close_after(self) -> Self {
        self.header("connection", "close")
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &'static str, value: impl ToString) -> Self {
        self.headers.push((name, value.to_string()));
        self
    }

    /// Sets the body.
    #[must_use]
    pub fn body(mut self, body: Body) -> Self {
        self.body = body;
        self
    }

    /// Sets the body to a value as JSON.
    #[must_use]
    pub fn json<T: Serialize>(self, value: &T) -> Self {
        let bytes = serde_json::to_vec(value).unwrap_or_default();
        self.header("content-type", "application/json").body(Body::from(bytes))
    }

    /// Sets the longest time without a byte of the answer: before the first and between others.
    #[must_use]
    pub fn idle_timeout(mut self, idle_timeout: Duration) -> Self {
        self.idle_timeout = idle_timeout;
        self
    }

    /// Has the answer's bytes counted as they arrive.
    #[must_use]
    pub fn progress(mut self, progress: &Progress) -> Self {
        self.progress = progress.clone();
        self
    }

    /// Sets the largest body of the answer, in bytes.
    #[must_use]
    pub fn limit(mut self, limit: usize) -> Self {
        self.limit = limit;
        self
    }

    /// Sets the timeout of the whole exchange.
    #[must_use]
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// The request to send.
    ///
    /// # Errors
    ///
    /// [`Error::Invalid`] if the path or a header has a value that no request can have.
    pub(super) fn into_request(self) -> Result<Request<Body>, Error> {
        let address = self.address;
        let invalid = |why: String| Error::Invalid(address, why);
        let path = self.path.as_str().map_err(|misfit| invalid(misfit.to_string()))?;
        let uri = uri(address, path).map_err(|error| invalid(error.to_string()))?;
        let mut request = Request::builder().method(self.method).uri(uri);
        for (name, value) in self.headers {
            request = request.header(name, value);
        }
        request.body(self.body).map_err(|error| invalid(error.to_string()))
    }
}
