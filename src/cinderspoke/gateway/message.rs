//! Messages between the system's processes, and their datagrams.
//!
//! Datagrams may be lost, duplicated or delayed; their content is sent again or can be fetched
//! over HTTP. All messages are encoded with `postcard`, by position: what a build does not know may
//! only follow after a message ([`Supplement`]).

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use cinderspoke_core::gateway::catalog::{Declared, Origin};
use cinderspoke_core::gateway::demand;
use cinderspoke_core::gateway::difference::Difference;
use cinderspoke_core::gateway::directory::Directory;
use cinderspoke_core::gateway::evacuation;
use cinderspoke_core::gateway::fact::{Fact, Revision};
use cinderspoke_core::gateway::fingerprint::Fingerprint;
use cinderspoke_core::gateway::limit;
use cinderspoke_core::gateway::listing::Layout;
use cinderspoke_core::gateway::load::Report;
use cinderspoke_core::gateway::name::{Region, Service, Zone};
use cinderspoke_core::gateway::notice;
use cinderspoke_core::gateway::outage::Ago;
use cinderspoke_core::gateway::region::{self, Announcement};
use cinderspoke_core::gateway::returns;
use cinderspoke_core::gateway::rollout::Rollout;
use cinderspoke_core::gateway::suspect::{Part, Update};
use cinderspoke_core::gateway::tally::Outstanding;
use cinderspoke_core::gateway::timeline::Ages;
use cinderspoke_core::rendezvous::Key;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::time::sleep;

/// The largest datagram that can be received, in bytes: several times a link's packet.
const MAX_DATAGRAM: usize = 16 << 10;

/// How long to wait after receiving a datagram failed.
const RECEIVE_BACKOFF: Duration = Duration::from_millis(5);

/// A summary of a gateway's state, from which the receiver sees whether it has newer data.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// The version of the configuration in force.
    pub configuration: u64,
    /// The last revision of the store at which that configuration is known to be the newest.
    pub configuration_revision: Revision,
    /// The gateway's region and role.
    pub announcement: Announcement,
    /// The versions that were named, and for how long.
    pub ages: Ages,
    /// The last revision of the store at which these versions are known to be complete.
    pub rollout_revision: Revision,
    /// The revision of the list of endpoints.
    pub directory: Revision,
    /// The hash of the list of endpoints.
    pub directory_hash: u64,
    /// The evacuated availability zones, if known.
    pub evacuated: Option<Fact<BTreeSet<Zone>>>,
    /// How long ago the store is known to have answered any gateway, newest answer first.
    pub store_answers: Vec<Ago>,
    /// Updates on requests during which endpoints ended.
    pub suspects: Vec<Update<Fingerprint>>,
    /// Endpoints that announced that they are draining.
    pub draining: Vec<notice::Update>,
}

/// A gateway as named to other processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayInfo {
    /// Its address for other processes.
    pub address: SocketAddr,
    /// The tag of its region, if known.
    pub region: Option<region::Tag>,
}

