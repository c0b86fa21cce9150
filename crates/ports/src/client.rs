//! HTTP as a client: requests to the platform, the weights and other processes.

use std::fmt;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use async_trait::async_trait;
use axum::body::Body;
use bytes::Bytes;
use displaydoc::Display;
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri, header};
use http_body_util::{BodyExt, Limited};
use hyper_util::client::legacy::Client as Pool;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::{Instant, sleep, timeout};

/// How long connecting may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// How long an unused connection is kept.
///
/// One that has rested may have gone silent for good, and whoever uses it next waits in
/// vain. Weights come in bursts, between whose calls connections rest for less.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Why an exchange failed.
#[derive(Debug, Display)]
pub enum Error {
    /// {0} could not be reached, so nothing was sent: {1}
    Connect(SocketAddr, String),
    /// no whole answer came from {0}: {1}
    Broken(SocketAddr, String),
    /// no answer came from {0} within {1:?}
    Timeout(SocketAddr, Duration),
    /// {0} answered {1}: {2}
    Status(SocketAddr, StatusCode, String, Option<Duration>),
    /// the answer of {0} cannot be read: {1}
    Body(SocketAddr, String),
}

impl std::error::Error for Error {}

impl Error {
    /// The status that was answered, if one was.
    #[must_use]
    pub fn status(&self) -> Option<StatusCode> {
        match self {
            Self::Status(_, status, ..) => Some(*status),
            _ => None,
        }
    }

    /// After how long whoever answered wants to be asked again, if it said so.
    #[must_use]
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Status(.., retry_after) => *retry_after,
            _ => None,
        }
    }
}

/// The longest time that is read as one to stay away: as good as for ever, and sums with it
/// can be counted.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(86_400);

/// After how long the sender of an answer wants to be asked again: seconds, fractions of
/// them too. A time of day instead is not read, since clocks step.
#[must_use]
pub fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(header::RETRY_AFTER)?.to_str().ok()?;
    let seconds: f64 = text.trim().parse().ok()?;
    let is_time = seconds > 0.0;
    is_time.then(|| {
        Duration::try_from_secs_f64(seconds).unwrap_or(MAX_RETRY_AFTER).min(MAX_RETRY_AFTER)
    })
}

/// What carries requests to other processes.
#[async_trait]
pub trait Transport: fmt::Debug + Send + Sync {
    /// Sends a request and gives the answer's head; its body still streams.
    ///
    /// [`Error::Connect`] says that nothing was sent, [`Error::Broken`] that
    /// something may have been.
    async fn send(
        &self,
        address: SocketAddr,
        request: Request<Body>,
    ) -> Result<Response<Body>, Error>;
}

/// Carries requests over TCP, and keeps connections open.
#[derive(Debug)]
struct Tcp {
    pool: Pool<HttpConnector, Body>,
}

impl Tcp {
    fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let pool = Pool::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(connector);
        Self { pool }
    }
}

#[async_trait]
impl Transport for Tcp {
    async fn send(
        &self,
        address: SocketAddr,
        request: Request<Body>,
    ) -> Result<Response<Body>, Error> {
        let response = self.pool.request(request).await.map_err(|error| {
            let text = chain(&error);
            if error.is_connect() {
                Error::Connect(address, text)
            } else {
                Error::Broken(address, text)
            }
        })?;
        Ok(response.map(Body::new))
    }
}

/// Sends requests to other processes.
#[derive(Debug, Clone)]
pub struct Client {
    transport: Arc<dyn Transport>,
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

impl Client {
    /// A client over TCP, with no connections yet.
    #[must_use]
    pub fn new() -> Self {
        Self::with_transport(Arc::new(Tcp::new()))
    }

    /// A client over another transport.
    #[must_use]
    pub fn with_transport(transport: Arc<dyn Transport>) -> Self {
        Self { transport }
    }

    /// Sends a request and gives the answer's head; its body still streams.
    ///
    /// # Errors
    ///
    /// [`Error::Connect`] when nothing was sent, [`Error::Broken`] when
    /// something may have been.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Body>,
    ) -> Result<Response<Body>, Error> {
        self.transport.send(address, request).await
    }

    /// Sends a request and reads the whole answer of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// When no whole answer came in time, or its status is no success.
    pub async fn fetch(&self, call: Call) -> Result<Bytes, Error> {
        self.fetch_whole(call).await.map(Response::into_body)
    }

    /// Sends a request and reads the whole answer, as `fetch` does, with its head.
    async fn fetch_whole(&self, call: Call) -> Result<Response<Bytes>, Error> {
        let (address, limit) = (call.address, call.timeout);
        let (idle_timeout, progress) = (call.idle_timeout, call.progress.clone());
        let exchange = self.exchange(call);
        tokio::select! {
            answer = timeout(limit, exchange) => answer.map_err(|_| Error::Timeout(address, limit))?,
            () = progress.wait_stalled(idle_timeout) => Err(Error::Timeout(address, idle_timeout)),
        }
    }

