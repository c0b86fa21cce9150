//! A body that is passed on.

use std::pin::Pin;
use std::task::{Context, Poll};

use axum::body::Body;
use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, SizeHint};

/// A body that keeps something until it is dropped, and has the length of the body inside it, so
/// that it is framed as that one is.
pub struct Guarded<G> {
    body: Body,
    _guard: G,
}

impl<G> Guarded<G> {
    /// Has a body keep `guard`.
    #[must_use]
    pub fn new(body: Body, guard: G) -> Self {
        Self { body, _guard: guard }
    }
}

impl<G: Unpin> HttpBody for Guarded<G> {
    type Data = Bytes;
    type Error = axum::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, axum::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
