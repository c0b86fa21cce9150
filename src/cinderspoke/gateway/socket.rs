//! A connection that is reset when it is closed.
//!
//! A request that was given up may still be on its way, behind a full link or a
//! cut. Closed in order, the connection would bring it to the endpoint later; a
//! reset has what is held up thrown away.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A connection that is reset when it is dropped.
// Invariant: the stream lingers for no time, so that dropping it resets.
#[derive(Debug)]
pub struct Socket(TcpStream);

impl Socket {
    /// Connects to an endpoint, and gives up without acknowledgement after a time.
    ///
    /// # Errors
    ///
    /// When the endpoint cannot be reached.
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

    /// Does nothing: an orderly end would have the rest of a request delivered.
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