    /// Sends a request and reads the answer as JSON.
    ///
    /// # Errors
    ///
    /// As [`Client::fetch`], or when the answer is of another form.
    pub async fn fetch_json<T: DeserializeOwned>(&self, call: Call) -> Result<T, Error> {
        self.fetch_json_and_headers(call).await.map(|(_, value)| value)
    }

    /// Sends a request and reads the answer's headers, and the answer as JSON.
    ///
    /// # Errors
    ///
    /// As [`Client::fetch_json`].
    pub async fn fetch_json_and_headers<T: DeserializeOwned>(
        &self,
        call: Call,
    ) -> Result<(HeaderMap, T), Error> {
        let address = call.address;
        let (head, bytes) = self.fetch_whole(call).await?.into_parts();
        let value = serde_json::from_slice(&bytes)
            .map_err(|error| Error::Body(address, error.to_string()))?;
        Ok((head.headers, value))
    }

    async fn exchange(&self, call: Call) -> Result<Response<Bytes>, Error> {
        let Call { address, limit, .. } = call;
        let progress = call.progress.clone();
        let (head, body) = self.send(address, call.into_request()?).await?.into_parts();
        let counted = body.map_frame(|frame| {
            progress.advance(frame.data_ref().map_or(0, Bytes::len));
            frame
        });
        let body = Limited::new(counted, limit).collect().await;
        let bytes = body.map_err(|error| Error::Broken(address, error.to_string()))?.to_bytes();
        if head.status.is_success() {
            return Ok(Response::from_parts(head, bytes));
        }
        let text = String::from_utf8_lossy(&bytes).into_owned();
        Err(Error::Status(address, head.status, text, retry_after(&head.headers)))
    }
}

/// How much of an answer has come: whoever waits for it can tell one that is on its way
/// from none. Clones count the same answer.
#[derive(Debug, Clone, Default)]
pub struct Progress(Arc<Arrived>);

#[derive(Debug, Default)]
struct Arrived {
    bytes: AtomicU64,
    // When the first of them came.
    began: OnceLock<Instant>,
}

impl Progress {
    /// How many bytes of it have come.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.0.bytes.load(Ordering::Relaxed)
    }

    /// How long ago the first of it came; zero if nothing has.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        self.0.began.get().map_or(Duration::ZERO, Instant::elapsed)
    }

    /// Takes in that more of it has come.
    pub fn advance(&self, bytes: usize) {
        self.0.began.get_or_init(Instant::now);
        self.0.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Waits until nothing of it, or nothing more of it, has come for so long.
    pub async fn wait_stalled(&self, idle_timeout: Duration) {
        let mut before = None;
        while before != Some(self.bytes()) {
            before = Some(self.bytes());
            sleep(idle_timeout).await;
        }
    }
}

/// A request with a whole answer.
#[derive(Debug)]
pub struct Call {
    address: SocketAddr,
    method: Method,
    path: String,
    headers: Vec<(&'static str, String)>,
    body: Body,
    limit: usize,
    timeout: Duration,
    idle_timeout: Duration,
    progress: Progress,
}

/// The largest answer that is read unless a call says otherwise, in bytes.
const DEFAULT_LIMIT: usize = 16 << 20;

/// How long an exchange may take unless a call says otherwise.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(5);

impl Call {
    /// A request without a body.
    #[must_use]
    pub fn new(method: Method, address: SocketAddr, path: impl Into<String>) -> Self {
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

    /// A request to read something.
    #[must_use]
    pub fn get(address: SocketAddr, path: impl Into<String>) -> Self {
        Self::new(Method::GET, address, path)
    }

    /// Makes the call on a connection that is closed after it and was not used before,
    /// if all calls to its address are made so.
    ///
    /// For calls that must not come late: a connection that has rested may have gone
    /// silent, and shows it only when an answer is due.
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

    /// Sets for how long nothing of the answer may come, or nothing more.
    #[must_use]
    pub fn idle_timeout(mut self, idle_timeout: Duration) -> Self {
        self.idle_timeout = idle_timeout;
        self
    }

    /// Has the answer counted as it comes.
    #[must_use]
    pub fn progress(mut self, progress: &Progress) -> Self {
        self.progress = progress.clone();
        self
    }

    /// Sets the largest answer, in bytes.
    #[must_use]
    pub fn limit(mut self, limit: usize) -> Self {
        self.limit = limit;
        self
    }

    /// Sets how long the exchange may take.
    #[must_use]
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    fn into_request(self) -> Result<Request<Body>, Error> {
        let address = self.address;
        let mut request = Request::builder().method(self.method).uri(uri(address, &self.path));
        for (name, value) in self.headers {
            request = request.header(name, value);
        }
        request.body(self.body).map_err(|error| Error::Connect(address, error.to_string()))
    }
}

/// The address of a path at a process; the root where the path is no path.
#[must_use]
pub fn uri(address: SocketAddr, path: &str) -> Uri {
    let build = |path: &str| {
        Uri::builder().scheme("http").authority(address.to_string()).path_and_query(path).build()
    };
    build(path).or_else(|_| build("/")).unwrap_or_default()
}

/// An error with all that caused it.
fn chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
