//! Laying out a fleet that fits a configuration.

use std::time::Duration;

use anyhow::Result;
use cinderspoke_core::configuration::Configuration;
use cinderspoke_schema::{operator, settings};
use cinderspoke_types::id;
use cinderspoke_types::size::Bytes;

use super::Options;
use super::machine::{AgentMachine, Beside, EntryMachine};
use crate::engine::Engine;
use crate::network::Side;
use crate::node::Machine;
use crate::platform::Platform;
use crate::service::Service;
use crate::weights::Weights;

/// What builds a fleet's machines.
pub(super) struct Builder<'a> {
    pub(super) configuration: &'a Configuration,
    pub(super) options: &'a Options,
    pub(super) platform: &'a Platform,
    pub(super) weights: &'a Weights,
}

impl Builder<'_> {
    pub(super) fn entries(&mut self) -> Result<Vec<EntryMachine>> {
        let mut entries = Vec::new();
        for zone in self.configuration.zones.values() {
            let mut here = Vec::new();
            for number in 1..=self.options.entries {
                here.push(self.entry(zone, number)?);
            }
            let controls: Vec<_> = here.iter().map(|entry| entry.control).collect();
            for mut settings in here {
                settings.peers =
                    controls.iter().copied().filter(|peer| *peer != settings.control).collect();
                let side = Side::Zone(zone.region.clone(), zone.name.clone());
                let machine = Machine { name: settings.instance.to_string(), side, rate: None };
                let ground = self.options.ground.clone();
                entries.push(EntryMachine { settings, machine, ground, running: None });
            }
        }
        Ok(entries)
    }

    fn entry(&self, zone: &operator::Zone, number: usize) -> Result<settings::Entry> {
        Ok(settings::Entry {
            instance: format!("{}-entry-{number}", zone.name).parse()?,
            zone: zone.name.clone(),
            region: zone.region.clone(),
            callers: self.options.ground.address()?,
            control: self.options.ground.address()?,
            admin: self.options.ground.address()?,
            platform: self.platform.server.address,
            peers: Vec::new(),
            heartbeat_ms: millis(self.options.heartbeat),
            lease_ms: millis(self.options.lease),
            body_limit: Bytes::from_mib(1),
            traffic_threads: 1.try_into()?,
            log: settings::Log::default(),
        })
    }

    /// Enough instances for every service, spread over the zones that it may use.
    pub(super) async fn agents(&mut self, entries: &[EntryMachine]) -> Result<Vec<AgentMachine>> {
        let mut agents = Vec::new();
        let zones: Vec<_> = self.configuration.zones.keys().cloned().collect();
        let engines = self.options.engines.unwrap_or_else(|| self.engines_needed());
        for number in 0..engines {
            let zone = &zones[number % zones.len()];
            let machine = self.machine(zone, format!("{zone}-engine-{number}"));
            let ground = &self.options.ground;
            let engine =
                Engine::spawn(ground, machine.clone(), self.options.behaviour.clone()).await?;
            agents.push(self.agent(zone, machine, Beside::Engine(engine), None, entries)?);
        }
        let services = self.configuration.services.values();
        for service in services.filter(|service| service.kind == operator::Kind::Plain) {
            let zones = self.configuration.zones_of(service);
            for number in 0..service.replicas.get() as usize {
                let zone = &zones[number % zones.len()];
                let machine = self.machine(zone, format!("{zone}-{}-{number}", service.name));
                let (ground, delay) = (&self.options.ground, self.options.plain_delay);
                let plain =
                    Service::spawn(ground, machine.clone(), service.name.clone(), delay).await?;
                let beside = Beside::Service(plain);
                agents.push(self.agent(zone, machine, beside, Some(&service.name), entries)?);
            }
        }
        Ok(agents)
    }

    fn machine(&self, zone: &id::Zone, name: String) -> Machine {
        let region = self.configuration.zones[zone].region.clone();
        Machine { name, side: Side::Zone(region, zone.clone()), rate: self.options.link_rate }
    }

    fn engines_needed(&self) -> usize {
        let models = self.configuration.services.values().filter(|service| service.model.is_some());
        models.map(|service| service.replicas.get() as usize).max().unwrap_or(0)
    }

    fn agent(
        &self,
        zone: &id::Zone,
        machine: Machine,
        beside: Beside,
        service: Option<&id::Service>,
        entries: &[EntryMachine],
    ) -> Result<AgentMachine> {
        let near = entries.iter().filter(|entry| entry.settings.zone == *zone);
        let (kind, address) = match &beside {
            Beside::Engine(engine) => (settings::EndpointKind::Model, engine.server.address),
            Beside::Service(service) => (settings::EndpointKind::Plain, service.server.address),
        };
        let memory = self.options.memory;
        let settings = settings::Agent {
            instance: machine.name.parse()?,
            zone: zone.clone(),
            region: self.configuration.zones[zone].region.clone(),
            listen: self.options.ground.address()?,
            admin: self.options.ground.address()?,
            entries: near.map(|entry| entry.settings.control).collect(),
            endpoint: settings::Endpoint { kind, address, service: service.cloned(), memory },
            weight_store: self.weights.server.address,
            origin: self.weights.server.address,
            heartbeat_ms: millis(self.options.heartbeat),
            chunk_memory: Bytes::from_mib(2 << 10),
            link_rate: self.options.link_rate,
            uploads: 4.try_into()?,
            downloads: 4.try_into()?,
            traffic_threads: 1.try_into()?,
            log: settings::Log::default(),
        };
        let ground = self.options.ground.clone();
        let policy = self.options.policy;
        Ok(AgentMachine { settings, beside, machine, policy, ground, running: None })
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
