//! State on evacuated availability zones and on cold endpoints.

use std::collections::BTreeSet;
use std::time::Duration;

use cinderspoke_core::gateway::catalog::Cold;
use cinderspoke_core::gateway::cold::Bound;
use cinderspoke_core::gateway::evacuation::{Change, Table, Update};
use cinderspoke_core::gateway::fact::{Fact, Revision};
use cinderspoke_core::gateway::name::{Service, Zone};

use super::inner::Inner;
use super::state::State;
use super::view::View;

impl State {
    /// Replaces the evacuated zones, unless the known ones are newer.
    pub fn apply_evacuations(&self, evacuated: Fact<BTreeSet<Zone>>, from: &str) {
        let now = self.clock().now();
        self.change_evacuations(from, |table| table.replace(evacuated, now));
    }

    /// Adds the evacuated zones of a list that could not be read whole.
    pub fn apply_evacuations_part(&self, evacuated: Fact<BTreeSet<Zone>>, from: &str) {
        self.change_evacuations(from, |table| table.add_part(evacuated));
    }

    /// Applies changes of the evacuated zones.
    pub fn apply_evacuation_changes(&self, fact: Fact<Vec<Change>>, from: &str) {
        let now = self.clock().now();
        self.change_evacuations(from, |table| table.apply(fact.revision, fact.value, now));
    }

    /// Merges the zones that an older copy of the store lacks, as another gateway knows them.
    pub fn merge_held_zones(&self, updates: Vec<Update>) {
        if !updates.is_empty() {
            let now = self.clock().now();
            self.change_evacuations("gateway", |table| table.merge(updates, now));
        }
    }

    /// Reopens the zones that an older copy of the store lacked and that nobody evacuated again.
    pub(super) fn expire_held_zones(&self) {
        let now = self.clock().now();
        self.change_evacuations("restore", |table| table.expire(now));
    }

    fn change_evacuations(&self, from: &str, change: impl FnOnce(&mut Table) -> bool) {
        let mut inner = self.lock();
        let before = inner.evacuation.zones();
        if !change(&mut inner.evacuation) {
            return;
        }
        let now = self.clock().now();
        inner.mark_reopened_cold(&before, now);
        self.rebuild_view(&mut inner);
        let (zones, due) = (inner.evacuation.zones(), inner.evacuation.next_expiry());
        let unknown: Vec<_> = zones.iter().filter(|zone| !self.is_zone(zone)).collect();
        if !unknown.is_empty() {
            tracing::warn!(?unknown, "evacuated zones are missing from the settings");
        }
        tracing::info!(?zones, held = due.is_some(), from, "evacuated zones changed");
        drop(inner);
        self.retention_signal().raise();
        self.publish();
    }

    /// Whether the settings name an availability zone.
    fn is_zone(&self, zone: &Zone) -> bool {
        self.options().regions.contains_key(zone.as_str())
    }

    /// The revision of the evacuated zones; none before they are known.
    #[must_use]
    pub fn evacuations_revision(&self) -> Option<Revision> {
        self.lock().evacuation.known().map(|known| known.revision)
    }

    /// The limit of requests per second that all gateways together may send to a cold endpoint of a
    /// service; none for no limit.
    #[must_use]
    pub fn cold_bound(&self, view: &View, service: &Service) -> Option<Bound> {
        let cold_options = self.options().cold?;
        let cold = view.catalog.as_ref()?.backend(service)?.cold?;
        Some(cold_options.bound(cold.requests_per_s))
    }
}

impl Inner {
    /// What endpoints of a service can handle while they are cold.
    #[must_use]
    pub fn cold(&self, service: &Service) -> Option<Cold> {
        self.configuration.value.as_ref()?.backend(service)?.cold
    }

    /// Marks the endpoints as cold whose zones were evacuated before and no longer are.
    fn mark_reopened_cold(&self, before: &BTreeSet<Zone>, now: Duration) {
        let entries = &self.tracker.directory().entries;
        let reopened = entries
            .iter()
            .filter(|(_, entry)| before.contains(&entry.zone))
            .filter(|(_, entry)| !self.evacuation.is_evacuated(&entry.zone));
        for (name, entry) in reopened {
            if let (Some(target), Some(cold)) = (self.targets.get(name), self.cold(&entry.service))
            {
                target.extend_cold(now + cold.duration);
            }
        }
    }
}
