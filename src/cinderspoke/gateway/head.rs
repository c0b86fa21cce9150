//! How long the head of a request may take to come on a caller's connection.
//!
//! The library bounds heads and rest by one time, counted from the end of the last
//! answer, and connections may rest for long. Without a bound of their own, slow heads
//! would hold connections, and the descriptors of an instance with them, for as long.
//! A head that begins while an answer is still on its way is left to the longer time.

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

/// Whether a connection has a request in progress whose head has come.
#[derive(Debug, Clone, Default)]
pub struct Progress(Arc<AtomicBool>);

impl Progress {
    /// Takes in that a head has come whole.
    pub fn start(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    /// Whether a request is in progress.
    fn is_active(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// An answer; when it is dropped, the connection's request is no longer in progress.
pub struct AnswerBody<B> {
    body: B,
    progress: Progress,
}

impl<B> AnswerBody<B> {
    /// The body of the answer to a connection's request.
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

/// A caller's connection, which fails where a head is not whole in time.
#[derive(Debug)]
pub struct Stream {
    stream: TcpStream,
    progress: Progress,
    limit: Duration,
    // When the first byte of a head came that is not whole yet.
    began: Option<Instant>,
    // Wakes the connection when the time is up; only there while more is waited for.
    timer: Option<Pin<Box<Sleep>>>,
}

impl Stream {
    /// A connection whose heads may take so long.
    #[must_use]
    pub fn new(stream: TcpStream, progress: Progress, limit: Duration) -> Self {
        Self { stream, progress, limit, began: None, timer: None }
    }

    /// Fails once the head that has begun is late.
    fn wait(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Some(began) = self.began else { return Poll::Pending };
        let end = began + self.limit;
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep_until(end)));
        ready!(timer.as_mut().poll(context));
        Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, "a head did not come in time")))
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
        // What is there is read also when it is late: the process may have stood still.
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
