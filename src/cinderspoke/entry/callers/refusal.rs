//! Refusals of requests and the responses in which callers receive them.

use std::time::Duration;

use axum::Json;
use axum::response::{IntoResponse, Response};
use cinderspoke_core::outcome::Outcome;
use cinderspoke_schema::control::Problem;
use http::{HeaderValue, StatusCode};

use super::OUTCOME;

/// The refusal of a request, which becomes a [`Problem`] in the response.
#[derive(Debug)]
pub(super) struct Refusal {
    pub(super) outcome: Outcome,
    pub(super) status: StatusCode,
    pub(super) kind: &'static str,
    pub(super) reason: String,
    pub(super) retry_after: Option<Duration>,
}

impl Refusal {
    /// Refuses a request that is not valid and must not be sent again unchanged.
    pub(super) fn invalid(
        status: StatusCode,
        kind: &'static str,
        reason: impl Into<String>,
    ) -> Self {
        Self { outcome: Outcome::Bad, status, kind, reason: reason.into(), retry_after: None }
    }

    /// Refuses a request that has not run and may be sent again after a delay.
    pub(super) fn not_run(
        status: StatusCode,
        kind: &'static str,
        reason: impl Into<String>,
        after: Duration,
    ) -> Self {
        let reason = reason.into();
        Self { outcome: Outcome::NotRun, status, kind, reason, retry_after: Some(after) }
    }

    /// Reports that the request may or may not have run.
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
