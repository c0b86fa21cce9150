//! Which gateways of a region read the configuration from the platform, and from whom the others
//! fetch it.
//!
//! Two regions are connected by one link for all traffic. If every gateway fetched every
//! configuration over it, frequent changes would fill the link and none would arrive in time. So
//! a few gateways of each region, chosen by rank, are readers, and the other gateways of the
//! region fetch the configuration from a gateway that has it. A reader that is silent, or reports
//! that the platform does not answer it, is replaced by the next gateway in rank. A gateway that
//! gets a newer configuration from no gateway of its region fetches it from another region.
//!
//! [`Table`] holds the [`Announcement`]s of the other gateways and derives from them the [`Role`]
//! of this one and the next [`Step`] when its configuration is behind.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::gossip;
use super::name::Region;
use crate::rendezvous::Key;

/// The least number of readers in each region: the loss of one delays nothing.
const READERS: usize = 2;

/// The least number of readers in all regions together.
const ALL_READERS: usize = 4;

/// How often a reader sends its announcement to the other gateways of its region.
pub const BEACON_INTERVAL: Duration = Duration::from_millis(200);

/// How long after its last announcement a reader counts as one. Three consecutive announcements
/// are seldom lost, and what remains of the time in which a configuration has to be in force is
/// enough to read it.
const READER_TIMEOUT: Duration = Duration::from_millis(700);

/// How long a reader waits for the platform before it fetches from another region.
const READER_FETCH_DELAY: Duration = Duration::from_millis(60);

/// How long a follower waits for a gateway of its region to get a configuration before it fetches
/// from another region.
const FOLLOWER_FETCH_DELAY: Duration = Duration::from_millis(400);

/// How much longer each gateway waits than the one before it in rank. The first one to read, or to
/// fetch from another region, does it for all. This is more than two gateways need to receive
/// each other's announcement.
const RANK_DELAY: Duration = Duration::from_millis(150);

/// The longest delay by rank.
const MAX_RANK_DELAY: Duration = Duration::from_millis(750);

/// How long a follower waits for other gateways before it reads from the platform itself, besides
/// its delay by rank. It would have fetched from another region by then, and what it reads can
/// still be in force in time.
const OWN_READ_DELAY: Duration = Duration::from_millis(1000);

/// How long after its last announcement a gateway is removed: instances are replaced at other
/// addresses. A gateway among hundreds that is silent for as long is added again with its next
/// announcement.
const RETENTION: Duration = Duration::from_secs(600);

/// A short hash of a region's name, for messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tag(u16);

impl Tag {
    /// Returns the tag of a region.
    #[must_use]
    pub fn of(region: &Region) -> Self {
        Self(Key::of(region.as_str()).as_u64() as u16)
    }
}

/// What a gateway announces about itself.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Its region.
    pub region: Region,
    /// Whether it is a reader and the platform answers it.
    pub reads: bool,
}

/// Whether a gateway reads the configuration from the platform as it changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// It waits for changes from the platform.
    Reader,
    /// It gets changes from the gateways of its region, and polls the platform from time to time.
    Follower,
}

/// How a gateway whose configuration is behind gets the newest one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// It fetches it from a gateway of its own region.
    FetchNear(SocketAddr),
    /// It fetches it from a gateway of another region.
    FetchFar(SocketAddr),
    /// It waits for this long.
    Wait(Duration),
    /// No gateway is known to have a newer version that was not already queried for it.
    Idle,
}

#[derive(Debug, Clone)]
struct Peer {
    announcement: Announcement,
    rank: Key,
    last_contact: Duration,
    // The version that can be fetched from it; zero once it was queried.
    version: u64,
}

impl Peer {
    /// Returns whether it announced recently that it reads.
    fn reads_at(&self, now: Duration) -> bool {
        self.announcement.reads && self.last_contact + READER_TIMEOUT >= now
    }
}

