//! State on the distribution of configurations: which gateways read them from the store, which
//! version each gateway has, and what this one sends to others.

use std::net::SocketAddr;
use std::time::Duration;

use cinderspoke_core::gateway::catalog::Catalog;
use cinderspoke_core::gateway::difference::{ApplyError, Difference, Hash};
use cinderspoke_core::gateway::fact::{Fact, Revision};
use cinderspoke_core::gateway::name::Region;
use cinderspoke_core::gateway::region::{Announcement, Role, Step, Table, Tag};

use cinderspoke_ports::work::{Stage, measured, offload};

use super::message::{Configuration, GatewayInfo, Summary};
use super::state::State;

impl State {
    /// Records the announcement and the configuration version in the summary of another gateway.
    /// Returns true if this is the first summary from it.
    pub fn observe_summary(&self, from: SocketAddr, summary: &Summary) -> bool {
        let (now, version) = (self.clock().now(), summary.configuration);
        let mut inner = self.lock();
        let is_new = inner.region.observe(from, &summary.announcement, version, now);
        let in_force = inner.version();
        if version == in_force {
            // The version in force is still the newest at that revision. The newer revision matters
            // since the store drops old history, so that a watch from an older one fails.
            let revision = inner.configuration.revision.max(summary.configuration_revision);
            inner.configuration.revision = revision;
        }
        let is_newer = inner.lag.record(version, now) && version > in_force;
        drop(inner);
        if is_newer {
            tracing::info!(version, in_force, %from, "a newer configuration was announced");
        }
        is_new
    }

    /// Records that the store has no newer configuration at a revision.
    pub fn confirm_configuration(&self, revision: Revision) {
        let mut inner = self.lock();
        inner.configuration.revision = inner.configuration.revision.max(revision);
    }

    /// The last revision at which the configuration in force is known to be the newest; none
    /// without one.
    #[must_use]
    pub fn configuration_revision(&self) -> Option<Revision> {
        let inner = self.lock();
        inner.configuration.value.as_ref().map(|_| inner.configuration.revision)
    }

    /// For how long a newer configuration than the one in force has been known to exist.
    #[must_use]
    pub fn configuration_behind(&self) -> Duration {
        let inner = self.lock();
        inner.lag.behind(inner.version(), self.clock().now())
    }

    /// Whether a newer configuration is known to exist and did not arrive from other gateways in
    /// time.
    #[must_use]
    pub fn is_configuration_overdue(&self) -> bool {
        let behind = self.configuration_behind();
        behind > self.lock().region.own_read_delay(self.clock().now())
    }

    /// Records whether the store answered this gateway's last call for the configuration.
    pub fn record_configuration_call(&self, answered: bool) {
        self.lock().region.set_platform_answers(answered);
    }

    /// Whether this gateway reads the configuration from the store as it changes.
    #[must_use]
    pub fn role(&self) -> Role {
        self.lock().region.role(self.options().region_count(), self.clock().now())
    }

    /// Gives up the role of a reader, since this gateway is about to stop, so that another one
    /// takes over.
    pub fn resign(&self) {
        self.lock().region.start_draining();
    }

    /// The number of gateways that read the configuration from the store.
    #[must_use]
    pub fn readers(&self) -> usize {
        Table::readers(self.options().region_count()).min(self.view().gateways)
    }

    /// What this gateway announces of itself.
    #[must_use]
    pub fn announcement(&self) -> Announcement {
        self.lock().region.announcement(self.options().region_count(), self.clock().now())
    }

    /// Adds a gateway that others named. Returns true if it was not known and is to be sent a
    /// digest: it may be of this region, whose readers need to know it.
    pub fn discover_gateway(&self, gateway: GatewayInfo) -> bool {
        let is_new = self.observe_gateway(gateway.address, false);
        let options = self.options();
        let regions = options.regions.values().map(|region| Region::from(region.as_str()));
        let region = regions.into_iter().find(|region| gateway.region == Some(Tag::of(region)));
        let Some(region) = region else { return is_new };
        let now = self.clock().now();
        let mut inner = self.lock();
        inner.region.add(gateway.address, region, now);
        is_new && inner.region.is_local(gateway.address)
    }