/// A message that is sent over UDP.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Datagram {
    /// A summary of the state of a gateway.
    Digest {
        /// The address from which newer data can be fetched.
        from: SocketAddr,
        /// The summary.
        summary: Summary,
        /// Some other gateways.
        gateways: Vec<GatewayInfo>,
    },
    /// An agent's report on the load of its engine.
    Report {
        /// The agent.
        from: SocketAddr,
        /// The engine's address.
        engine: SocketAddr,
        /// The engine's service.
        service: Service,
        /// Its load.
        report: Report,
        /// The hash of the plan that the agent knows.
        plan_hash: u64,
        /// When the agent sent the report, by its own clock: shows delays on the way.
        sent_at: Duration,
        /// Whether the agent asks for an echo.
        echo: bool,
        /// The versions that were named and for how long, in reports that ask for an echo.
        /// Agents outlive gateways, so a gateway may get from them what no other gateway knows.
        ages: Ages,
        /// The number of the query that the report answers, if any.
        query: Option<u64>,
    },
    /// A gateway's answer to a report, which shows the agent that the gateway is reachable.
    Echo {
        /// The gateway.
        from: SocketAddr,
        /// The report's `sent_at`.
        report_sent_at: Duration,
    },
    /// A gateway subscribes to the reports of an agent for a limited time.
    Subscribe {
        /// The gateway.
        from: SocketAddr,
    },
    /// A gateway's outstanding requests at an agent's engine.
    Outstanding {
        /// The gateway.
        from: SocketAddr,
        /// The outstanding requests.
        outstanding: Outstanding,
        /// When it was sent, by the gateway's own clock: reordered datagrams are detected by it.
        sent_at: Duration,
        /// All reservations that the gateway queried before this time, by its own clock, are
        /// either used or released.
        decided_before: Duration,
    },
    /// A gateway queries an agent and reserves room at its engine. The agent answers with a
    /// report.
    Query {
        /// The gateway.
        from: SocketAddr,
        /// Identifies the query among those of the gateway.
        number: u64,
        /// When it was sent, by the gateway's own clock.
        sent_at: Duration,
        /// The prompt tokens of the request that the reservation is for.
        prompt_tokens: u32,
    },
    /// A gateway announces a plan that an agent may not know.
    Hint {
        /// The gateway from which it can be fetched.
        from: SocketAddr,
        /// The gateway's region.
        region: Region,
        /// The hash of the plan.
        plan_hash: u64,
    },
    /// A gateway's news of requests that it refused, or that returned to it, for the other gateways
    /// of its region. An older build cannot decode it and continues without it.
    Returns {
        /// The gateway.
        from: SocketAddr,
        /// The updates.
        updates: Vec<returns::Update>,
    },
}

/// A configuration as sent to another gateway.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Configuration {
    /// The whole configuration.
    Whole(Declared),
    /// The difference from the requester's configuration.
    Changed(Difference),
}

impl Configuration {
    /// Its version.
    #[must_use]
    pub fn version(&self) -> u64 {
        match self {
            Self::Whole(declared) => declared.version,
            Self::Changed(difference) => difference.version(),
        }
    }

    /// About how many bytes it takes in messages, if it may be large.
    #[must_use]
    pub fn size(&self) -> usize {
        match self {
            Self::Whole(declared) => declared.size(),
            Self::Changed(_) => 0,
        }
    }
}

/// The answer of a gateway to a request for newer data.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Facts {
    /// The configuration, if it is newer than the requester's.
    pub configuration: Option<Fact<Configuration>>,
    /// The list of endpoints, if it is newer than the requester's and differs from it.
    pub directory: Option<Fact<Directory>>,
    /// Other gateways.
    pub gateways: Vec<GatewayInfo>,
    /// Updates on requests during which endpoints ended.
    pub suspects: Vec<Update<Fingerprint>>,
}

/// An engine of a service, as agents see it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Peer {
    /// The engine's address; its agent is on the same instance.
    pub engine: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// The region of its availability zone.
    pub region: String,
}

/// What the agents of a service need to know.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// The revision of the list of endpoints from which it was made.
    pub revision: Revision,
    /// The versions that models are to have.
    pub rollout: Rollout,
    /// For how long the versions have been named.
    pub ages: Ages,
    /// The models of the service.
    pub models: Vec<String>,
    /// The origins of weights.
    pub origins: Vec<Origin>,
    /// The engines of the service.
    pub peers: Vec<Peer>,
    /// How the weights of its models are divided, if that is declared. Follows the packed plan; an
    /// earlier build neither sends nor reads it.
    #[serde(skip)]
    pub layout: Option<Layout>,
}

impl Plan {
    /// Hashes the plan without its revision and the ages of its versions.
    #[must_use]
    pub fn hash(&self) -> u64 {
        let layout = self.layout.map(|layout| format!("{layout:?}")).unwrap_or_default();
        Key::of(&(self.text() + &layout)).as_u64()
    }

    /// The hash by which a gateway of an earlier build, which sends no layout, names the plan.
    #[must_use]
    pub fn hash_without_layout(&self) -> u64 {
        Key::of(&self.text()).as_u64()
    }

    fn text(&self) -> String {
        let Self { rollout, models, origins, peers, .. } = self;
        format!("{rollout:?}{models:?}{origins:?}{peers:?}")
    }

    /// Packs the plan for an agent.
    #[must_use]
    pub fn pack(&self) -> Vec<u8> {
        let mut packed = pack(self);
        packed.extend(pack(&self.layout));
        packed
    }