/// What a gateway knows about the other gateways with regard to configurations.
#[derive(Debug, Clone, Default)]
pub struct Table {
    region: Region,
    rank: Key,
    // All known gateways besides this one.
    peers: BTreeMap<SocketAddr, Peer>,
    // Whether the platform answers this gateway.
    platform_answers: bool,
    // Whether this gateway is about to stop: all others rank before it then.
    draining: bool,
    // Since when too few gateways that rank before this one read; none while enough do.
    short_since: Option<Duration>,
}

impl Table {
    /// Creates the table of a gateway at an address in a region, without any other gateway.
    #[must_use]
    pub fn new(own: SocketAddr, region: Region) -> Self {
        Self { region, rank: rank(own), platform_answers: true, ..Self::default() }
    }

    /// Records another gateway's announcement and the version it has. Returns whether the gateway
    /// was unknown.
    pub fn observe(
        &mut self,
        from: SocketAddr,
        announcement: &Announcement,
        version: u64,
        now: Duration,
    ) -> bool {
        self.peers.retain(|_, peer| peer.last_contact + RETENTION >= now);
        let peer = Peer {
            announcement: announcement.clone(),
            rank: rank(from),
            last_contact: now,
            version,
        };
        self.peers.insert(from, peer).is_none()
    }

    /// Adds a gateway whose region was reported by others, unless it is known.
    pub fn add(&mut self, gateway: SocketAddr, region: Region, now: Duration) {
        let announcement = Announcement { region, reads: false };
        let peer = Peer { announcement, rank: rank(gateway), last_contact: now, version: 0 };
        self.peers.entry(gateway).or_insert(peer);
    }

    /// Returns the region of a gateway, if it is known.
    #[must_use]
    pub fn region_of(&self, gateway: SocketAddr) -> Option<&Region> {
        self.peers.get(&gateway).map(|peer| &peer.announcement.region)
    }

    /// Returns the other known gateways in a region.
    #[must_use]
    pub fn gateways_in(&self, region: &Region) -> Vec<SocketAddr> {
        let of_region = self.peers.iter().filter(|(_, peer)| peer.announcement.region == *region);
        of_region.map(|(gateway, _)| *gateway).collect()
    }

    /// Returns whether a gateway is known to be in the region of this one.
    #[must_use]
    pub fn is_local(&self, gateway: SocketAddr) -> bool {
        self.region_of(gateway) == Some(&self.region)
    }

    /// Sets whether the platform answers this gateway.
    pub fn set_platform_answers(&mut self, answers: bool) {
        self.platform_answers = answers;
    }

    /// Records that this gateway is about to stop. From now on it reads only if no other gateway
    /// does, and announces that while there is time for others to take over.
    pub fn start_draining(&mut self) {
        self.draining = true;
        self.short_since = None;
    }

    /// Records that a gateway was queried. It is not queried again before its next announcement.
    pub fn record_query(&mut self, gateway: SocketAddr) {
        if let Some(peer) = self.peers.get_mut(&gateway) {
            peer.version = 0;
        }
    }

    /// Returns whether this gateway reads, for the given number of regions.
    ///
    /// If too few of the gateways that rank before it read, the others become readers one after
    /// the other by rank, the first ones at once. The rest follow after a delay because some of
    /// the first may have ended, too.
    pub fn role(&mut self, regions: usize, now: Duration) -> Role {
        let readers = READERS.max(ALL_READERS.div_ceil(regions.max(1)));
        let missing = readers.saturating_sub(self.readers_before(now));
        if missing == 0 {
            self.short_since = None;
            return Role::Follower;
        }
        let since = *self.short_since.get_or_insert(now);
        let others = self.ranked_before(now).filter(|peer| !peer.announcement.reads).count();
        let delay = rank_delay((others + 1).saturating_sub(missing));
        if since + delay <= now { Role::Reader } else { Role::Follower }
    }

    /// Returns how many gateways that rank before this one read.
    fn readers_before(&self, now: Duration) -> usize {
        self.ranked_before(now).filter(|peer| peer.reads_at(now)).count()
    }

