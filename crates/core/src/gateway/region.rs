//! Who of a region's gateways reads the configuration from the platform, and who asks whom
//! for it.
//!
//! Between two regions there is one link for all traffic. Were each gateway to draw each
//! configuration over it, changes that come quickly would fill it, and none would arrive in
//! time. So some gateways of each region read, by rank, and what one gateway of a region has
//! the others have from it. Whoever is silent, or says that the platform does not answer it,
//! is replaced by the next in rank; a gateway that gets nothing nearby asks far away itself.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::gossip;
use super::name::Region;
use crate::rendezvous::Key;

/// How many gateways of each region read, at least: the loss of one makes nothing late.
const READERS: usize = 2;

/// How many do in all regions together, at least.
const ALL_READERS: usize = 4;

/// How often one that reads tells the others of its region what it knows.
pub const BEACON_INTERVAL: Duration = Duration::from_millis(200);

/// For how long it may be silent: three beacons in a row are seldom lost, and what is left
/// of the time in which a configuration has to be in force is enough to read it.
const SILENCE: Duration = Duration::from_millis(700);

/// How long one that reads waits for the platform's own word before it asks another one.
const OWN_WORD: Duration = Duration::from_millis(60);

/// How long one that does not read waits until a gateway of its region has a configuration,
/// before it asks in another region.
const NEARBY: Duration = Duration::from_millis(400);

/// How much longer each one waits than the one before it in rank, and how much at most: the
/// first that reads, or asks far away, does it for all. More than two of them need to hear
/// of each other.
const EACH_RANK: Duration = Duration::from_millis(150);
const ALL_RANKS: Duration = Duration::from_millis(750);

/// How long one that follows waits for the others before it reads by itself, besides its
/// turn: after it would have asked far away, and in time for what it reads to be in force.
const ALONE: Duration = Duration::from_millis(1000);

/// After how long without a word a gateway is forgotten: instances are replaced at other
/// addresses. One of hundreds that is silent for as long is known again with its next word.
const GONE: Duration = Duration::from_secs(600);

/// Tells regions apart in few bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tag(u16);

impl Tag {
    /// The tag of a region.
    #[must_use]
    pub fn of(region: &Region) -> Self {
        Self(Key::of(region.as_str()).as_u64() as u16)
    }
}

/// What a gateway says of itself.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Its region.
    pub region: Region,
    /// Whether it reads the configuration, and the platform answers it.
    pub reads: bool,
}

/// Whether a gateway reads the configuration from the platform as it changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// It waits for the platform's news.
    Reader,
    /// It has them from the gateways of its region, and looks from time to time.
    Follower,
}

/// How a gateway that is behind gets the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// It asks one of its own region.
    FetchNear(SocketAddr),
    /// It asks one of another region.
    FetchFar(SocketAddr),
    /// It waits.
    Wait(Duration),
    /// Nobody is known who has more, or was not asked since it said so.
    Idle,
}

#[derive(Debug, Clone)]
struct Peer {
    announcement: Announcement,
    rank: Key,
    heard: Duration,
    // The version that it may be asked for; zero once it was.
    version: u64,
}

impl Peer {
    /// Whether it reads, and lives.
    fn reads_at(&self, now: Duration) -> bool {
        self.announcement.reads && self.heard + SILENCE >= now
    }
}

/// What a gateway knows of the others with regard to configurations.
#[derive(Debug, Clone, Default)]
pub struct Table {
    region: Region,
    rank: Key,
    // Of all gateways that were heard of by themselves.
    peers: BTreeMap<SocketAddr, Peer>,
    // Whether the platform answers this one.
    answered: bool,
    // Whether this one is about to stop: all others come before it then.
    draining: bool,
    // Since when too few read who come before this one; none while enough do.
    short_since: Option<Duration>,
}

impl Table {
    /// What a gateway at an address in a region knows at first.
    #[must_use]
    pub fn new(own: SocketAddr, region: Region) -> Self {
        Self { region, rank: rank(own), answered: true, ..Self::default() }
    }

    /// Takes in that another gateway said what it is and which version it has; true when it
    /// was not heard of before.
    pub fn observe(
        &mut self,
        from: SocketAddr,
        announcement: &Announcement,
        version: u64,
        now: Duration,
    ) -> bool {
        self.peers.retain(|_, peer| peer.heard + GONE >= now);
        let peer =
            Peer { announcement: announcement.clone(), rank: rank(from), heard: now, version };
        self.peers.insert(from, peer).is_none()
    }

    /// Adds a gateway of which others say in which region it is, unless it is known.
    pub fn add(&mut self, gateway: SocketAddr, region: Region, now: Duration) {
        let announcement = Announcement { region, reads: false };
        let peer = Peer { announcement, rank: rank(gateway), heard: now, version: 0 };
        self.peers.entry(gateway).or_insert(peer);
    }

    /// The region of a gateway, where it is known.
    #[must_use]
    pub fn region_of(&self, gateway: SocketAddr) -> Option<&Region> {
        self.peers.get(&gateway).map(|peer| &peer.announcement.region)
    }

    /// The other gateways that are known of a region.
    #[must_use]
    pub fn gateways_in(&self, region: &Region) -> Vec<SocketAddr> {
        let of_region = self.peers.iter().filter(|(_, peer)| peer.announcement.region == *region);
        of_region.map(|(gateway, _)| *gateway).collect()
    }

