//! The status report for operators: running replicas, transfers in progress and instances that do
//! not follow the current plan yet.

use std::collections::BTreeMap;

use cinderspoke_schema::control::{
    Member, Phase, PhaseCount, Replica, ServiceStatus, StatusReport, TransferStatus, ZoneStatus,
};
use cinderspoke_types::counter::Fence;
use cinderspoke_types::id::{Service, Version};

use super::view::View;

/// Builds the status report from a view.
#[must_use]
pub fn report(view: &View) -> StatusReport {
    StatusReport {
        generation: view.generation(),
        zones: zones(view),
        services: services(view),
        transfers: transfers(view),
    }
}

fn members(view: &View) -> impl Iterator<Item = &Member> {
    view.members.iter().map(|(member, _)| member)
}

fn replicas(view: &View) -> impl Iterator<Item = (&Member, &Replica)> {
    members(view).flat_map(|member| member.replicas.iter().map(move |replica| (member, replica)))
}

fn zones(view: &View) -> Vec<ZoneStatus> {
    let Some(active) = &view.active else { return Vec::new() };
    let zones = active.configuration.zones.keys().map(|zone| {
        let plan = view.plans.get(zone);
        let fence = plan.map_or(Fence::default(), |plan| plan.fence);
        let here: Vec<_> = members(view).filter(|member| member.zone == *zone).collect();
        let behind = here.iter().filter(|member| member.fence < fence);
        ZoneStatus {
            zone: zone.clone(),
            generation: plan.map(|plan| plan.generation).unwrap_or_default(),
            fence,
            members: count(here.len()),
            behind: behind.map(|member| member.instance.clone()).collect(),
        }
    });
    zones.collect()
}

fn services(view: &View) -> Vec<ServiceStatus> {
    let Some(active) = &view.active else { return Vec::new() };
    let mut phases: BTreeMap<(Service, Option<Version>), BTreeMap<Phase, u32>> = BTreeMap::new();
    for service in active.configuration.services.values() {
        phases.insert((service.name.clone(), service.version.clone()), BTreeMap::new());
    }
    for (_, replica) in replicas(view) {
        let version = replica.weights.as_ref().map(|weights| weights.version.clone());
        let counts = phases.entry((replica.service.clone(), version)).or_default();
        *counts.entry(replica.phase).or_default() += 1;
    }
    let status =
        |((service, version), counts): ((Service, Option<Version>), BTreeMap<Phase, u32>)| {
            let declared = active.configuration.services.get(&service);
            let current = declared.filter(|declared| declared.version == version);
            ServiceStatus {
                wanted: current.map_or(0, |declared| declared.replicas.get()),
                live: counts.get(&Phase::Live).copied().unwrap_or_default(),
                phases: counts
                    .into_iter()
                    .map(|(phase, replicas)| PhaseCount { phase, replicas })
                    .collect(),
                service,
                version,
            }
        };
    phases.into_iter().map(status).collect()
}

fn transfers(view: &View) -> Vec<TransferStatus> {
    let fetching = replicas(view).filter(|(_, replica)| replica.phase == Phase::Fetching);
    let transfers = fetching.filter_map(|(member, replica)| {
        Some(TransferStatus {
            instance: member.instance.clone(),
            zone: member.zone.clone(),
            service: replica.service.clone(),
            version: replica.weights.as_ref()?.version.clone(),
            chunks_held: replica.chunks_held,
            chunks_total: replica.chunks_total,
        })
    });
    transfers.collect()
}

fn count(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}
