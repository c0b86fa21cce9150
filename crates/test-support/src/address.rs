//! Addresses on loopback that nothing else uses.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};

use socket2::{Domain, Socket, Type};

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
    let address = place(std::process::id(), number);
    // Bound and not listened to: a program that starts meanwhile holds a copy of
    // the socket until it runs, and a copy that listens would keep the address.
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    Ok(address)
}

/// A port that this process may use on each IP number that it was given.
#[must_use]
pub fn shared_port() -> u16 {
    FIRST_SHARED + block(std::process::id())
}

/// The first port that is given: below those that the system gives away by
/// itself. One of these may be taken on all IP numbers between the look here and
/// its use.
const FIRST_PORT: u16 = 20_000;

/// The first port that processes use on each of their IP numbers.
const FIRST_SHARED: u16 = 19_000;

/// How many processes have a second byte of their own in their IP numbers. Those
/// with the same one have blocks of ports of their own.
const BYTES: u32 = 200;

/// The first such byte.
const FIRST_BYTE: u8 = 16;

/// How many blocks of ports there are.
const BLOCKS: u32 = 50;

/// How many ports a block has.
const BLOCK: u16 = 200;

/// The block of ports of a process.
fn block(process: u32) -> u16 {
    (process / BYTES % BLOCKS) as u16
}

/// The address that a process is given for a number. Processes whose ids are less
/// than 10,000 apart never get the same: several test runs use a machine at once.
#[must_use]
pub fn place(process: u32, number: u32) -> SocketAddr {
    let byte = (process % BYTES) as u8 + FIRST_BYTE;
    let [_, _, high, low] = number.to_be_bytes();
    let ip = IpAddr::V4(Ipv4Addr::new(127, byte, high, low));
    let port = FIRST_PORT + block(process) * BLOCK + (number % u32::from(BLOCK)) as u16;
    SocketAddr::new(ip, port)
}
