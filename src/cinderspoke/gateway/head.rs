//! Timeouts of a caller's connection while no request is in progress: for receiving a head, and
//! for the rest between requests.
//!
//! hyper has one timeout for both, which is fixed when a connection is accepted. Here slow heads
//! have a shorter one, so that they do not hold connections, and file descriptors of the instance,
//! for as long as idle connections may. Both are those of the configuration in force: callers
//! reuse idle connections by the newest one. A head that begins while a response is still being
//! written has the longer timeout.

use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use cinderspoke_core::gateway::name::Request as Id;
use hyper::body::{Body, Frame, SizeHint};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep_until};

use super::context::Context as Gateway;

/// The progress of a connection's requests.
#[derive(Debug, Clone, Default)]
pub struct Progress(Arc<Flags>);

#[derive(Debug, Default)]
struct Flags {
    // Whether there is a request in progress whose head has been received.
    active: AtomicBool,
    // Whether a head has been received in part.
    head: AtomicBool,
    // Whether a response is still being sent.
    writing: AtomicBool,
    // Whether the connection ends as soon as it is idle.
    closing: AtomicBool,
    // Whether the caller has closed or reset the connection.
    left: AtomicBool,
    // Whether a head was not received in time.
    late: AtomicBool,
    // Whether a response broke off.
    broken: AtomicBool,
    // The id of the last request; none if it has no readable one.
    id: Mutex<Option<Id>>,
}

/// What is unfinished on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unfinished {
    /// A head was received in part.
    Head,
    /// A request is in progress.
    Request,
    /// A response has not been sent whole.
    Response,
}

impl Unfinished {
    /// Returns the word for the log.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Head => "head",
            Self::Request => "request",
            Self::Response => "response",
        }
    }
}

impl Progress {
    /// Records that a whole head has been received, with the request's id.
    pub fn start(&self, id: Option<Id>) {
        self.0.head.store(false, Ordering::Relaxed);
        self.0.active.store(true, Ordering::Relaxed);
        *self.0.id.lock().unwrap_or_else(PoisonError::into_inner) = id;
    }

    /// Returns what is unfinished; none if the connection is idle.
    #[must_use]
    pub fn unfinished(&self) -> Option<Unfinished> {
        let is = |flag: &AtomicBool| flag.load(Ordering::Relaxed);
        match &*self.0 {
            flags if is(&flags.active) => Some(Unfinished::Request),
            flags if is(&flags.writing) => Some(Unfinished::Response),
            flags if is(&flags.head) => Some(Unfinished::Head),
            _ => None,
        }
    }

    /// Returns the id of the last request, if it is readable.
    #[must_use]
    pub fn last_id(&self) -> Option<String> {
        let id = self.0.id.lock().unwrap_or_else(PoisonError::into_inner);
        id.as_ref().map(|id| id.as_str().to_owned())
    }

    /// Returns whether the caller has closed or reset the connection.
    #[must_use]
    pub fn has_left(&self) -> bool {
        self.0.left.load(Ordering::Relaxed)
    }

    /// Returns whether a head was not received in time.
    #[must_use]
    pub fn is_late(&self) -> bool {
        self.0.late.load(Ordering::Relaxed)
    }

    /// Returns whether a response broke off.
    #[must_use]
    pub fn has_broken_off(&self) -> bool {
        self.0.broken.load(Ordering::Relaxed)
    }

    /// Makes the connection end as soon as it is idle and nothing has arrived. The connection has
    /// to be polled then.
    pub fn close(&self) {
        self.0.closing.store(true, Ordering::Relaxed);
    }

    /// Returns whether a request is in progress.
    fn is_active(&self) -> bool {
        self.0.active.load(Ordering::Relaxed)
    }

    /// Returns whether the connection ends as soon as it is idle.
    fn is_closing(&self) -> bool {
        self.0.closing.load(Ordering::Relaxed)
    }
}

/// The body of a response; dropping it ends the connection's request in progress.
pub struct AnswerBody<B> {
    body: B,
    progress: Progress,
}

impl<B> AnswerBody<B> {
    /// Wraps the body of the response to the connection's request in progress.
    pub fn new(body: B, progress: Progress) -> Self {
        Self { body, progress }
    }
}

impl<B> Drop for AnswerBody<B> {
    fn drop(&mut self) {
        self.progress.0.active.store(false, Ordering::Relaxed);
    }
}

