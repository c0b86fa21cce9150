//! Messages between the system's processes, and their datagrams.
//!
//! Datagrams may be lost, doubled or late; whatever they say is said again, or
//! can be asked for over HTTP. All messages are packed with `postcard`, so both
//! sides have to be of one build.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use cinderspoke_core::gateway::catalog::{Declared, Origin};
use cinderspoke_core::gateway::difference::Difference;
use cinderspoke_core::gateway::directory::Directory;
use cinderspoke_core::gateway::fact::{Fact, Revision};
use cinderspoke_core::gateway::load::Report;
use cinderspoke_core::gateway::name::{Region, Service, Zone};
use cinderspoke_core::gateway::notice;
use cinderspoke_core::gateway::outage::Ago;
use cinderspoke_core::gateway::region::{self, Announcement};
use cinderspoke_core::gateway::rollout::Rollout;
use cinderspoke_core::gateway::suspect::Update;
use cinderspoke_core::gateway::tally::Outstanding;
use cinderspoke_core::gateway::timeline::Ages;
use cinderspoke_core::rendezvous::Key;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::time::sleep;

/// The largest datagram: what fits into a link's packet several times over.
const MAX_DATAGRAM: usize = 16 << 10;

/// How long to wait after a datagram could not be received.
const RECEIVE_PAUSE: Duration = Duration::from_millis(5);

/// What a process knows, in a few words.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// The version of the configuration in force.
    pub configuration: u64,
    /// The last revision of the store at which that one is known to be the newest.
    pub configuration_revision: Revision,
    /// What the process is, if it is a gateway.
    pub announcement: Announcement,
    /// The versions that were named, and for how long.
    pub ages: Ages,
    /// The last revision of the store at which those are known to be all.
    pub rollout_revision: Revision,
    /// The revision of the list of endpoints.
    pub directory: Revision,
    /// Tells lists of endpoints apart.
    pub directory_hash: u64,
    /// The availability zones that are emptied, where that is known.
    pub evacuated: Option<Fact<BTreeSet<Zone>>>,
    /// How long ago the platform answered any gateway, as far as is known, the last
    /// answers first.
    pub store_answers: Vec<Ago>,
    /// Requests under which endpoints ended.
    pub suspects: Vec<Update>,
    /// Endpoints that leave, as they themselves said.
    pub draining: Vec<notice::Update>,
}

/// A gateway as others name it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayInfo {
    /// Where it is reached.
    pub address: SocketAddr,
    /// The tag of its region, where that is known.
    pub region: Option<region::Tag>,
}

/// What goes between processes without an answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Datagram {
    /// A gateway says what it knows.
    Digest {
        /// Where it can be asked for more.
        from: SocketAddr,
        /// What it knows.
        summary: Summary,
        /// Other gateways that it knows of.
        gateways: Vec<GatewayInfo>,
    },
    /// An agent says what its engine is busy with.
    Report {
        /// The agent.
        from: SocketAddr,
        /// Where the engine answers.
        engine: SocketAddr,
        /// The engine's service.
        service: Service,
        /// What it is busy with.
        report: Report,
        /// The plan that the agent knows.
        plan_hash: u64,
        /// The agent's own time, which tells how long the report was on its way.
        sent_at: Duration,
        /// Whether the agent asks for an echo.
        echo: bool,
        /// The versions that were named, and for how long, where it asks: agents
        /// outlive gateways, which learn from them what no other gateway knows.
        ages: Ages,
        /// The number of the question that it answers, if it does.
        query: Option<u64>,
    },
    /// A gateway answers a report, so that the agent knows that it is reached.
    Echo {
        /// Who answers.
        from: SocketAddr,
        /// The time that the report told.
        report_sent_at: Duration,
    },
    /// A gateway wants an agent's reports for a while.
    Subscribe {
        /// The gateway.
        from: SocketAddr,
    },
    /// A gateway says what it has outstanding at an agent's engine.
    Outstanding {
        /// The gateway.
        from: SocketAddr,
        /// Its requests there.
        outstanding: Outstanding,
        /// The gateway's own time, by which overtaken datagrams are known.
        sent_at: Duration,
        /// All places that it asked for before this time of its own are decided on.
        decided_before: Duration,
    },
    /// A gateway asks for a place at an agent's engine; the agent answers with a report.
    Query {
        /// The gateway.
        from: SocketAddr,
        /// Tells what the gateway asks at a time from what it asks at another.
        number: u64,
        /// The gateway's own time.
        sent_at: Duration,
        /// The prompt tokens of the request that it is for.
        prompt_tokens: u32,
    },
    /// A gateway says that there is a plan that an agent may not know.
    Hint {
        /// Where it can be read.
        from: SocketAddr,
        /// The region of who tells it.
        region: Region,
        /// Tells plans apart.
        plan_hash: u64,
    },
}

/// A configuration, as it is told to a gateway.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Configuration {
    /// All of it.
    Whole(Declared),
    /// What differs from the one that the asker has.
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
}

/// All that a gateway can tell another.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Facts {
    /// The configuration, if it is newer than the asker's.
    pub configuration: Option<Fact<Configuration>>,
    /// The endpoints, if the list is newer than the asker's and another one.
    pub directory: Option<Fact<Directory>>,
    /// Other gateways.
    pub gateways: Vec<GatewayInfo>,
    /// Requests under which endpoints ended.
    pub suspects: Vec<Update>,
}

/// An engine of a service, as agents see it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Peer {
    /// Where the engine answers; its agent is on the same instance.
    pub engine: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// The region of its availability zone.
    pub region: String,
}

/// What agents have to know of their service.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// When it held.
    pub revision: Revision,
    /// The versions that models are to have.
    pub rollout: Rollout,
    /// For how long they have been named.
    pub ages: Ages,
    /// The models of the service.
    pub models: Vec<String>,
    /// Where weights come from at first.
    pub origins: Vec<Origin>,
    /// The engines of the service.
    pub peers: Vec<Peer>,
}

impl Plan {
    /// Tells plans apart, whenever they held and however old their versions are.
    #[must_use]
    pub fn hash(&self) -> u64 {
        let Self { rollout, models, origins, peers, .. } = self;
        Key::of(&format!("{rollout:?}{models:?}{origins:?}{peers:?}")).as_u64()
    }
}

/// Packs a message.
pub fn pack<T: Serialize>(message: &T) -> Vec<u8> {
    postcard::to_stdvec(message).unwrap_or_else(|error| {
        // Only a map or sequence of unknown length fails, and there is none.
        tracing::error!(%error, "a message could not be packed");
        Vec::new()
    })
}

/// Sends a datagram; a lost one is made good by the next.
pub async fn send(socket: &UdpSocket, to: SocketAddr, bytes: &[u8]) {
    if let Err(error) = socket.send_to(bytes, to).await {
        tracing::debug!(%to, %error, "a datagram was not sent");
    }
}

/// Receives the next datagram that can be read.
pub async fn receive(socket: &UdpSocket, buffer: &mut [u8]) -> Datagram {
    loop {
        let received = match socket.recv_from(buffer).await {
            Ok((length, _)) => postcard::from_bytes(&buffer[..length]),
            Err(error) => {
                tracing::debug!(%error, "receiving a datagram failed");
                sleep(RECEIVE_PAUSE).await;
                continue;
            }
        };
        match received {
            Ok(datagram) => return datagram,
            Err(error) => tracing::debug!(%error, "a datagram cannot be decoded"),
        }
    }
}

/// A buffer for datagrams.
#[must_use]
pub fn buffer() -> Vec<u8> {
    vec![0; MAX_DATAGRAM]
}
