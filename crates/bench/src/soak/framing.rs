//! How endpoints frame their answers: with a length, in chunks, or with neither, so that an answer
//! ends with its connection. Some heads are [spoilt](spoil) as they are written.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};

use axum::body::Body;
use http::header::{CONNECTION, CONTENT_LENGTH, HeaderValue};
use http::{Response, Version};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};

use super::spoil;

/// Random numbers of a request's own, by the soak's seed and the request's id.
pub(crate) fn drawn(seed: u64, id: &str) -> ChaCha8Rng {
    /// The prime of the FNV hash of 64 bits.
    const PRIME: u64 = 0x0100_0000_01b3;
    let mix = |sum: u64, byte| (sum ^ u64::from(byte)).wrapping_mul(PRIME);
    ChaCha8Rng::seed_from_u64(id.bytes().fold(seed, mix))
}

/// How an answer tells where it ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Framing {
    Length,
    Chunks,
    Neither,
}

impl Framing {
    pub(crate) fn draw(random: &mut ChaCha8Rng) -> Self {
        [Self::Length, Self::Chunks, Self::Neither][random.random_range(0..3)]
    }

    /// Frames an answer with a body of so many bytes.
    pub(crate) fn frame(self, answer: Response<Body>, bytes: usize) -> Response<Body> {
        let (mut head, body) = answer.into_parts();
        // Of a stream the server knows no length of its own.
        let body = Body::from_stream(body.into_data_stream());
        match self {
            Self::Length => _ = head.headers.insert(CONTENT_LENGTH, bytes.into()),
            Self::Chunks => {}
            // The server uses no chunks in this version; the connection writes the usual one.
            Self::Neither => {
                head.version = Version::HTTP_10;
                head.headers.insert(CONNECTION, HeaderValue::from_static("close"));
            }
        }
        Response::from_parts(head, body)
    }
}

/// Listens to an address; answers on its connections name the usual version.
pub(crate) struct Listener(pub(crate) TcpListener);

impl axum::serve::Listener for Listener {
    type Io = Connection;
    type Addr = SocketAddr;

    async fn accept(&mut self) -> (Connection, SocketAddr) {
        let (stream, address) = axum::serve::Listener::accept(&mut self.0).await;
        (Connection(stream), address)
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.0.local_addr()
    }
}

/// A connection on which answers name the usual version.
pub(crate) struct Connection(TcpStream);

/// How an answer without length and chunks begins as the server writes it, and as it is sent.
const OLD: &[u8] = b"HTTP/1.0 ";
const USUAL: &[u8] = b"HTTP/1.1 ";

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_read(context, buffer)
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let stream = Pin::new(&mut self.0);
        if !bytes.starts_with(OLD) && !bytes.starts_with(USUAL) {
            return stream.poll_write(context, bytes);
        }
        let usual = [USUAL, &bytes[USUAL.len()..]].concat();
        let spoilt = spoil::spoil(&usual);
        stream.poll_write(context, &spoilt.unwrap_or(usual))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(context)
    }
}