impl<B: Body + Unpin> Body for AnswerBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        if let Poll::Ready(Some(Err(_))) = polled {
            self.progress.0.broken.store(true, Ordering::Relaxed);
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Added to the idle timeout of callers, so that the caller closes an idle connection first.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// What a connection without a request in progress waits for, and since when.
#[derive(Debug, Clone, Copy)]
enum Phase {
    /// For a request, since the last byte was sent or since the connection was accepted.
    Rest(Instant),
    /// For the rest of a head, since its first byte was received.
    Head(Instant),
}

/// A caller's connection. Reading fails if a head is not received within its timeout, and ends
/// once the connection has been idle for too long.
pub struct Stream {
    stream: TcpStream,
    progress: Progress,
    gateway: Arc<Gateway>,
    // None while a request is in progress.
    phase: Option<Phase>,
    // Wakes the connection at the timeout; present only while a read is pending.
    timer: Option<Pin<Box<Sleep>>>,
}

impl Stream {
    /// Wraps a connection that has just been accepted.
    #[must_use]
    pub fn new(stream: TcpStream, progress: Progress, gateway: Arc<Gateway>) -> Self {
        let phase = Some(Phase::Rest(Instant::now()));
        Self { stream, progress, gateway, phase, timer: None }
    }

    /// Begins a phase.
    fn enter(&mut self, phase: Option<Phase>) {
        (self.phase, self.timer) = (phase, None);
        let is_head = matches!(phase, Some(Phase::Head(_)));
        self.progress.0.head.store(is_head, Ordering::Relaxed);
    }

    /// Returns when the phase ends, by the limits in force.
    fn end(&self, phase: Phase) -> Instant {
        let limits = self.gateway.limits();
        match phase {
            Phase::Rest(since) => since + limits.idle + IDLE_MARGIN,
            Phase::Head(since) => since + limits.header,
        }
    }

    /// Waits until the phase has taken too long: an error for a head, the end of the data for an
    /// idle connection.
    fn wait(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let phase = *self.phase.get_or_insert_with(|| Phase::Rest(Instant::now()));
        if self.progress.0.writing.load(Ordering::Relaxed) {
            return Poll::Pending;
        }
        if self.progress.is_closing() && matches!(phase, Phase::Rest(_)) && !self.has_arrived() {
            return Poll::Ready(Ok(()));
        }
        let mut end = self.end(phase);
        loop {
            let timer = self.timer.get_or_insert_with(|| Box::pin(sleep_until(end)));
            ready!(timer.as_mut().poll(context));
            // A newer configuration may allow more.
            end = self.end(phase);
            if end <= Instant::now() {
                break;
            }
            self.timer = None;
        }
        if self.has_arrived() {
            return Poll::Pending;
        }
        Poll::Ready(match phase {
            Phase::Rest(_) => Ok(()),
            Phase::Head(_) => {
                self.progress.0.late.store(true, Ordering::Relaxed);
                Err(io::Error::new(io::ErrorKind::TimedOut, "request head not received in time"))
            }
        })
    }

    /// Returns whether bytes have arrived for which the connection is yet to be woken: the runtime
    /// learns of them only when it looks for events.
    fn has_arrived(&self) -> bool {
        SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]).is_ok_and(|bytes| bytes > 0)
    }

    /// Reads what has arrived, and records if the caller has left.
    fn read(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        let has_left = match &read {
            Poll::Pending => false,
            Poll::Ready(Ok(())) => buffer.filled().len() == filled && buffer.remaining() > 0,
            Poll::Ready(Err(_)) => true,
        };
        if has_left {
            self.progress.0.left.store(true, Ordering::Relaxed);
        }
        read
    }

    /// Records the result of a write.
    fn wrote(&mut self, written: &Poll<io::Result<usize>>) {
        self.progress.0.writing.store(written.is_pending(), Ordering::Relaxed);
        if let Poll::Ready(Err(_)) = written {
            self.progress.0.left.store(true, Ordering::Relaxed);
        }
        if let (Poll::Ready(Ok(1..)), Some(Phase::Rest(_))) = (written, self.phase) {
            self.enter(Some(Phase::Rest(Instant::now())));
        }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.progress.is_active() {
            self.enter(None);
            return self.read(context, buffer);
        }
        let filled = buffer.filled().len();
        // Bytes that have arrived are read even after the timeout: the process may have been
        // paused meanwhile.
        let Poll::Ready(read) = self.read(context, buffer) else {
            return self.wait(context);
        };
        if buffer.filled().len() > filled && matches!(self.phase, None | Some(Phase::Rest(_))) {
            self.enter(Some(Phase::Head(Instant::now())));
        }
        Poll::Ready(read)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.wrote(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        self.wrote(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