    /// Whether a gateway is known to be of this region.
    #[must_use]
    pub fn is_local(&self, gateway: SocketAddr) -> bool {
        self.region_of(gateway) == Some(&self.region)
    }

    /// Takes in whether the platform answers this gateway.
    pub fn set_platform_answers(&mut self, answered: bool) {
        self.answered = answered;
    }

    /// Takes in that this gateway is about to stop: it reads only where no other one does,
    /// and says so while those who are to take over have time to.
    pub fn start_draining(&mut self) {
        self.draining = true;
        self.short_since = None;
    }

    /// Takes in that a gateway was asked; it is not asked again before it says more.
    pub fn record_query(&mut self, gateway: SocketAddr) {
        if let Some(peer) = self.peers.get_mut(&gateway) {
            peer.version = 0;
        }
    }

    /// Whether this gateway reads, where there are so many regions.
    ///
    /// Where too few do who come before it, each of the others gets its turn, the first ones
    /// at once: some of them may have ended, too.
    pub fn role(&mut self, regions: usize, now: Duration) -> Role {
        let readers = READERS.max(ALL_READERS.div_ceil(regions.max(1)));
        let missing = readers.saturating_sub(self.readers_before(now));
        if missing == 0 {
            self.short_since = None;
            return Role::Follower;
        }
        let since = *self.short_since.get_or_insert(now);
        let others = self.before(now).filter(|peer| !peer.announcement.reads).count();
        let turn = turn((others + 1).saturating_sub(missing));
        if since + turn <= now { Role::Reader } else { Role::Follower }
    }

    /// How many read who come before this one.
    fn readers_before(&self, now: Duration) -> usize {
        self.before(now).filter(|peer| peer.reads_at(now)).count()
    }

    /// How many read in all regions together.
    #[must_use]
    pub fn readers(regions: usize) -> usize {
        (READERS * regions).max(ALL_READERS)
    }

    /// What this gateway says of itself.
    #[must_use]
    pub fn announcement(&mut self, regions: usize, now: Duration) -> Announcement {
        let role = self.role(regions, now);
        let reads = role == Role::Reader && self.answered;
        Announcement { region: self.region.clone(), reads }
    }

    /// Whether this gateway tells other regions of news: it reads, or no other gateway of the
    /// region is heard to.
    pub fn sends_to_other_regions(&mut self, regions: usize, now: Duration) -> bool {
        let others_read = self.peers.values().any(|peer| self.is_near(peer) && peer.reads_at(now));
        !others_read || self.role(regions, now) == Role::Reader
    }

    /// The gateways of the region besides this one.
    #[must_use]
    pub fn local_peers(&self) -> Vec<SocketAddr> {
        let near = self.peers.iter().filter(|(_, peer)| self.is_near(peer));
        near.map(|(gateway, _)| *gateway).collect()
    }

    /// How a gateway goes on that has a version, and has known of a newer one for a time;
    /// `draw` is drawn evenly between 0 and 1.
    #[must_use]
    pub fn next_step(
        &self,
        has: u64,
        behind: Duration,
        role: Role,
        now: Duration,
        draw: f64,
    ) -> Step {
        if let Some(near) = self.holder(has, true, draw) {
            return Step::FetchNear(near);
        }
        let Some(far) = self.holder(has, false, draw) else {
            return Step::Idle;
        };
        let patience = match role {
            Role::Reader => OWN_WORD,
            Role::Follower => NEARBY + turn(self.before(now).count()),
        };
        match patience.saturating_sub(behind) {
            Duration::ZERO => Step::FetchFar(far),
            left => Step::Wait(left),
        }
    }

    /// How long one that follows waits for the others, when it knows of a newer version,
    /// before it reads by itself.
    #[must_use]
    pub fn own_read_delay(&self, now: Duration) -> Duration {
        ALONE + turn(self.before(now).count())
    }

    /// One of the gateways that have the newest version, near or far, if it is newer than
    /// one.
    fn holder(&self, has: u64, near: bool, draw: f64) -> Option<SocketAddr> {
        let peers = || self.peers.iter().filter(|(_, peer)| self.is_near(peer) == near);
        let newest = peers().map(|(_, peer)| peer.version).max().filter(|newest| *newest > has)?;
        let holders: Vec<_> = peers().filter(|(_, peer)| peer.version == newest).collect();
        let number = (draw * holders.len() as f64) as usize;
        holders.get(number.min(holders.len() - 1)).map(|(gateway, _)| **gateway)
    }

    /// The gateways of the region that come before this one in rank, as far as is known.
    fn before(&self, now: Duration) -> impl Iterator<Item = &Peer> {
        let patience = gossip::liveness_timeout(self.peers.len());
        let near = self.peers.values().filter(|peer| self.is_near(peer));
        near.filter(move |peer| {
            (self.draining || peer.rank > self.rank) && peer.heard + patience >= now
        })
    }

    fn is_near(&self, peer: &Peer) -> bool {
        peer.announcement.region == self.region
    }
}

/// How much longer a gateway waits before which so many come.
fn turn(before: usize) -> Duration {
    EACH_RANK.saturating_mul(u32::try_from(before).unwrap_or(u32::MAX)).min(ALL_RANKS)
}

/// The rank of a gateway, the same for all who know its address: the highest is first.
fn rank(gateway: SocketAddr) -> Key {
    Key::of(&gateway.to_string())
}
