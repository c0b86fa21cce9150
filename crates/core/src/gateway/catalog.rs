//! The configuration in force, indexed for requests.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::difference::Hash;
use super::name::{Model, Region, Service, Team};
use super::residency::{AllowedRegions, Residency};

/// Whether a request may run more than once, and what its answer is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// It may run again; the answer is one body.
    Safe,
    /// It may run once; the answer is one body.
    Unsafe,
    /// The answer is a series of events.
    Stream {
        /// Whether another endpoint may go on after any event.
        resumable: bool,
    },
}

impl Kind {
    /// Whether a request may run more than once.
    #[must_use]
    pub fn repeatable(self) -> bool {
        matches!(self, Self::Safe | Self::Stream { resumable: true })
    }

    /// Whether the answer is a series of events.
    #[must_use]
    pub fn streams(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service and its share of a route's requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// The service.
    pub service: Service,
    /// Its part; relative to those of the route's other services.
    pub weight: u32,
}

/// Where requests of a host and path go.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The operator's name for it.
    pub name: String,
    /// The host, in lower case.
    pub host: String,
    /// What the path begins with; begins and ends with a slash.
    pub prefix: String,
    /// What its requests are.
    pub kind: Kind,
    /// The longest that a request may be held.
    pub timeout: Duration,
    /// The time to the first byte, or event, within which an answer has its full worth.
    pub target: Duration,
    /// The longest pause between events that keeps the full worth.
    pub target_gap: Option<Duration>,
    /// Its rank; 0 is the most urgent.
    pub priority: u8,
    /// The services that share it; never empty.
    pub shares: Vec<Share>,
    /// The most endpoints that one request may go to.
    pub attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// Where its requests may be served.
    pub allowed_regions: AllowedRegions,
}

impl Route {
    /// The service for a request, by a number that spreads requests evenly.
    #[must_use]
    pub fn service(&self, spread: u64) -> Option<&Service> {
        let total: u64 = self.shares.iter().map(|share| u64::from(share.weight)).sum();
        let Some(mut ticket) = spread.checked_rem(total) else {
            return self.shares.first().map(|share| &share.service);
        };
        for share in &self.shares {
            match ticket.checked_sub(u64::from(share.weight)) {
                None => return Some(&share.service),
                Some(rest) => ticket = rest,
            }
        }
        None
    }
}

/// How a model engine spends its time, as the operator declares it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Requests in a batch.
    pub slots: u32,
    /// Tokens that fit into its memory.
    pub capacity: u64,
    /// Milliseconds of a token step.
    pub step_ms: f64,
    /// Milliseconds that each writing request adds to a step.
    pub per_request_ms: f64,
    /// Milliseconds that each 1,000 tokens of context add to a step.
    pub per_context_ms: f64,
    /// Prompt tokens read in a second.
    pub read_per_s: f64,
    /// Milliseconds for a million pairs of a token and one before it.
    pub per_pairs_ms: f64,
    /// The most prompt tokens read in a step.
    pub chunk: u32,
    /// Steps in a pass that has writers.
    pub stride: u32,
    /// Tokens of a usual prompt.
    pub usual_prompt: u32,
    /// Tokens of a usual answer.
    pub usual_answer: u32,
    /// The models that it runs.
    pub models: Vec<Model>,
    /// Layers of a model.
    pub layers: u32,
    /// Chunks of a version's weights.
    pub chunks: u32,
    /// Bytes of a chunk.
    pub chunk_bytes: u32,
    /// The time in which it takes staged weights into its layers.
    pub load: Duration,
}

/// Where weights come from at first.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Origin {
    /// Its address.
    pub address: SocketAddr,
    /// Bytes a second that its link carries; zero if that is not known.
    pub rate: f64,
}

/// What stands behind routes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Backend {
    /// Its name.
    pub service: Service,
    /// The most connections that each of its endpoints takes.
    pub connections: u32,
    /// Where it gives weights, if it is an origin of them.
    pub origin: Option<Origin>,
    /// How its endpoints spend their time, if they are model engines.
    pub engine: Option<Engine>,
    /// What its endpoints bear after their start, where that is less than later.
    pub cold: Option<Cold>,
}

/// What an endpoint bears for a time after its start.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Cold {
    /// How long that lasts.
    pub duration: Duration,
    /// Requests a second.
    pub requests_per_s: f64,
}