    /// Some gateways with the tags of their regions, to name them to others.
    #[must_use]
    pub fn gateway_infos(
        &self,
        gateways: impl IntoIterator<Item = SocketAddr>,
    ) -> Vec<GatewayInfo> {
        let inner = self.lock();
        let region = |gateway| inner.region.region_of(gateway).map(Tag::of);
        let named =
            gateways.into_iter().map(|address| GatewayInfo { address, region: region(address) });
        named.collect()
    }

    /// The known other gateways of a region.
    #[must_use]
    pub fn gateways_in(&self, region: &Region) -> Vec<SocketAddr> {
        self.lock().region.gateways_in(region)
    }

    /// Whether a gateway is known to be of this region.
    #[must_use]
    pub fn is_neighbour(&self, gateway: SocketAddr) -> bool {
        self.lock().region.is_local(gateway)
    }

    /// Whether this gateway sends updates to other regions.
    #[must_use]
    pub fn gossips_across_regions(&self) -> bool {
        self.lock().region.sends_to_other_regions(self.options().region_count(), self.clock().now())
    }

    /// The other gateways of this gateway's region.
    #[must_use]
    pub fn neighbours(&self) -> Vec<SocketAddr> {
        self.lock().region.local_peers()
    }

    /// The next step to fetch the configuration, if another gateway has a newer one.
    #[must_use]
    pub fn next_fetch_step(&self, random: f64) -> Step {
        let (role, behind) = (self.role(), self.configuration_behind());
        let inner = self.lock();
        inner.region.next_step(inner.version(), behind, role, self.clock().now(), random)
    }

    /// Records that the configuration is requested from a gateway.
    pub fn record_fetch_attempt(&self, gateway: SocketAddr) {
        self.lock().region.record_query(gateway);
    }

    /// The version and the hash of the configuration in force.
    #[must_use]
    pub fn configuration_identity(&self) -> (u64, Hash) {
        let inner = self.lock();
        let hash = inner.configuration.value.as_ref().map(|catalog| catalog.hash());
        (inner.version(), hash.unwrap_or_default())
    }

    /// The configuration, if it is newer than a version: as a difference from the one with a hash,
    /// or whole if that one is no longer kept.
    pub async fn configuration_after(
        &self,
        version: u64,
        base: Hash,
    ) -> Option<Fact<Configuration>> {
        let (catalog, revision, before) = {
            let inner = self.lock();
            let catalog = inner.configuration.value.clone()?;
            if catalog.declared().version <= version {
                return None;
            }
            let before = inner.replaced.iter().find(|replaced| replaced.hash() == base).cloned();
            (catalog, inner.configuration.revision, before)
        };
        let size = catalog.declared().size();
        let update = move || match before {
            Some(before) => Configuration::Changed(Difference::between(&before, &catalog)),
            None => Configuration::Whole(catalog.declared().clone()),
        };
        Some(Fact::new(revision, offload(size, || measured(Stage::Pack, update)).await))
    }

    /// Applies a configuration from another gateway.
    ///
    /// # Errors
    ///
    /// When it is a difference from a configuration other than the one in force.
    pub async fn apply_configuration_update(
        &self,
        fact: Fact<Configuration>,
    ) -> Result<(), ApplyError> {
        let Fact { revision, value } = fact;
        let before = self.lock().configuration.value.clone();
        let size = match (&value, &before) {
            (Configuration::Whole(declared), _) => declared.size(),
            (Configuration::Changed(_), Some(before)) => before.declared().size(),
            (Configuration::Changed(_), None) => return Err(ApplyError::BaseMismatch),
        };
        let catalog = move || match (value, before) {
            (Configuration::Whole(declared), _) => Ok(Catalog::from(declared)),
            (Configuration::Changed(difference), Some(before)) => difference.apply(&before),
            (Configuration::Changed(_), None) => Err(ApplyError::BaseMismatch),
        };
        let catalog = offload(size, || measured(Stage::Apply, catalog)).await?;
        self.apply_catalog(Fact::new(revision, catalog), "gateway");
        Ok(())
    }
}
