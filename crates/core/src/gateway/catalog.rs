//! The configuration in force, indexed for looking up requests.
//!
//! [`Declared`] is the configuration as operators declare it and processes exchange it.
//! [`Catalog`] adds indexes by host and by API key.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::difference::Hash;
use super::name::{Model, Region, Service, Team};
use super::residency::{AllowedRegions, Residency};

/// Whether a route's requests may run more than once, and the form of their answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// A request may run again; the answer is one body.
    Safe,
    /// A request may run only once; the answer is one body.
    Unsafe,
    /// The answer is a stream of events.
    Stream {
        /// Whether another endpoint may continue the stream after any event.
        resumable: bool,
    },
}

impl Kind {
    /// Whether a request may run more than once.
    #[must_use]
    pub fn repeatable(self) -> bool {
        matches!(self, Self::Safe | Self::Stream { resumable: true })
    }

    /// Whether the answer is a stream of events.
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
    /// Its weight, relative to those of the route's other services.
    pub weight: u32,
}

/// The requests to a host and path prefix, and how they are served.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The operator's name for the route.
    pub name: String,
    /// The host, in lower case.
    pub host: String,
    /// The path prefix; begins and ends with a slash.
    pub prefix: String,
    /// The kind of its requests.
    pub kind: Kind,
    /// Maximum time for which a gateway holds a request.
    pub timeout: Duration,
    /// The time to the first byte, or first event, within which an answer has its full value.
    pub target: Duration,
    /// The longest pause between events with which a stream keeps its full value, if limited.
    pub target_gap: Option<Duration>,
    /// Its priority; 0 is the most urgent.
    pub priority: u8,
    /// The services that share its requests; never empty.
    pub shares: Vec<Share>,
    /// Maximum number of endpoints on which one request may run.
    pub attempts: u32,
    /// Whether requests need no API key.
    pub public: bool,
    /// The regions in which its requests may be served.
    pub allowed_regions: AllowedRegions,
}

impl Route {
    /// The service for a request, selected by weight with `spread`, a number that is evenly
    /// distributed over requests.
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

/// The performance of a model engine and the models it runs, as the operator declares them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Maximum number of requests in a batch.
    pub slots: u32,
    /// Number of tokens that fit into its KV cache.
    pub capacity: u64,
    /// Base duration of a decode step in milliseconds.
    pub step_ms: f64,
    /// Milliseconds that each decoding request adds to a step.
    pub per_request_ms: f64,
    /// Milliseconds that each 1,000 tokens of context add to a step.
    pub per_context_ms: f64,
    /// Prompt tokens processed per second (prefill).
    pub read_per_s: f64,
    /// Milliseconds of attention per million pairs of a prompt token and an earlier one.
    pub per_pairs_ms: f64,
    /// Maximum number of prompt tokens processed in a step (chunked prefill).
    pub chunk: u32,
    /// Number of steps in a pass with decoding requests.
    pub stride: u32,
    /// Number of tokens in a typical prompt.
    pub usual_prompt: u32,
    /// Number of tokens in a typical answer.
    pub usual_answer: u32,
    /// The models that it runs.
    pub models: Vec<Model>,
    /// Number of layers in a model.
    pub layers: u32,
    /// Number of chunks in a version's weights.
    pub chunks: u32,
    /// Size of a chunk in bytes.
    pub chunk_bytes: u32,
    /// The time to load staged weights into its layers.
    pub load: Duration,
}

/// The origin server of weights.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Origin {
    /// Its address.
    pub address: SocketAddr,
    /// Bandwidth of its link in bytes per second; zero if unknown.
    pub rate: f64,
}

/// A service that routes lead to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Backend {
    /// Its name.
    pub service: Service,
    /// Maximum number of connections to each of its endpoints.
    pub connections: u32,
    /// The origin that it runs, if it serves weights.
    pub origin: Option<Origin>,
    /// The performance of its endpoints, if they are model engines.
    pub engine: Option<Engine>,
    /// The throughput of its endpoints during warm-up, if it is lower than later.
    pub cold: Option<Cold>,
}

/// The throughput of an endpoint during its warm-up.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Cold {
    /// Duration of the warm-up.
    pub duration: Duration,
    /// Requests per second.
    pub requests_per_s: f64,
}

/// A team and its API keys.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Tenancy {
    /// The team.
    pub team: Team,
    /// Its keys.
    pub keys: Vec<String>,
    /// Its priority, which overrides a route's.
    pub priority: Option<u8>,
    /// The regions in which its requests may be served.
    pub allowed_regions: AllowedRegions,
}

/// Limits on what callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum size of a request's head in bytes.
    pub header_bytes: u32,
    /// Maximum size of a request's body in bytes.
    pub body_bytes: u64,
    /// Maximum time until a request's head is complete.
    pub header: Duration,
    /// Maximum idle time of a connection.
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

/// A whole configuration, as operators declare it and processes exchange it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Declared {
    /// The operator's version number, which only grows.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub backends: Vec<Backend>,
    /// The teams; empty if requests need no API key.
    pub tenancies: Vec<Tenancy>,
    /// Limits on what callers may send.
    pub limits: Limits,
}

/// About how many bytes a route, a service or a team takes in messages.
const ITEM_BYTES: usize = 200;

impl Declared {
    /// About how many bytes it takes in messages: work on it takes time in proportion.
    #[must_use]
    pub fn size(&self) -> usize {
        ITEM_BYTES * (self.routes.len() + self.backends.len() + self.tenancies.len())
    }
}

/// The result of checking a request's API key.
#[derive(Debug, Clone, PartialEq)]
pub enum Access<'a> {
    /// The route needs no key.
    Open,
    /// The key's team, with its priority if it has one.
    Team(&'a Team, Option<u8>),
    /// The request has no key, or one that no team has.
    Denied,
}

/// A configuration with its indexes.
#[derive(Debug, Default)]
// Invariants: `by_host` holds the index of every route, sorted by descending prefix length
// for each host; `by_key` maps every key to the index of its tenancy.
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
    /// The configuration without the indexes.
    #[must_use]
    pub fn declared(&self) -> &Declared {
        &self.declared
    }

    /// The hash of the configuration.
    #[must_use]
    pub fn hash(&self) -> Hash {
        self.hash
    }

    /// The route of a host and path: the one with the longest matching prefix.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.by_host.get(host)?.iter().map(|number| &self.declared.routes[*number]);
        routes.into_iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Checks a request's API key on a route.
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

    /// The limits on the regions that may serve a request with this API key on this route.
    #[must_use]
    pub fn residency(&self, route: &Route, key: Option<&str>) -> Residency {
        let number = key.filter(|_| !route.public).and_then(|key| self.by_key.get(key));
        let team = number.map(|number| self.declared.tenancies[*number].allowed_regions.clone());
        [route.allowed_regions.clone()].into_iter().chain(team).collect()
    }

    /// The regions that routes and teams name and for which `is_known` is false.
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

    /// The service with a name.
    #[must_use]
    pub fn backend(&self, service: &Service) -> Option<&Backend> {
        self.declared.backends.iter().find(|backend| backend.service == *service)
    }

    /// The origins of all services that serve weights.
    pub fn origins(&self) -> impl Iterator<Item = Origin> {
        self.declared.backends.iter().filter_map(|backend| backend.origin)
    }
}
