//! The model engine that runs on the same instance as an agent.

use async_trait::async_trait;
use bytes::Bytes;
use cinderspoke_core::gateway::directory::Start;
use cinderspoke_core::gateway::load::Report;
use cinderspoke_core::gateway::name::Model;
use cinderspoke_core::gateway::rollout::Version;
use cinderspoke_types::size;

use crate::Error;

/// The state of a model engine.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EngineReport {
    /// The engine's load.
    pub load: Report,
    /// The models whose weights are completely loaded, each with its version.
    pub models: Vec<(Model, Version)>,
    /// Whether an order is in progress.
    pub busy: bool,
    /// The number of orders that the engine has accepted since its start.
    pub orders: u64,
    /// When the engine started, if the platform reports that.
    pub start: Option<Start>,
}

/// What an engine does with running requests when it changes to other weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Switch {
    /// Finishes them first.
    Finish,
    /// Aborts them.
    Abort,
}

/// The layers that an order is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Layers {
    /// All layers. Those of the same version that the engine holds stay as they are.
    All,
    /// One layer, counted from zero. The engine drops all others at once.
    Only(u32),
}

/// The engine's response to an order to load weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine loads what is staged.
    Begun,
    /// The engine holds these layers of this version already, and loads nothing.
    Held,
    /// The order does not match the engine's state.
    Rejected,
}

/// The control interface of a model engine.
///
/// An agent stages the chunks of some weights with [`stage`](Self::stage) and then orders the
/// engine to load them with [`start_load`](Self::start_load).
#[async_trait]
pub trait Engine: Send + Sync {
    /// Returns the engine's state.
    ///
    /// # Errors
    ///
    /// As for every call here: why the call to the engine failed.
    async fn report(&self) -> Result<EngineReport, Error>;

    /// Orders the engine to load staged weights into its layers.
    ///
    /// `orders` is [`EngineReport::orders`] as the caller knows it; the engine rejects the order if
    /// its own count differs.
    async fn start_load(
        &self,
        model: &Model,
        version: Version,
        layers: Layers,
        switch: Switch,
        orders: u64,
    ) -> Result<OrderOutcome, Error>;

    /// Stages a chunk of a model's weights; `chunk` counts from zero.
    async fn stage(&self, model: &Model, chunk: usize, bytes: Bytes) -> Result<(), Error>;

    /// Returns a staged chunk of at most `limit` bytes, or `None` if it is not staged. The bytes
    /// are not verified and may have become corrupt.
    async fn staged(
        &self,
        model: &Model,
        chunk: usize,
        limit: size::Bytes,
    ) -> Result<Option<Bytes>, Error>;
}
