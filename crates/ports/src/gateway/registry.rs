//! The platform's store, as gateways read it.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use cinderspoke_core::gateway::catalog::Declared;
use cinderspoke_core::gateway::directory::{Change, Directory};
use cinderspoke_core::gateway::evacuation;
use cinderspoke_core::gateway::fact::{Fact, Revision};
use cinderspoke_core::gateway::name::Zone;
use cinderspoke_core::gateway::rollout::Rollout;

use crate::Error;
use crate::client::Progress;

/// What a watch has seen.
#[derive(Debug)]
pub enum Watched<T> {
    /// Everything up to a revision.
    Updated(Fact<T>),
    /// The store has forgotten what lies between: read it all again.
    Compacted,
}

/// The platform's store. Configurations may be large, so that the progress of their answers
/// is told: the configuration, versions, endpoints and our own gateways.
#[async_trait]
pub trait Registry: Send + Sync {
    /// The configuration; none while there is none yet.
    async fn configuration(&self, progress: &Progress) -> Result<Fact<Option<Declared>>, Error>;

    /// The newest configuration after a revision, if there is one within the time.
    async fn watch_configuration(
        &self,
        after: Revision,
        wait: Duration,
        progress: &Progress,
    ) -> Result<Watched<Option<Declared>>, Error>;

    /// The versions that models are to have.
    async fn rollout(&self) -> Result<Fact<Rollout>, Error>;

    /// Versions named after a revision, as soon as there are some within the time.
    async fn watch_rollout(
        &self,
        after: Revision,
        wait: Duration,
    ) -> Result<Watched<Rollout>, Error>;

    /// The endpoints.
    async fn endpoints(&self) -> Result<Fact<Directory>, Error>;

    /// Changes of endpoints after a revision, as soon as there are some within the time.
    async fn watch_endpoints(
        &self,
        after: Revision,
        wait: Duration,
    ) -> Result<Watched<Vec<Change>>, Error>;

    /// The availability zones that operators have emptied; a platform that knows of none has
    /// none.
    async fn evacuations(&self) -> Result<Fact<BTreeSet<Zone>>, Error> {
        Ok(Fact::default())
    }

    /// Zones that were emptied or taken back after a revision, as soon as there are some within
    /// the time.
    async fn watch_evacuations(
        &self,
        after: Revision,
        wait: Duration,
    ) -> Result<Watched<Vec<evacuation::Change>>, Error> {
        tokio::time::sleep(wait).await;
        Ok(Watched::Updated(Fact::new(after, Vec::new())))
    }

    /// Our own gateways that have said that they are there.
    async fn gateways(&self) -> Result<Vec<SocketAddr>, Error>;

    /// Says that a gateway is there.
    async fn announce(&self, name: &str, address: SocketAddr) -> Result<(), Error>;
}
