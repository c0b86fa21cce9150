//! Parsing and writing of request and answer heads, independent of their names on the wire.

use std::time::Duration;

use cinderspoke_core::gateway::call::Call;
use cinderspoke_core::gateway::limit::Named;
use cinderspoke_core::gateway::name::{Endpoint, Request, Team};
use cinderspoke_core::gateway::rollout::Version;
use displaydoc::Display;
use http::{HeaderMap, request, response};

/// Why a request cannot be parsed.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Invalid {
    /// the request has no id
    NoId,
    /// the header {0} cannot be read
    Header(&'static str),
}

impl std::error::Error for Invalid {}

/// One attempt to run a request at an endpoint.
#[derive(Debug, Clone)]
pub struct Attempt<'a> {
    /// The only endpoint that may run the request.
    pub endpoint: &'a Endpoint,
    /// The only version of weights that may answer the request; any version if `None`.
    pub version: Option<Version>,
    /// The time until the caller's deadline.
    pub time_left: Duration,
    /// The caller's team.
    pub team: Option<&'a Team>,
    /// The request's priority; 0 is the most urgent.
    pub priority: u8,
    /// The id of the last event of the answer that the caller has received.
    pub last_event: Option<u64>,
}

/// The parsed head of an endpoint's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerHead {
    /// The id of the request that the answer belongs to.
    pub request: Option<Request>,
    /// Whether the endpoint states that the request has not run.
    pub not_run: bool,
    /// Whether the answer carries the endpoint's signature.
    pub signed: bool,
    /// The version of the weights that produced the answer.
    pub version: Option<Version>,
    /// Whether the endpoint states that it is draining.
    pub is_draining: bool,
    /// For how long the endpoint accepts no more requests from the sender of this one.
    pub backoff: Option<Duration>,
    /// How long the endpoint's warm-up still takes, if the endpoint states it.
    pub cold: Option<Duration>,
    /// How many requests a second the endpoint accepts from all gateways together.
    pub limit: Named,
}

/// The names and formats of requests and answers on the wire.
pub trait Dialect: Send + Sync {
    /// Returns the request's id if it is readable, even when [`parse`](Self::parse) fails.
    fn request_id(&self, head: &request::Parts) -> Option<Request>;

    /// Parses what a gateway needs to know of a request.
    ///
    /// # Errors
    ///
    /// [`Invalid`] if the request has no id or a header cannot be parsed.
    fn parse(&self, head: &request::Parts) -> Result<Call, Invalid>;

    /// Rewrites the headers of a caller's request to those that an endpoint receives.
    fn write_request(&self, headers: &mut HeaderMap, attempt: &Attempt<'_>);

    /// Parses the head of an endpoint's answer. Fields that cannot be read count as absent.
    fn parse_answer(&self, head: &response::Parts) -> AnswerHead;

    /// Adds to a refusal the delay after which the caller may retry.
    fn retry_after(&self, headers: &mut HeaderMap, after: Duration);

    /// Adds the request's id to an answer that the gateway produced itself.
    fn write_request_id(&self, headers: &mut HeaderMap, request: &Request);
}
