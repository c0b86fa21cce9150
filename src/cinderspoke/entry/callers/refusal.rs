//! Refusals, as callers are told of them.

use std::time::Duration;

use axum::Json;
use axum::response::{IntoResponse, Response};
use cinderspoke_core::outcome::Outcome;
use cinderspoke_schema::control::Problem;
use http::{HeaderValue, StatusCode};

use super::OUTCOME;

/// A refusal, as the caller is told of it.
#[derive(Debug)]
pub(super) struct Refusal {
    pub(super) outcome: Outcome,
    pub(super) status: StatusCode,
    pub(super) kind: &'static str,
    pub(super) reason: String,
    pub(super) retry_after: Option<Duration>,
}

impl Refusal {
    pub(super) fn invalid(
        status: StatusCode,
        kind: &'static str,
        reason: impl Into<String>,
    ) -> Self {
        Self { outcome: Outcome::Bad, status, kind, reason: reason.into(), retry_after: None }
    }

    pub(super) fn not_run(
        status: StatusCode,
        kind: &'static str,
        reason: impl Into<String>,
        after: Duration,
    ) -> Self {
        let reason = reason.into();
        Self { outcome: Outcome::NotRun, status, kind, reason, retry_after: Some(after) }
    }

    pub(super) fn unknown(reason: impl Into<String>) -> Self {
        let (outcome, status) = (Outcome::Unknown, StatusCode::BAD_GATEWAY);
        Self { outcome, status, kind: "unknown", reason: reason.into(), retry_after: None }
    }
}

impl IntoResponse for Refusal {
    fn into_response(self) -> Response {
        let problem = Problem {
            type_: self.kind.into(),
            title: self.reason,
            status: u32::from(self.status.as_u16()),
            detail: None,
            findings: Vec::new(),
        };
        let mut response = (self.status, Json(problem)).into_response();
        let headers = response.headers_mut();
        headers.insert(OUTCOME, HeaderValue::from_static(self.outcome.as_str()));
        if let Some(after) = self.retry_after {
            let seconds = after.as_secs_f64().ceil().max(1.0);
            headers.insert(http::header::RETRY_AFTER, HeaderValue::from(seconds as u64));
        }
        response
    }
}
