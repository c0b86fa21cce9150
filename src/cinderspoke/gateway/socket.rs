//! A TCP connection that is reset when it is closed.
//!
//! The data of an abandoned request may still be in the send buffer, because the link is
//! saturated or interrupted. An orderly close would deliver it to the endpoint later; a reset
//! discards it.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A TCP connection that is reset when it is dropped.
// Invariant: the linger time of the stream is zero, so that dropping it resets it.
#[derive(Debug)]
pub struct Socket(TcpStream);

impl Socket {
    /// Connects to an endpoint. The connection fails when data that was sent stays unacknowledged
    /// for the given time.
    ///
    /// # Errors
    ///
    /// When the endpoint cannot be reached or a socket option cannot be set.
    pub async fn open(address: SocketAddr, unacknowledged: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let socket = SockRef::from(&stream);
        socket.set_tcp_user_timeout(Some(unacknowledged))?;
        socket.set_linger(Some(Duration::ZERO))?;
        Ok(Self(stream))
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_read(context, buffer)
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(context)
    }

    /// Does nothing: an orderly shutdown would deliver the rest of a request.
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.is_write_vectored()
    }
}
