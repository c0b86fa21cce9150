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
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

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
    // Whether the connection ends as soon as it is idle.
    closing: AtomicBool,
}

impl Progress {
    /// Records that a whole head has been received.
    pub fn start(&self) {
        self.0.active.store(true, Ordering::Relaxed);
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
        Pin::new(&mut self.body).poll_frame(context)
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
    // Whether the last write could not be completed: a response is still being sent.
    is_writing: bool,
    // Wakes the connection at the timeout; present only while a read is pending.
    timer: Option<Pin<Box<Sleep>>>,
}

impl Stream {
    /// Wraps a connection that has just been accepted.
    #[must_use]
    pub fn new(stream: TcpStream, progress: Progress, gateway: Arc<Gateway>) -> Self {
        let phase = Some(Phase::Rest(Instant::now()));
        Self { stream, progress, gateway, phase, is_writing: false, timer: None }
    }

    /// Begins a phase.
    fn enter(&mut self, phase: Option<Phase>) {
        (self.phase, self.timer) = (phase, None);
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
        if self.is_writing {
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
                Err(io::Error::new(io::ErrorKind::TimedOut, "request head not received in time"))
            }
        })
    }

    /// Returns whether bytes have arrived for which the connection is yet to be woken: the runtime
    /// learns of them only when it looks for events.
    fn has_arrived(&self) -> bool {
        SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]).is_ok_and(|bytes| bytes > 0)
    }

    /// Records the result of a write.
    fn wrote(&mut self, written: &Poll<io::Result<usize>>) {
        self.is_writing = written.is_pending();
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
            return Pin::new(&mut self.stream).poll_read(context, buffer);
        }
        let filled = buffer.filled().len();
        // Bytes that have arrived are read even after the timeout: the process may have been
        // paused meanwhile.
        let Poll::Ready(read) = Pin::new(&mut self.stream).poll_read(context, buffer) else {
            return self.wait(context);
        };
        if buffer.filled().len() > filled && matches!(self.phase, Some(Phase::Rest(_))) {
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