/// A team and the keys that stand for it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Tenancy {
    /// The team.
    pub team: Team,
    /// Its keys.
    pub keys: Vec<String>,
    /// Its rank, which goes before a route's.
    pub priority: Option<u8>,
    /// Where its requests may be served.
    pub allowed_regions: AllowedRegions,
}

/// What callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Bytes of a request's head.
    pub header_bytes: u32,
    /// Bytes of a request's body.
    pub body_bytes: u64,
    /// The time in which a request's head has to come.
    pub header: Duration,
    /// How long a connection may rest.
    pub idle: Duration,
}

impl Default for Limits {
    /// What holds until a configuration is known; within what operators usually set.
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header: Duration::from_secs(3),
            idle: Duration::from_secs(15),
        }
    }
}

/// All that operators declare, as it is passed between processes.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Declared {
    /// The operator's number for it, which only grows.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub backends: Vec<Backend>,
    /// The teams; none when requests need no key.
    pub tenancies: Vec<Tenancy>,
    /// What callers may send.
    pub limits: Limits,
}

/// What a key stands for.
#[derive(Debug, Clone, PartialEq)]
pub enum Access<'a> {
    /// Requests need no key.
    Open,
    /// The team.
    Team(&'a Team, Option<u8>),
    /// No team has the key, or there was none.
    Denied,
}

/// A configuration with its indexes.
#[derive(Debug, Default)]
// Invariants: `by_host` holds every route's number, those of a host with the
// longest prefix first; `by_key` holds every key.
pub struct Catalog {
    declared: Declared,
    hash: Hash,
    by_host: HashMap<String, Vec<usize>>,
    by_key: HashMap<String, usize>,
}

impl From<Declared> for Catalog {
    fn from(declared: Declared) -> Self {
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (number, route) in declared.routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(number);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|number| std::cmp::Reverse(declared.routes[*number].prefix.len()));
        }
        let mut by_key = HashMap::new();
        for (number, tenancy) in declared.tenancies.iter().enumerate() {
            by_key.extend(tenancy.keys.iter().map(|key| (key.clone(), number)));
        }
        let hash = Hash::of(&declared);
        Self { declared, hash, by_host, by_key }
    }
}

impl Catalog {
    /// What was declared.
    #[must_use]
    pub fn declared(&self) -> &Declared {
        &self.declared
    }

    /// Tells it apart from others.
    #[must_use]
    pub fn hash(&self) -> Hash {
        self.hash
    }

    /// The route of a host and path: the one with the longest prefix that fits.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.by_host.get(host)?.iter().map(|number| &self.declared.routes[*number]);
        routes.into_iter().find(|route| path.starts_with(&route.prefix))
    }

    /// What a request's key stands for on a route.
    #[must_use]
    pub fn access(&self, route: &Route, key: Option<&str>) -> Access<'_> {
        if route.public || self.declared.tenancies.is_empty() {
            return Access::Open;
        }
        match key.and_then(|key| self.by_key.get(key)) {
            Some(number) => {
                let tenancy = &self.declared.tenancies[*number];
                Access::Team(&tenancy.team, tenancy.priority)
            }
            None => Access::Denied,
        }
    }

    /// Where a request with a key on a route may be served.
    #[must_use]
    pub fn residency(&self, route: &Route, key: Option<&str>) -> Residency {
        let number = key.filter(|_| !route.public).and_then(|key| self.by_key.get(key));
        let team = number.map(|number| self.declared.tenancies[*number].allowed_regions.clone());
        [route.allowed_regions.clone()].into_iter().chain(team).collect()
    }

    /// The regions that routes and teams name and that are not among these.
    #[must_use]
    pub fn unknown_regions(&self, is_known: impl Fn(&Region) -> bool) -> BTreeSet<Region> {
        let routes = self.declared.routes.iter().map(|route| &route.allowed_regions);
        let regions =
            routes.chain(self.declared.tenancies.iter().map(|tenancy| &tenancy.allowed_regions));
        regions
            .flat_map(AllowedRegions::regions)
            .filter(|region| !is_known(region))
            .cloned()
            .collect()
    }

    /// A service by its name.
    #[must_use]
    pub fn backend(&self, service: &Service) -> Option<&Backend> {
        self.declared.backends.iter().find(|backend| backend.service == *service)
    }

    /// The services that give weights.
    pub fn origins(&self) -> impl Iterator<Item = Origin> {
        self.declared.backends.iter().filter_map(|backend| backend.origin)
    }
}