    /// Returns how many gateways read in all regions together.
    #[must_use]
    pub fn readers(regions: usize) -> usize {
        (READERS * regions).max(ALL_READERS)
    }

    /// Returns the announcement of this gateway.
    #[must_use]
    pub fn announcement(&mut self, regions: usize, now: Duration) -> Announcement {
        let role = self.role(regions, now);
        let reads = role == Role::Reader && self.platform_answers;
        Announcement { region: self.region.clone(), reads }
    }

    /// Returns whether this gateway sends updates to other regions: it is a reader, or no other
    /// gateway of its region is known to read.
    pub fn sends_to_other_regions(&mut self, regions: usize, now: Duration) -> bool {
        let others_read = self.peers.values().any(|peer| self.is_near(peer) && peer.reads_at(now));
        !others_read || self.role(regions, now) == Role::Reader
    }

    /// Returns the other gateways of the region.
    #[must_use]
    pub fn local_peers(&self) -> Vec<SocketAddr> {
        let near = self.peers.iter().filter(|(_, peer)| self.is_near(peer));
        near.map(|(gateway, _)| *gateway).collect()
    }

    /// Returns the next step of a gateway that has version `has` and has known of a newer one for
    /// `behind`. `random` is uniformly distributed between 0 and 1.
    #[must_use]
    pub fn next_step(
        &self,
        has: u64,
        behind: Duration,
        role: Role,
        now: Duration,
        random: f64,
    ) -> Step {
        if let Some(near) = self.newest_peer(has, true, random) {
            return Step::FetchNear(near);
        }
        let Some(far) = self.newest_peer(has, false, random) else {
            return Step::Idle;
        };
        let delay = match role {
            Role::Reader => READER_FETCH_DELAY,
            Role::Follower => FOLLOWER_FETCH_DELAY + rank_delay(self.ranked_before(now).count()),
        };
        match delay.saturating_sub(behind) {
            Duration::ZERO => Step::FetchFar(far),
            left => Step::Wait(left),
        }
    }

    /// Returns how long a follower that knows of a newer version waits for other gateways before it
    /// reads from the platform itself.
    #[must_use]
    pub fn own_read_delay(&self, now: Duration) -> Duration {
        OWN_READ_DELAY + rank_delay(self.ranked_before(now).count())
    }

    /// Returns one of the gateways that have the newest version inside or outside of the region, if
    /// that version is newer than `has`.
    fn newest_peer(&self, has: u64, near: bool, random: f64) -> Option<SocketAddr> {
        let peers = || self.peers.iter().filter(|(_, peer)| self.is_near(peer) == near);
        let newest = peers().map(|(_, peer)| peer.version).max().filter(|newest| *newest > has)?;
        let holders: Vec<_> = peers().filter(|(_, peer)| peer.version == newest).collect();
        let number = (random * holders.len() as f64) as usize;
        holders.get(number.min(holders.len() - 1)).map(|(gateway, _)| **gateway)
    }

    /// Returns the live gateways of the region that rank before this one.
    fn ranked_before(&self, now: Duration) -> impl Iterator<Item = &Peer> {
        let timeout = gossip::liveness_timeout(self.peers.len());
        let near = self.peers.values().filter(|peer| self.is_near(peer));
        near.filter(move |peer| {
            (self.draining || peer.rank > self.rank) && peer.last_contact + timeout >= now
        })
    }

    fn is_near(&self, peer: &Peer) -> bool {
        peer.announcement.region == self.region
    }
}

/// Returns the delay of a gateway that `before` others rank before.
fn rank_delay(before: usize) -> Duration {
    RANK_DELAY.saturating_mul(u32::try_from(before).unwrap_or(u32::MAX)).min(MAX_RANK_DELAY)
}

/// Returns the rank of a gateway, which all gateways compute from its address. The highest rank is
/// first.
fn rank(gateway: SocketAddr) -> Key {
    Key::of(&gateway.to_string())
}
