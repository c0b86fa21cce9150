//! Grants replicas the permission to drain, to free memory for new weights.
//!
//! A replica whose endpoint cannot hold old and new weights side by side has to
//! stop serving before it loads the new ones. The planner limits how many do so
//! at a time, so that the service's declared minimum of replicas stays live.

use std::collections::BTreeMap;

use cinderspoke_schema::control::{Member, Phase, Placement, Replica};
use cinderspoke_types::id::{Instance, Service};

use crate::configuration::{Configuration, min_live_replicas};
use crate::placement::Placements;

/// Sets `may_drain` on the placements whose replicas may drain, given the `previous` placements.
///
/// A replica keeps the permission until it serves the weights of its placement.
pub fn grant(
    configuration: &Configuration,
    members: &[Member],
    previous: &Placements,
    placements: &mut Placements,
) {
    let members: BTreeMap<_, _> = members.iter().map(|member| (&member.instance, member)).collect();
    for service in configuration.services.values() {
        let before: Vec<_> = draining(previous, &service.name).collect();
        let mut placed: Vec<_> = placements
            .values_mut()
            .flatten()
            .filter(|placed| placed.service == service.name)
            .collect();
        for placed in &mut placed {
            placed.may_drain =
                before.contains(&&placed.instance) && !has_switched(&members, placed);
        }
        let live = placed.iter().filter(|placed| !placed.may_drain && is_live(&members, placed));
        let mut budget = live.count().saturating_sub(min_live_replicas(service) as usize);
        for placed in placed.iter_mut().filter(|placed| is_waiting(&members, placed)) {
            if budget > 0 && !placed.may_drain {
                placed.may_drain = true;
                budget -= 1;
            }
        }
    }
}

fn draining<'a>(
    placements: &'a Placements,
    service: &'a Service,
) -> impl Iterator<Item = &'a Instance> {
    let placed = placements.values().flatten();
    placed
        .filter(move |placed| placed.may_drain && placed.service == *service)
        .map(|placed| &placed.instance)
}

type ByInstance<'a> = BTreeMap<&'a Instance, &'a Member>;

/// The replicas that a placement's instance reports for its service.
fn reported<'a>(members: &ByInstance<'a>, placed: &Placement) -> Vec<&'a Replica> {
    let member = members.get(&placed.instance);
    let replicas = member.into_iter().flat_map(|member| &member.replicas);
    replicas.filter(|replica| replica.service == placed.service).collect()
}

/// Whether a replica serves requests, with any weights.
fn is_live(members: &ByInstance<'_>, placed: &Placement) -> bool {
    reported(members, placed).iter().any(|replica| replica.phase == Phase::Live)
}

/// Whether a replica serves requests with the weights of its placement.
fn has_switched(members: &ByInstance<'_>, placed: &Placement) -> bool {
    let same =
        |replica: &&Replica| replica.phase == Phase::Live && replica.weights == placed.weights;
    reported(members, placed).iter().any(same)
}

/// Whether a replica has verified its new weights and not loaded them.
fn is_waiting(members: &ByInstance<'_>, placed: &Placement) -> bool {
    reported(members, placed).iter().any(|replica| replica.phase == Phase::Verified)
}
