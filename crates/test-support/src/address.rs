//! Addresses on loopback that nothing else uses.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

static NEXT: AtomicU32 = AtomicU32::new(1);

/// An address with a free port.
///
/// Each has an IP number of its own, so that the port stays free for whoever
/// got it, also while a machine is down.
///
/// # Errors
///
/// When the system has no free port.
pub fn free() -> std::io::Result<SocketAddr> {
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let port = FIRST_PORT + u16::try_from(number % PORTS).unwrap_or_default();
    TcpListener::bind((ip(number), port))?.local_addr()
}

/// The first port that is given, and how many there are: below those that the
/// system gives away by itself. One of these may be taken on all IP numbers
/// between the look here and its use.
const FIRST_PORT: u16 = 20_000;
const PORTS: u32 = 10_000;

/// An IP number on loopback that this process has not used yet.
fn ip(number: u32) -> IpAddr {
    // One byte tells test processes apart that run at the same time.
    let process = (std::process::id() % 200 + 16) as u8;
    let [_, _, high, low] = number.to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, process, high, low))
}
