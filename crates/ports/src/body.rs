//! Reads bodies to their end.

use std::error::Error;

use bytes::{Buf, Bytes};
use http_body_util::{BodyExt, Limited};
use hyper::body::Body;

/// Reads a body of at most `limit` bytes whole.
///
/// Its pieces are copied: each keeps the memory of the read that it came with, which may be many
/// times its size.
///
/// # Errors
///
/// [`http_body_util::LengthLimitError`] if the body is longer, or the body's own error.
pub async fn collect<B>(body: B, limit: usize) -> Result<Bytes, Box<dyn Error + Send + Sync>>
where
    B: Body,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let mut body = std::pin::pin!(Limited::new(body, limit));
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        if let Ok(mut data) = frame?.into_data() {
            while data.has_remaining() {
                let piece = data.chunk();
                bytes.extend_from_slice(piece);
                let length = piece.len();
                data.advance(length);
            }
        }
    }
    Ok(bytes.into())
}

/// Reads a body of at most `limit` bytes to its end and drops what it has; returns whether it was
/// received whole.
pub async fn discard<B>(body: B, limit: usize) -> bool
where
    B: Body,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let mut body = std::pin::pin!(Limited::new(body, limit));
    loop {
        match body.frame().await {
            None => return true,
            Some(Ok(_)) => {}
            Some(Err(_)) => return false,
        }
    }
}
