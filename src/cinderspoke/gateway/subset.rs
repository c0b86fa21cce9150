//! The subset of engines whose agents report to this gateway.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use cinderspoke_core::gateway::name::Region;
use cinderspoke_core::gateway::subset::{other_region_count, own_region_count, top_ranked};
use cinderspoke_core::swarm::Distance;

use super::state::State;
use super::view::Member;

impl State {
    /// Selects for each service the engines whose agents are to report to this gateway. Returns
    /// the addresses of the engines.
    #[must_use]
    pub fn subset(&self) -> Vec<SocketAddr> {
        let view = self.view();
        let gateways = self.neighbours().len() + 1;
        let models = view.members.iter().filter(|(service, _)| view.engine(service).is_some());
        models.flat_map(|(_, members)| self.subset_of(members, gateways)).collect()
    }

    /// Selects the engines of one service, for a number of gateways in the region.
    fn subset_of(&self, members: &[Member], gateways: usize) -> Vec<SocketAddr> {
        let mut regions: BTreeMap<(bool, &Region), Vec<SocketAddr>> = BTreeMap::new();
        for member in members {
            let is_near = member.distance != Distance::Far;
            regions.entry((is_near, &member.region)).or_default().push(member.entry.address);
        }
        let chosen = regions.into_iter().flat_map(|((is_near, _), engines)| {
            let count = if is_near {
                own_region_count(engines.len(), gateways)
            } else {
                other_region_count(gateways)
            };
            top_ranked(self.key(), engines, count)
        });
        let chosen: BTreeSet<_> = chosen.collect();
        for member in members {
            member.target.set_reports_here(chosen.contains(&member.entry.address));
        }
        chosen.into_iter().collect()
    }
}
