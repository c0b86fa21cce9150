//! The model engine beside an agent.

use async_trait::async_trait;
use bytes::Bytes;
use cinderspoke_core::gateway::directory::Start;
use cinderspoke_core::gateway::load::Report;
use cinderspoke_core::gateway::name::Model;
use cinderspoke_core::gateway::rollout::Version;

use crate::Error;

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
    /// When it started, where the platform tells it.
    pub start: Option<Start>,
}

/// How an engine goes over to other weights while requests run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Switch {
    /// It finishes what runs.
    Finish,
    /// It breaks off what runs.
    Abort,
}

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It has begun, or is done.
    Accepted,
    /// It does not fit the engine's state.
    Rejected,
}

/// The engine beside an agent.
#[async_trait]
pub trait Engine: Send + Sync {
    /// What it runs.
    async fn report(&self) -> Result<EngineReport, Error>;

    /// Has it take staged weights into its layers, if it has begun so many orders.
    async fn start_load(
        &self,
        model: &Model,
        version: Version,
        switch: Switch,
        orders: u64,
    ) -> Result<OrderOutcome, Error>;

    /// Stages a chunk.
    async fn stage(&self, model: &Model, chunk: usize, bytes: Bytes) -> Result<(), Error>;

    /// A staged chunk; it may have turned bad.
    async fn staged(&self, model: &Model, chunk: usize) -> Result<Option<Bytes>, Error>;
}
