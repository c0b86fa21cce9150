//! Connections to one endpoint, each for one request at a time.

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
use tokio::time::{Instant, timeout};

use super::socket::Socket;
use crate::util::clock::{NOTICED, suspended};

/// How long connecting may take: some round trips on a link that is not harmed.
const CONNECT: Duration = Duration::from_millis(400);

/// After how long without an acknowledgement a connection is given up.
const UNACKNOWLEDGED: Duration = Duration::from_millis(2000);

/// How long a connection may rest when the endpoint does not say.
const REST: Duration = Duration::from_secs(4);

/// The part of the time that an endpoint gives after which a connection is not
/// used again: a request and the endpoint's close must not cross.
const REST_PART: f64 = 0.6;

/// For how long it counts that an endpoint refused a new connection, or took it: all
/// connections of one that ends break off within some milliseconds.
const FRESH: Duration = Duration::from_millis(200);

/// The most connections that rest.
const MOST_RESTING: usize = 32;

/// A connection that can carry a request.
pub type Connection = SendRequest<Full<Bytes>>;

/// A connection that may be used until a time.
#[derive(Debug)]
struct Resting {
    connection: Connection,
    until: Instant,
    // How long the machine had been suspended when it began to rest.
    suspended: Duration,
}

/// A connection for one request.
#[derive(Debug)]
pub struct Checkout {
    /// The connection.
    pub connection: Connection,
    /// Whether it has carried a request before: it may have gone silent since.
    pub reused: bool,
}

/// The most bytes of an answer that are held unread: what its caller does not read stays at its
/// endpoint. A thousand connections hold a third of the memory of the least instance.
const MOST_UNREAD: usize = 32 << 10;

/// The connections to an endpoint.
#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    resting: Mutex<Vec<Resting>>,
    // When it was last tried whether connections are refused, and whether they were.
    refusal: AsyncMutex<Option<(Instant, bool)>>,
}

impl Pool {
    /// A pool without connections.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self { address, resting: Mutex::default(), refusal: AsyncMutex::default() }
    }

    /// Where the endpoint answers.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Resting>> {
        self.resting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A connection that rested, the newest first, or a new one.
    ///
    /// # Errors
    ///
    /// When the endpoint cannot be reached; nothing was sent then.
    pub async fn checkout(&self) -> Result<Checkout> {
        if let Some(connection) = self.rested() {
            return Ok(Checkout { connection, reused: true });
        }
        let connected = timeout(CONNECT, connect(self.address)).await;
        let connection = connected.context("connecting took too long")??;
        Ok(Checkout { connection, reused: false })
    }

    /// The newest of the connections that can carry a request.
    fn rested(&self) -> Option<Connection> {
        let now = Instant::now();
        let mut resting = self.lock();
        // One that has rested through a suspension has done so for longer than it seems.
        let suspended = suspended();
        resting.retain(|resting| {
            let slept = suspended.saturating_sub(resting.suspended) > NOTICED;
            now < resting.until && !slept && !resting.connection.is_closed()
        });
        let ready = resting.iter().rposition(|resting| resting.connection.is_ready())?;
        Some(resting.remove(ready).connection)
    }

    /// Keeps a connection whose request and answer have both ended.
    pub fn check_in(&self, connection: Connection, rest: Option<Duration>) {
        let rest = rest.map_or(REST, |rest| rest.mul_f64(REST_PART).min(REST));
        let mut resting = self.lock();
        if resting.len() < MOST_RESTING && !connection.is_closed() {
            let (until, suspended) = (Instant::now() + rest, suspended());
            resting.push(Resting { connection, until, suspended });
        }
    }

    /// Whether the endpoint refuses connections, as one that has ended does; none where
    /// nothing came back in time. All who ask at about the same time share one try.
    pub async fn refuses_connections(&self) -> Option<bool> {
        let mut refusal = self.refusal.lock().await;
        if let Some((_, refused)) = refusal.filter(|(tried, _)| tried.elapsed() < FRESH) {
            return Some(refused);
        }
        let refused = match timeout(CONNECT, connect(self.address)).await {
            Ok(Ok(connection)) => {
                self.check_in(connection, None);
                false
            }
            Ok(Err(error)) => error
                .downcast_ref::<io::Error>()
                .is_some_and(|error| error.kind() == io::ErrorKind::ConnectionRefused),
            Err(_) => return None,
        };
        *refusal = Some((Instant::now(), refused));
        Some(refused)
    }

    /// Closes all connections that rest.
    pub fn close_idle(&self) {
        self.lock().clear();
    }
}

/// Opens a connection, and has it carried by a task of its own.
async fn connect(address: SocketAddr) -> Result<Connection> {
    let socket = Socket::open(address, UNACKNOWLEDGED).await?;
    let (sender, connection) =
        http1::Builder::new().max_buf_size(MOST_UNREAD).handshake(TokioIo::new(socket)).await?;
    tokio::spawn(async move {
        // Whoever uses the connection learns of its end by its own request.
        if let Err(error) = connection.await {
            tracing::debug!(%address, %error, "connection to an endpoint ended");
        }
    });
    Ok(sender)
}
