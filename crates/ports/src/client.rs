//! An HTTP client for requests to the platform, to the weights' origin and to other processes.
//!
//! A [`Client`] sends [`Call`]s over a [`Transport`], by default pooled TCP connections, and
//! reads whole answers, whose bytes a [`Progress`] counts. A [`Path`] is where a call goes.

mod call;
mod path;
mod progress;

use std::error::Error as _;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use axum::body::Body;
use bytes::Bytes;
use displaydoc::Display;
use http::{HeaderMap, Request, Response, StatusCode, Uri, header};
use http_body_util::BodyExt;
use hyper_util::client::legacy::Client as Pool;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::de::DeserializeOwned;
use tokio::time::timeout;

pub use self::call::Call;
pub use self::path::Path;
pub use self::progress::Progress;
use crate::body;
use crate::framing::{Fault, Framing};

/// The timeout of connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// How long an idle connection is kept.
///
/// An idle connection may be dead without a sign, and a request on it waits until its timeout.
/// Weights are fetched in bursts, within which connections are idle for less than this.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Why an exchange failed.
#[derive(Debug, Display)]
pub enum Error {
    /// the call to {0} cannot be made, so nothing was sent: {1}
    Invalid(SocketAddr, String),
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
    /// Returns whether the call cannot be made, so that no try will succeed.
    #[must_use]
    pub fn is_invalid(&self) -> bool {
        matches!(self, Self::Invalid(..))
    }

    /// Returns whether nothing was sent.
    #[must_use]
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Invalid(..) | Self::Connect(..))
    }

    /// Returns the answer's status if there was an answer.
    #[must_use]
    pub fn status(&self) -> Option<StatusCode> {
        match self {
            Self::Status(_, status, ..) => Some(*status),
            _ => None,
        }
    }

    /// Returns the retry delay that the answer names, if any.
    #[must_use]
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Status(.., retry_after) => *retry_after,
            _ => None,
        }
    }
}

/// The upper bound of a parsed retry delay, a day: practically forever, without overflow when
/// times are added to it.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(86_400);

/// Parses the retry delay of the header `retry-after` ([RFC 9110, section 10.2.3]) in seconds,
/// which may have a fraction here. A date is ignored, since clocks step.
///
/// [RFC 9110, section 10.2.3]: https://www.rfc-editor.org/rfc/rfc9110#section-10.2.3
#[must_use]
pub fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(header::RETRY_AFTER)?.to_str().ok()?;
    let seconds: f64 = text.trim().parse().ok()?;
    let is_time = seconds > 0.0;
    is_time.then(|| {
        Duration::try_from_secs_f64(seconds).unwrap_or(MAX_RETRY_AFTER).min(MAX_RETRY_AFTER)
    })
}

/// Carries requests to other processes.
#[async_trait]
pub trait Transport: fmt::Debug + Send + Sync {
    /// Sends a request and returns once the answer's head has arrived; its body is streamed.
    ///
    /// # Errors
    ///
    /// [`Error::Connect`] if nothing was sent, [`Error::Broken`] if something may have been.
    async fn send(
        &self,
        address: SocketAddr,
        request: Request<Body>,
    ) -> Result<Response<Body>, Error>;
}

/// Carries requests over pooled TCP connections.
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
        let method = request.method().clone();
        let response = self.pool.request(request).await.map_err(|error| {
            let text = with_causes(&error);
            if error.is_connect() {
                return Error::Connect(address, text);
            }
            if is_unreadable(&error) {
                return spoilt(address, Fault::Unreadable, Some(&text));
            }
            Error::Broken(address, text)
        })?;
        let (head, body) = response.into_parts();
        match Framing::read(&method, &head) {
            Ok(_) => Ok(Response::from_parts(head, Body::new(body))),
            Err(fault) => Err(spoilt(address, fault, None)),
        }
    }
}

