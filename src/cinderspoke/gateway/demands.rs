//! State on the requests that this gateway and others receive for each service.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cinderspoke_core::gateway::demand::{Demand, Table, Tag, Update};
use cinderspoke_core::gateway::name::Service;
use metrics::gauge;

use super::state::State;
use crate::util::metrics::DEMAND;

/// What this gateway and others receive.
pub struct Demands {
    own: Mutex<HashMap<Service, Demand>>,
    others: Mutex<Table>,
}

impl Demands {
    /// Creates the demands that a gateway knows when it starts.
    #[must_use]
    pub fn new(own: Tag) -> Self {
        Self { own: Mutex::default(), others: Mutex::new(Table::new(own)) }
    }

    /// The own rate of a service's requests, per second.
    fn own(&self, service: &Service, now: Duration) -> f64 {
        let own = self.own.lock().unwrap_or_else(PoisonError::into_inner);
        own.get(service).map_or(0.0, |demand| demand.per_second(now))
    }

    fn others(&self) -> MutexGuard<'_, Table> {
        self.others.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Records a request for a service.
    pub fn record_arrival(&self, service: &Service) {
        let (now, demands) = (self.clock().now(), self.demands());
        let mut own = demands.own.lock().unwrap_or_else(PoisonError::into_inner);
        own.entry(service.clone()).or_default().record_arrival(now);
    }

    /// The estimated rate of requests that other gateways receive for a service, per second, where
    /// `gateways` is the number of live ones: what they report, or each as many as this one.
    #[must_use]
    pub fn competing_rate(&self, service: &Service, gateways: usize) -> f64 {
        let (now, demands) = (self.clock().now(), self.demands());
        let own = demands.own(service, now);
        if self.options().shares_demand {
            let view = self.view();
            demands.others().others(Tag::of_service(service), &view.live_others, own, now)
        } else {
            own * gateways.saturating_sub(1) as f64
        }
    }

    /// Returns what a digest reports of the requests for model engines that gateways receive. A
    /// service without requests here has the rate zero, so that others assume none.
    pub(super) fn demand_updates(&self) -> Vec<Update> {
        if !self.options().shares_demand {
            return Vec::new();
        }
        let (now, demands) = (self.clock().now(), self.demands());
        let rate = |service| (Tag::of_service(&service), demands.own(&service, now));
        let own: Vec<_> = self.model_services().into_iter().map(rate).collect();
        demands.others().updates(&own, now)
    }

    /// Merges what another gateway reports of the requests that gateways receive.
    pub fn merge_demands(&self, updates: &[Update]) {
        if self.options().shares_demand {
            self.demands().others().merge(updates, self.clock().now());
        }
    }

    /// Sets the gauges of the demand for all services of model engines.
    pub(super) fn record_demand_metrics(&self) {
        let (now, gateways) = (self.clock().now(), self.view().gateways);
        let services = self.model_services();
        let own: f64 = services.iter().map(|service| self.demands().own(service, now)).sum();
        let others: f64 =
            services.iter().map(|service| self.competing_rate(service, gateways)).sum();
        gauge!(DEMAND, "of" => "own").set(own);
        gauge!(DEMAND, "of" => "others").set(others);
    }

    /// The services of model engines in the configuration in force. Others have no reports that
    /// the requests of other gateways could outdate.
    fn model_services(&self) -> Vec<Service> {
        let catalog = self.view().catalog.clone();
        let backends = catalog.iter().flat_map(|catalog| &catalog.declared().backends);
        let models = backends.filter(|backend| backend.engine.is_some());
        models.map(|backend| backend.service.clone()).collect()
    }
}
