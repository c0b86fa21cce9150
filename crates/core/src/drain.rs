//! Turns: which replicas may stop answering to make room for new weights.
//!
//! A replica whose endpoint cannot hold old and new weights side by side has to
//! stop answering first. The planner lets so many do so at a time that the
//! service's declared minimum keeps answering.

use std::collections::BTreeMap;

use cinderspoke_schema::control::{Member, Phase, Placement, Replica};
use cinderspoke_types::id::{Instance, Service};

use crate::configuration::{Configuration, min_live_replicas};
use crate::placement::Placements;

/// Marks the replicas that may drain, given who may already.
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
        let answering =
            placed.iter().filter(|placed| !placed.may_drain && answers(&members, placed));
        let mut budget = answering.count().saturating_sub(min_live_replicas(service) as usize);
        for placed in placed.iter_mut().filter(|placed| waits(&members, placed)) {
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

/// The replicas that an instance reports for a placement's service.
fn reported<'a>(members: &ByInstance<'a>, placed: &Placement) -> Vec<&'a Replica> {
    let member = members.get(&placed.instance);
    let replicas = member.into_iter().flat_map(|member| &member.replicas);
    replicas.filter(|replica| replica.service == placed.service).collect()
}

/// Whether a replica answers, with whatever weights.
fn answers(members: &ByInstance<'_>, placed: &Placement) -> bool {
    reported(members, placed).iter().any(|replica| replica.phase == Phase::Live)
}

/// Whether a replica answers with the weights that it is to have.
fn has_switched(members: &ByInstance<'_>, placed: &Placement) -> bool {
    let same =
        |replica: &&Replica| replica.phase == Phase::Live && replica.weights == placed.weights;
    reported(members, placed).iter().any(same)
}

/// Whether a replica has its new weights verified, but not loaded.
fn waits(members: &ByInstance<'_>, placed: &Placement) -> bool {
    reported(members, placed).iter().any(|replica| replica.phase == Phase::Verified)
}