/// Returns whether something came that is no head of an answer.
fn is_unreadable(error: &hyper_util::client::legacy::Error) -> bool {
    let cause = error.source().and_then(|cause| cause.downcast_ref::<hyper::Error>());
    cause.is_some_and(hyper::Error::is_parse)
}

/// Logs and counts an answer with a spoilt head; returns that no whole answer came. `detail` says
/// more of what is wrong with the head, where more is known.
fn spoilt(address: SocketAddr, fault: Fault, detail: Option<&str>) -> Error {
    fault.count();
    let name = fault.as_str();
    tracing::warn!(%address, fault = name, why = %fault, detail, "answer with a spoilt head");
    Error::Broken(address, format!("the head of its answer is spoilt: {fault}"))
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
    /// Creates a client over TCP, which connects on demand.
    #[must_use]
    pub fn new() -> Self {
        Self::with_transport(Arc::new(Tcp::new()))
    }

    /// Creates a client over another transport.
    #[must_use]
    pub fn with_transport(transport: Arc<dyn Transport>) -> Self {
        Self { transport }
    }

    /// Sends a request and returns once the answer's head has arrived; its body is streamed.
    ///
    /// # Errors
    ///
    /// [`Error::Connect`] if nothing was sent, [`Error::Broken`] if something may have been.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Body>,
    ) -> Result<Response<Body>, Error> {
        self.transport.send(address, request).await
    }

    /// Sends a request and returns the complete body of its answer.
    ///
    /// # Errors
    ///
    /// [`Error::Invalid`] if the call cannot be made; others if no complete answer within the call's
    /// limit arrived in time, or its status is not a success.
    pub async fn fetch(&self, call: Call) -> Result<Bytes, Error> {
        self.fetch_whole(call).await.map(Response::into_body)
    }

    /// Does what [`Client::fetch`] does, and returns the answer with its head.
    ///
    /// # Errors
    ///
    /// As [`Client::fetch`].
    pub async fn fetch_whole(&self, call: Call) -> Result<Response<Bytes>, Error> {
        let (address, limit) = (call.address, call.timeout);
        let (idle_timeout, progress) = (call.idle_timeout, call.progress.clone());
        let exchange = self.exchange(call);
        tokio::select! {
            answer = timeout(limit, exchange) => answer.map_err(|_| Error::Timeout(address, limit))?,
            () = progress.wait_stalled(idle_timeout) => Err(Error::Timeout(address, idle_timeout)),
        }
    }

    /// Sends a request and deserializes the answer's body from JSON.
    ///
    /// # Errors
    ///
    /// As [`Client::fetch`], and [`Error::Body`] if the body does not deserialize.
    pub async fn fetch_json<T: DeserializeOwned>(&self, call: Call) -> Result<T, Error> {
        self.fetch_json_and_headers(call).await.map(|(_, value)| value)
    }

    /// Sends a request and returns the answer's headers and its body, deserialized from JSON.
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
        let method = call.method.clone();
        let (head, body) = self.send(address, call.into_request()?).await?.into_parts();
        let counted = body.map_frame(|frame| {
            progress.advance(frame.data_ref().map_or(0, Bytes::len));
            frame
        });
        let bytes = body::collect(counted, limit).await;
        let bytes = bytes.map_err(|error| Error::Broken(address, error.to_string()))?;
        if let Ok(framing) = Framing::read(&method, &head) {
            framing.check_body(&bytes).map_err(|fault| spoilt(address, fault, None))?;
        }
        if head.status.is_success() {
            return Ok(Response::from_parts(head, bytes));
        }
        let text = String::from_utf8_lossy(&bytes).into_owned();
        Err(Error::Status(address, head.status, text, retry_after(&head.headers)))
    }
}

/// Builds the URI of a path, which may have a query, at an address.
///
/// # Errors
///
/// If no URI can have the path: it has characters that are not escaped, or is too long.
pub fn uri(address: SocketAddr, path: &str) -> Result<Uri, http::Error> {
    Uri::builder().scheme("http").authority(address.to_string()).path_and_query(path).build()
}

/// Formats an error with all its causes.
fn with_causes(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
