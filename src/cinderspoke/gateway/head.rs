//! Timeout for receiving the head of a request on a caller's connection.
//!
//! hyper has one timeout for receiving a head and for an idle connection, counted from the end
//! of the last response, and the idle timeout is long. Without a timeout of their own, slow heads
//! would hold connections, and file descriptors of the instance, for that long. A head that
//! begins while a response is still being written has the longer timeout.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use hyper::body::{Body, Frame, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep_until};

/// Whether a connection has a request in progress whose head has been received.
#[derive(Debug, Clone, Default)]
pub struct Progress(Arc<AtomicBool>);

impl Progress {
    /// Records that a whole head has been received.
    pub fn start(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    /// Returns whether a request is in progress.
    fn is_active(&self) -> bool {
        self.0.load(Ordering::Relaxed)
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
        self.progress.0.store(false, Ordering::Relaxed);
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

/// A caller's connection; reading fails if a head is not received within the timeout.
#[derive(Debug)]
pub struct Stream {
    stream: TcpStream,
    progress: Progress,
    limit: Duration,
    // When the first byte of a head was received that is not complete yet.
    began: Option<Instant>,
    // Wakes the connection at the timeout; present only while a read is pending.
    timer: Option<Pin<Box<Sleep>>>,
}

impl Stream {
    /// Wraps a connection; `limit` is the timeout of each head.
    #[must_use]
    pub fn new(stream: TcpStream, progress: Progress, limit: Duration) -> Self {
        Self { stream, progress, limit, began: None, timer: None }
    }

    /// Returns an error once the timeout of the head being received has passed.
    fn wait(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Some(began) = self.began else { return Poll::Pending };
        let end = began + self.limit;
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep_until(end)));
        ready!(timer.as_mut().poll(context));
        Poll::Ready(Err(io::Error::new(
            io::ErrorKind::TimedOut,
            "request head not received in time",
        )))
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.progress.is_active() {
            (self.began, self.timer) = (None, None);
            return Pin::new(&mut self.stream).poll_read(context, buffer);
        }
        let filled = buffer.filled().len();
        // Bytes that have arrived are read even after the timeout: the process may have been
        // paused meanwhile.
        let Poll::Ready(read) = Pin::new(&mut self.stream).poll_read(context, buffer) else {
            return self.wait(context);
        };
        if buffer.filled().len() > filled {
            self.began.get_or_insert_with(Instant::now);
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
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
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
