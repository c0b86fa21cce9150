//! Requests and answers, whatever names they have on the wire.

use std::time::Duration;

use cinderspoke_core::gateway::call::Call;
use cinderspoke_core::gateway::name::{Endpoint, Request, Team};
use cinderspoke_core::gateway::rollout::Version;
use displaydoc::Display;
use http::{HeaderMap, request, response};

/// Why a request cannot be understood.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Invalid {
    /// the request has no id
    NoId,
    /// the header {0} cannot be read
    Header(&'static str),
}

impl std::error::Error for Invalid {}

/// One send of a call to an endpoint.
#[derive(Debug, Clone)]
pub struct Attempt<'a> {
    /// The only endpoint that may run it.
    pub endpoint: &'a Endpoint,
    /// The only version of weights that may answer it.
    pub version: Option<Version>,
    /// What is left of the caller's time.
    pub time_left: Duration,
    /// The caller's team.
    pub team: Option<&'a Team>,
    /// How urgent it is; 0 is the most urgent.
    pub priority: u8,
    /// The last event that the caller has.
    pub last_event: Option<u64>,
}

/// What the head of an endpoint's answer says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerHead {
    /// The request that it belongs to.
    pub request: Option<Request>,
    /// Whether the endpoint says that the request has not run.
    pub not_run: bool,
    /// Whether the endpoint stands by the answer as its own.
    pub signed: bool,
    /// The version of the weights.
    pub version: Option<Version>,
    /// Whether the endpoint says that it is about to leave.
    pub is_draining: bool,
    /// For how long the endpoint wants no more requests from whoever sent this one.
    pub backoff: Option<Duration>,
    /// How much longer the endpoint is cold, where it says that.
    pub cold: Option<Duration>,
}

/// How requests and answers are spelled on the wire.
pub trait Dialect: Send + Sync {
    /// The id of a request, where it can be read; also of one that cannot be understood.
    fn request_id(&self, head: &request::Parts) -> Option<Request>;

    /// Reads what a gateway has to know of a request.
    ///
    /// # Errors
    ///
    /// When the request cannot be understood.
    fn parse(&self, head: &request::Parts) -> Result<Call, Invalid>;

    /// Turns the headers of a caller's request into those for an endpoint.
    fn write_request(&self, headers: &mut HeaderMap, attempt: &Attempt<'_>);

    /// Reads the head of an endpoint's answer.
    fn parse_answer(&self, head: &response::Parts) -> AnswerHead;

    /// Adds to a refusal when the caller is to come back.
    fn retry_after(&self, headers: &mut HeaderMap, after: Duration);

    /// Names the request in an answer of our own.
    fn write_request_id(&self, headers: &mut HeaderMap, request: &Request);
}