    /// Unpacks a plan, which may be that of a build without layouts.
    ///
    /// # Errors
    ///
    /// When the bytes are no plan.
    pub fn unpack(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let (plan, rest) = postcard::take_from_bytes::<Self>(bytes)?;
        let (layout, _) = unpack_field(rest)?;
        Ok(Self { layout, ..plan })
    }
}

/// What follows a packed [`Datagram::Digest`] in its datagram. A build that does not know it stops
/// reading before it, and a datagram without it has none of this.
// Invariant: new fields are added at the end, and only read where bytes are left.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Supplement {
    /// What endpoints said of their limits.
    pub limits: Vec<limit::Update>,
    /// Updates on parts of prompts during which endpoints ended.
    pub parts: Vec<Update<Part>>,
    /// Runs of endpoints that are gone although an older copy of the store lists them.
    pub gone: Vec<notice::Update>,
    /// Zones that stay evacuated although an older copy of the store lacks them.
    pub zones: Vec<evacuation::Update>,
    /// The requests that gateways receive.
    pub demands: Vec<demand::Update>,
}

impl Supplement {
    /// Unpacks a supplement, which may be that of a build which knows fewer fields.
    fn unpack(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let (limits, rest) = unpack_field(bytes)?;
        let (parts, rest) = unpack_field(rest)?;
        let (gone, rest) = unpack_field(rest)?;
        let (zones, rest) = unpack_field(rest)?;
        let (demands, _) = unpack_field(rest)?;
        Ok(Self { limits, parts, gone, zones, demands })
    }
}

/// Unpacks a field and returns what follows it; the default where no bytes are left.
pub(crate) fn unpack_field<T: Default + DeserializeOwned>(
    bytes: &[u8],
) -> Result<(T, &[u8]), postcard::Error> {
    if bytes.is_empty() { Ok((T::default(), bytes)) } else { postcard::take_from_bytes(bytes) }
}

/// Packs a digest with its supplement.
#[must_use]
pub fn pack_digest(digest: &Datagram, supplement: &Supplement) -> Vec<u8> {
    let mut packed = pack(digest);
    packed.extend(pack(supplement));
    packed
}

/// Unpacks a datagram and its supplement.
///
/// # Errors
///
/// When the bytes are no datagram of this build.
pub fn unpack(bytes: &[u8]) -> Result<(Datagram, Supplement), postcard::Error> {
    let (datagram, rest) = postcard::take_from_bytes(bytes)?;
    Ok((datagram, Supplement::unpack(rest)?))
}

/// Packs a message.
pub fn pack<T: Serialize>(message: &T) -> Vec<u8> {
    postcard::to_stdvec(message).unwrap_or_else(|error| {
        // Only maps and sequences of unknown length fail, and no message has one.
        tracing::error!(%error, "a message could not be packed");
        Vec::new()
    })
}

/// Sends a datagram. A failure is logged only, since the next datagram replaces a lost one.
pub async fn send(socket: &UdpSocket, to: SocketAddr, bytes: &[u8]) {
    if let Err(error) = socket.send_to(bytes, to).await {
        tracing::debug!(%to, %error, "a datagram was not sent");
    }
}

/// Receives the next datagram that can be decoded.
pub async fn receive(socket: &UdpSocket, buffer: &mut [u8]) -> Datagram {
    receive_with_supplement(socket, buffer).await.0
}

/// Receives the next datagram that can be decoded, with its supplement.
pub async fn receive_with_supplement(
    socket: &UdpSocket,
    buffer: &mut [u8],
) -> (Datagram, Supplement) {
    loop {
        let received = match socket.recv_from(buffer).await {
            Ok((length, _)) => unpack(&buffer[..length]),
            Err(error) => {
                tracing::debug!(%error, "receiving a datagram failed");
                sleep(RECEIVE_BACKOFF).await;
                continue;
            }
        };
        match received {
            Ok(received) => return received,
            Err(error) => tracing::debug!(%error, "a datagram cannot be decoded"),
        }
    }
}

/// A receive buffer for datagrams.
#[must_use]
pub fn buffer() -> Vec<u8> {
    vec![0; MAX_DATAGRAM]
}
