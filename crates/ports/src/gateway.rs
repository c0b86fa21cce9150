//! What a gateway and the agents beside its endpoints need of the platform.
//!
//! One adapter stands behind all of these traits; what it knows of wire names
//! stays there.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use cinderspoke_core::gateway::call::Call;
use cinderspoke_core::gateway::catalog::Declared;
use cinderspoke_core::gateway::directory::{Change, Directory};
use cinderspoke_core::gateway::fact::{Fact, Revision};
use cinderspoke_core::gateway::load::Report;
use cinderspoke_core::gateway::name::{Endpoint, Model, Request, Team};
use cinderspoke_core::gateway::rollout::{Rollout, Version};
use displaydoc::Display;
use http::{HeaderMap, request, response};

use crate::Error;

/// What a watch has seen.
#[derive(Debug)]
pub enum Seen<T> {
    /// Everything up to a revision.
    News(Fact<T>),
    /// The store has forgotten what lies between: read it all again.
    Forgotten,
}

/// The platform's store: the configuration, versions, endpoints and our own gateways.
#[async_trait]
pub trait Registry: Send + Sync {
    /// The configuration; none while there is none yet.
    async fn configuration(&self) -> Result<Fact<Option<Declared>>, Error>;

    /// The newest configuration after a revision, if there is one within the time.
    async fn watch_configuration(
        &self,
        after: Revision,
        wait: Duration,
    ) -> Result<Seen<Option<Declared>>, Error>;

    /// The versions that models are to have.
    async fn rollout(&self) -> Result<Fact<Rollout>, Error>;

    /// Versions named after a revision, as soon as there are some within the time.
    async fn watch_rollout(&self, after: Revision, wait: Duration) -> Result<Seen<Rollout>, Error>;

    /// The endpoints.
    async fn endpoints(&self) -> Result<Fact<Directory>, Error>;

    /// Changes of endpoints after a revision, as soon as there are some within the time.
    async fn watch_endpoints(
        &self,
        after: Revision,
        wait: Duration,
    ) -> Result<Seen<Vec<Change>>, Error>;

    /// Our own gateways that have said that they are there.
    async fn gateways(&self) -> Result<Vec<SocketAddr>, Error>;

    /// Says that a gateway is there.
    async fn announce(&self, name: &str, address: SocketAddr) -> Result<(), Error>;
}

/// Why a request cannot be understood.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Misfit {
    /// the request has no id
    NoId,
    /// the header {0} cannot be read
    Header(&'static str),
}

impl std::error::Error for Misfit {}

/// One send of a call to an endpoint.
#[derive(Debug, Clone)]
pub struct Sending<'a> {
    /// The only endpoint that may run it.
    pub endpoint: &'a Endpoint,
    /// The only version of weights that may answer it.
    pub version: Option<Version>,
    /// What is left of the caller's time.
    pub left: Duration,
    /// The caller's team.
    pub team: Option<&'a Team>,
    /// How urgent it is; 0 is the most urgent.
    pub priority: u8,
    /// The last event that the caller has.
    pub after: Option<u64>,
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
}

/// How requests and answers are spelled on the wire.
pub trait Dialect: Send + Sync {
    /// Reads what a gateway has to know of a request.
    ///
    /// # Errors
    ///
    /// When the request cannot be understood.
    fn read(&self, head: &request::Parts) -> Result<Call, Misfit>;

    /// Turns the headers of a caller's request into those for an endpoint.
    fn address(&self, headers: &mut HeaderMap, send: &Sending<'_>);

    /// Reads the head of an endpoint's answer.
    fn answer(&self, head: &response::Parts) -> AnswerHead;

    /// Adds to a refusal when the caller is to come back.
    fn come_back(&self, headers: &mut HeaderMap, after: Duration);

    /// Names the request in an answer of our own.
    fn belongs_to(&self, headers: &mut HeaderMap, request: &Request);
}

/// What a model engine has staged and runs.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EngineReport {
    /// What it is busy with.
    pub load: Report,
    /// The models that it holds whole.
    pub models: Vec<(Model, Version)>,
    /// Whether an order is under way.
    pub busy: bool,
    /// How many orders it has begun since its start.
    pub orders: u64,
}

/// How an engine goes over to other weights while requests run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Switch {
    /// It finishes what runs.
    Finish,
    /// It breaks off what runs.
    BreakOff,
}

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ordered {
    /// It has begun, or is done.
    Taken,
    /// It does not fit the engine's state.
    Unfit,
}

/// The engine beside an agent.
#[async_trait]
pub trait Engine: Send + Sync {
    /// What it runs.
    async fn report(&self) -> Result<EngineReport, Error>;

    /// Has it take staged weights into its layers, if it has begun so many orders.
    async fn start(
        &self,
        model: &Model,
        version: Version,
        switch: Switch,
        orders: u64,
    ) -> Result<Ordered, Error>;

    /// Stages a chunk.
    async fn stage(&self, model: &Model, chunk: usize, bytes: Bytes) -> Result<(), Error>;

    /// A staged chunk; it may have turned bad.
    async fn staged(&self, model: &Model, chunk: usize) -> Result<Option<Bytes>, Error>;
}

/// What an origin says of a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// Bytes of a chunk.
    pub chunk_bytes: u64,
    /// The SHA-256 of each chunk.
    pub digests: Vec<[u8; 32]>,
}

/// An origin of weights.
#[async_trait]
pub trait Origin: Send + Sync {
    /// The chunks of a version.
    async fn listing(&self, model: &Model, version: Version) -> Result<Listing, Error>;

    /// The bytes of a chunk; not checked.
    async fn chunk(&self, model: &Model, version: Version, chunk: usize) -> Result<Bytes, Error>;
}
