//! A pool of HTTP/1.1 connections to one endpoint, each used by one request at a time.

use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use anyhow::{Context, Result};
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::sync::Mutex as AsyncMutex;
use tokio::time::{Instant, sleep, timeout};

use super::socket::Socket;
use crate::util::clock::{MIN_SUSPENSION, suspended};

/// Timeout of connecting: a few round trips on a healthy link.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time without a TCP acknowledgement after which a connection is closed.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(2000);

/// Idle timeout of a connection if the endpoint names none; also the maximum.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Fraction of the endpoint's idle timeout after which a connection is not reused, so that a
/// request does not cross the endpoint's close.
const IDLE_TIMEOUT_FRACTION: f64 = 0.6;

/// How long the result that an endpoint refuses connections is reused: all connections of an
/// endpoint that crashes break off within some milliseconds, and its restart takes seconds.
const REFUSAL_TTL: Duration = Duration::from_millis(200);

/// How long a new connection has to last to show that its endpoint still runs. The end of an
/// unframed answer waits for it.
const MIN_CONNECTION_AGE: Duration = Duration::from_millis(10);

/// Maximum number of connections that one check opens, [`MIN_CONNECTION_AGE`] apart. A process that
/// is killed loses its connections some milliseconds before its listener, and an endpoint with too
/// many connections ends new ones at once, too.
const MAX_CHECK_CONNECTS: u32 = 6;

/// Maximum number of idle connections.
const MAX_IDLE: usize = 32;

/// A connection that can carry a request.
pub type Connection = SendRequest<Full<Bytes>>;

/// An idle connection that may be reused until a time.
#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Instant,
    // How long the machine had been suspended in total when the connection became idle.
    suspended: Duration,
}

/// A connection for one request.
#[derive(Debug)]
pub struct Checkout {
    /// The connection.
    pub connection: Connection,
    /// Whether it has carried a request before: the peer may have become unreachable since.
    pub reused: bool,
}

/// A check whether an endpoint refuses connections.
#[derive(Debug, Clone, Copy)]
struct Check {
    began: Instant,
    refused: bool,
}

impl Check {
    /// Returns whether the result holds for an endpoint whose connection ended at a time.
    fn holds_since(&self, ended: Instant) -> bool {
        // An endpoint that accepted a connection may have crashed since.
        self.began >= ended || (self.refused && self.began.elapsed() < REFUSAL_TTL)
    }
}

/// Maximum number of unread bytes of an answer that a connection buffers; the endpoint keeps
/// what the caller has not read. A thousand connections hold a third of the memory of the
/// smallest instance.
const MAX_READ_BUFFER: usize = 32 << 10;

/// The pool of connections to an endpoint.
#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    idle: Mutex<Vec<Idle>>,
    // The last check whether connections are refused.
    last_check: AsyncMutex<Option<Check>>,
}

impl Pool {
    /// Creates a pool without connections.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self { address, idle: Mutex::default(), last_check: AsyncMutex::default() }
    }

    /// Returns the endpoint's address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Idle>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the most recently used idle connection, or a new one if none is idle.
    ///
    /// # Errors
    ///
    /// If the endpoint cannot be reached; nothing was sent then.
    pub async fn checkout(&self) -> Result<Checkout> {
        if let Some(connection) = self.pop_idle() {
            return Ok(Checkout { connection, reused: true });
        }
        self.connect().await
    }

    /// Returns a new connection.
    ///
    /// # Errors
    ///
    /// If the endpoint cannot be reached; nothing was sent then.
    pub async fn connect(&self) -> Result<Checkout> {
        let connected = timeout(CONNECT_TIMEOUT, connect(self.address)).await;
        let connection = connected.context("connecting timed out")??;
        Ok(Checkout { connection, reused: false })
    }

    /// Removes and returns the most recently used idle connection that can carry a request.
    fn pop_idle(&self) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.lock();
        // A connection that was idle during a suspension was idle for longer than the clock shows.
        let suspended = suspended();
        idle.retain(|entry| {
            let slept = suspended.saturating_sub(entry.suspended) > MIN_SUSPENSION;
            now < entry.until && !slept && !entry.connection.is_closed()
        });
        let ready = idle.iter().rposition(|entry| entry.connection.is_ready())?;
        Some(idle.remove(ready).connection)
    }

    /// Returns a connection to the pool after its request and answer have ended.
    ///
    /// `idle_timeout` is what the endpoint said, if it did.
    pub fn check_in(&self, connection: Connection, idle_timeout: Option<Duration>) {
        let idle_timeout = idle_timeout.map_or(IDLE_TIMEOUT, |timeout| {
            timeout.mul_f64(IDLE_TIMEOUT_FRACTION).min(IDLE_TIMEOUT)
        });
        let mut idle = self.lock();
        if idle.len() < MAX_IDLE && !connection.is_closed() {
            let (until, suspended) = (Instant::now() + idle_timeout, suspended());
            idle.push(Idle { connection, until, suspended });
        }
    }

    /// Returns whether the endpoint refuses connections after one of them ended at a time, as a
    /// crashed endpoint does; `None` if that is unknown. Callers share a result that is not older
    /// than the end of their connection; all share a refusal within [`REFUSAL_TTL`].
    pub async fn refuses_connections(&self, ended: Instant) -> Option<bool> {
        let mut last_check = self.last_check.lock().await;
        if let Some(check) = last_check.filter(|check| check.holds_since(ended)) {
            return Some(check.refused);
        }
        let began = Instant::now();
        let refused = self.check_refusal().await?;
        *last_check = Some(Check { began, refused });
        Some(refused)
    }

    /// Connects, and connects again if the connection is reset or ends at once: the listener of an
    /// endpoint that is ending may still accept connections.
    async fn check_refusal(&self) -> Option<bool> {
        for _ in 0..MAX_CHECK_CONNECTS {
            let connection = match timeout(CONNECT_TIMEOUT, connect(self.address)).await {
                Ok(Ok(connection)) => Some(connection),
                Ok(Err(error)) if is_refusal(&error) => return Some(true),
                Ok(Err(_)) => None,
                Err(_) => return None,
            };
            sleep(MIN_CONNECTION_AGE).await;
            if let Some(connection) = connection.filter(|it| !it.is_closed()) {
                self.check_in(connection, None);
                return Some(false);
            }
        }
        None
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        self.lock().clear();
    }
}

/// Returns whether connecting failed because the endpoint refused the connection.
fn is_refusal(error: &anyhow::Error) -> bool {
    let error = error.downcast_ref::<io::Error>();
    error.is_some_and(|error| error.kind() == io::ErrorKind::ConnectionRefused)
}

/// Opens a connection and spawns the task that drives it.
async fn connect(address: SocketAddr) -> Result<Connection> {
    let socket = Socket::open(address, TCP_USER_TIMEOUT).await?;
    let (sender, connection) =
        http1::Builder::new().max_buf_size(MAX_READ_BUFFER).handshake(TokioIo::new(socket)).await?;
    tokio::spawn(async move {
        // The request that uses the connection gets an error of its own.
        if let Err(error) = connection.await {
            tracing::debug!(%address, %error, "connection to an endpoint ended");
        }
    });
    Ok(sender)
}
