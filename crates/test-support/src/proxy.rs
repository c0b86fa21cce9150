//! A link between two processes on loopback, which can be harmed.
//!
//! Bytes that a harmed link loses are dropped before the system acknowledges them:
//! a sender finds its bytes unacknowledged, as where packets are lost, and keep-alive
//! probes go unanswered. A link that only stopped reading would acknowledge both.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use socket2::{SockFilter, SockRef};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// How long until an address that is in use is tried again.
const BIND_AGAIN: Duration = Duration::from_millis(20);

/// A direction of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// From whoever connects.
    Out,
    /// To whoever connects.
    Back,
}

/// What a link does to its connections, which are numbered as they come.
#[derive(Debug, Clone, Copy, Default)]
struct Link {
    delay: Duration,
    lost: Option<Way>,
    // Connections with lower numbers are silent for good.
    silent_before: u64,
    // Those with lower numbers are reset, but for silent ones.
    reset_before: u64,
    // Those with lower numbers end, but for silent ones.
    end_before: u64,
    // No new connection comes about.
    closed: bool,
}

/// A link; dropping it resets its connections.
#[derive(Debug)]
pub struct Proxy {
    /// Where to connect.
    pub address: SocketAddr,
    link: watch::Sender<Link>,
    next: Arc<AtomicU64>,
    _tasks: JoinSet<()>,
}

impl Proxy {
    /// Listens to an address and leads connections to another.
    ///
    /// # Errors
    ///
    /// When it cannot listen.
    pub async fn spawn(address: SocketAddr, to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let link = watch::Sender::new(Link::default());
        let next = Arc::new(AtomicU64::new(0));
        let mut tasks = JoinSet::new();
        tasks.spawn(accept(listener, to, link.subscribe(), Arc::clone(&next)));
        Ok(Self { address, link, next, _tasks: tasks })
    }

    /// Makes the connections that are open silent for good, without a reset; new
    /// ones work.
    pub fn silence(&self) {
        let next = self.next.load(Ordering::SeqCst);
        self.link.send_modify(|link| link.silent_before = next);
    }

    /// Resets the connections that are open.
    pub fn reset(&self) {
        let next = self.next.load(Ordering::SeqCst);
        self.link.send_modify(|link| link.reset_before = next);
    }

    /// Delays what is sent from now on, both ways.
    pub fn delay(&self, delay: Duration) {
        self.link.send_modify(|link| link.delay = delay);
    }

    /// Loses what is sent one way, on new connections too; none ends it.
    pub fn cut(&self, way: Option<Way>) {
        self.link.send_modify(|link| link.lost = way);
    }

    /// Resets all connections and refuses new ones until it is opened again.
    pub fn close(&self) {
        self.link.send_modify(|link| link.closed = true);
        self.reset();
    }

    /// Ends all connections, as a process that ends does, and refuses new ones until it is opened
    /// again.
    pub fn end(&self) {
        let next = || self.next.load(Ordering::SeqCst);
        self.link.send_modify(|link| (link.closed, link.end_before) = (true, next()));
    }

    /// Takes connections again after it was closed or ended.
    pub fn open(&self) {
        self.link.send_modify(|link| link.closed = false);
    }
}

async fn accept(
    listener: TcpListener,
    to: SocketAddr,
    mut link: watch::Receiver<Link>,
    next: Arc<AtomicU64>,
) {
    let mut connections = JoinSet::new();
    let Ok(address) = listener.local_addr() else { return };
    let mut listener = Some(listener);
    loop {
        let Some(open) = &listener else {
            if link.wait_for(|link| !link.closed).await.is_err() {
                return;
            }
            // The address may be held for a moment by who connected to it last.
            listener = TcpListener::bind(address).await.ok();
            if listener.is_none() {
                sleep(BIND_AGAIN).await;
            }
            continue;
        };
        let accepted = tokio::select! {
            Ok(_) = link.wait_for(|link| link.closed) => {
                listener = None;
                continue;
            }
            accepted = open.accept() => accepted,
        };
        if let Ok((near, _)) = accepted {
            let number = next.fetch_add(1, Ordering::SeqCst);
            // One that is accepted as the others end would outlive them.
            if link.borrow().closed {
                continue;
            }
            connections.spawn(carry(number, near, to, link.clone()));
        }
        while connections.try_join_next().is_some() {}
    }
}

/// Carries one connection until it ends.
async fn carry(number: u64, near: TcpStream, to: SocketAddr, mut link: watch::Receiver<Link>) {
    let Ok(far) = TcpStream::connect(to).await else {
        return reset(&near);
    };
    // Nothing is lost by waiting for more bytes.
    let _ = near.set_nodelay(true).and(far.set_nodelay(true));
    let (out, back) = (link.clone(), link.clone());
    let pumps = async {
        tokio::select! {
            end = pump(&near, &far, Way::Out, out) => end,
            end = pump(&far, &near, Way::Back, back) => end,
        }
    };
    tokio::pin!(pumps);
    let mut lost = None;
    loop {
        let now = *link.borrow_and_update();
        if number < now.silent_before {
            // Held for good; whoever opened it has to find out.
            lose(&near, true);
            lose(&far, true);
            return std::future::pending().await;
        }
        if number < now.reset_before {
            reset(&near);
            return reset(&far);
        }
        if number < now.end_before {
            return;
        }
        if lost != now.lost {
            lose(&near, now.lost == Some(Way::Out));
            lose(&far, now.lost == Some(Way::Back));
            lost = now.lost;
        }
        tokio::select! {
            changed = link.changed() => if changed.is_err() { return },
            end = &mut pumps => {
                if end.is_err() {
                    reset(&near);
                    reset(&far);
                }
                return;
            }
        }
    }
}

/// Passes on one way of a connection until its sender closes it.
async fn pump(
    from: &TcpStream,
    to: &TcpStream,
    way: Way,
    mut link: watch::Receiver<Link>,
) -> io::Result<()> {
    let mut buffer = vec![0; 16 << 10];
    loop {
        from.readable().await?;
        let count = match from.try_read(&mut buffer) {
            Ok(0) => return Ok(()),
            Ok(count) => count,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => continue,
            Err(error) => return Err(error),
        };
        let delay = link.borrow().delay;
        if !delay.is_zero() {
            sleep(delay).await;
        }
        // What had come before the cut, or with the connection, waits for its end.
        let open = link.wait_for(|link| link.lost != Some(way)).await;
        open.map_err(|_| io::ErrorKind::ConnectionAborted)?;
        write(to, &buffer[..count]).await?;
    }
}

async fn write(to: &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        to.writable().await?;
        match to.try_write(bytes) {
            Ok(count) => bytes = &bytes[count..],
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Has a connection reset when it is dropped.
fn reset(stream: &TcpStream) {
    // Fails only where the connection has ended already.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Loses all that comes on a connection, or no longer.
fn lose(stream: &TcpStream, all: bool) {
    /// The instruction that ends a filter with a constant: how much of a packet to keep.
    const KEEP: u16 = 0x06;
    let socket = SockRef::from(stream);
    // Both fail only where nothing is lost, or the connection has ended.
    let _ = match all {
        true => socket.attach_filter(&[SockFilter::new(KEEP, 0, 0, 0)]),
        false => socket.detach_filter(),
    };
}
