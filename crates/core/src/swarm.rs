//! Swarms: all replicas of the same weights, and who brings what from where.
//!
//! Everybody who knows a swarm's members computes the same roles, so no one
//! has to hand chunks out. For each chunk the members are ranked by rendezvous
//! hash. The first of all draws it from the origin. The first of each region
//! brings it into the region, and the first of each availability zone into the
//! zone, so that links between places carry it about once. Within a zone,
//! members trade.
//!
//! When a chunk stays away, a reserve steps in: for each chunk, three zones
//! may draw it from the origin too, one after the other. Which ones follows
//! from the hash, so the origin gives at most four copies even when zones
//! cannot talk to each other.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use cinderspoke_schema::control::{self, Peer};
use cinderspoke_types::digest::Digest;
use cinderspoke_types::id::{Region, Zone};

use crate::rendezvous::{Key, weight};

/// How many zones may draw a chunk besides the one that draws it first.
const RESERVE: usize = 3;

/// How many members of a zone may bring a chunk in, one after the other.
const IMPORTERS: u32 = 4;

/// With how many peers an instance trades in its own zone.
const NEAR: usize = 6;

/// How many peers beyond its zone an instance falls back on.
const FAR: usize = 4;

/// How near a peer is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// The same availability zone.
    Zone,
    /// The same region, another availability zone.
    Region,
    /// Another region.
    Far,
}

/// A member with what ranking needs.
#[derive(Debug, Clone)]
struct Member {
    peer: Peer,
    key: Key,
    zone: usize,
    region: usize,
}

/// A swarm as one of its members sees it.
#[derive(Debug, Clone)]
pub struct Swarm {
    manifest: Key,
    // Invariants: ordered by instance, and `members[own]` is this instance.
    members: Vec<Member>,
    own: usize,
    zones: Vec<Key>,
}

/// What an instance does about one chunk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Role {
    /// Whether it draws the chunk from the origin at once.
    pub fetches: bool,
    /// After how many times the patience it draws the chunk as a reserve; `None` for never.
    pub fallback_after: Option<u32>,
    /// After how many times the patience it brings the chunk in; `None` for never.
    pub import_after: Option<u32>,
    /// From whom it brings the chunk in, in this order.
    pub sources: Vec<usize>,
}

impl Swarm {
    /// The swarm of some weights; `own` joins it where the peers lack it.
    #[must_use]
    pub fn new(manifest: Digest, own: Peer, mut peers: Vec<Peer>) -> Self {
        peers.retain(|peer| peer.instance != own.instance);
        peers.push(own.clone());
        peers.sort_by(|left, right| left.instance.cmp(&right.instance));
        let zones = numbered(peers.iter().map(|peer| &peer.zone));
        let regions = numbered(peers.iter().map(|peer| &peer.region));
        let members = peers.iter().map(|peer| member(peer, &zones, &regions)).collect();
        let position = peers.iter().position(|peer| peer.instance == own.instance);
        Self {
            manifest: Key::of(&manifest.to_string()),
            members,
            own: position.unwrap_or_default(),
            zones: zones.keys().map(|zone| Key::of(zone.as_str())).collect(),
        }
    }

    /// This instance.
    #[must_use]
    pub fn own(&self) -> &Peer {
        &self.members[self.own].peer
    }

    /// A member by its number in a [`Role`].
    #[must_use]
    pub fn peer(&self, number: usize) -> Option<&Peer> {
        self.members.get(number).map(|member| &member.peer)
    }

    /// All members, this instance among them, ordered by instance.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.members.iter().map(|member| &member.peer)
    }

    /// The member from which this one draws in a binary tree; `None` for the root.
    #[must_use]
    pub fn parent(&self) -> Option<&Peer> {
        self.peer(self.own.checked_sub(1)? / 2)
    }

    /// How near a peer is to this instance.
    #[must_use]
    pub fn distance(&self, peer: &Peer) -> Distance {
        let own = self.own();
        if peer.zone == own.zone {
            Distance::Zone
        } else if peer.region == own.region {
            Distance::Region
        } else {
            Distance::Far
        }
    }

    /// What this instance does about a chunk.
    #[must_use]
    pub fn role(&self, chunk: usize) -> Role {
        let subject = self.manifest.with(Key::of_number(chunk as u64));
        let ranks: Vec<u64> =
            self.members.iter().map(|member| weight(subject, member.key)).collect();
        let own = &self.members[self.own];
        let first = |wanted: &dyn Fn(&Member) -> bool| {
            let wanted = (0..self.members.len()).filter(|number| wanted(&self.members[*number]));
            wanted.max_by_key(|number| ranks[*number])
        };
        let drawer = first(&|_| true).unwrap_or(self.own);
        let in_region = first(&|member| member.region == own.region).unwrap_or(self.own);
        let zone_rank = self.zone_rank(&ranks);
        // In the zone of the one that draws, the next member is the first to step in.
        let behind = u32::from(self.members[drawer].zone == own.zone);
        let step_in = zone_rank.saturating_sub(behind);
        let reserves = self.reserve_zones(subject, self.members[drawer].zone);
        let reserve = reserves.iter().position(|zone| *zone == own.zone);
        let mut sources = vec![in_region, drawer];
        sources.extend(reserves.iter().filter_map(|zone| first(&|member| member.zone == *zone)));
        Role {
            fetches: drawer == self.own,
            // The zones step in one after the other, then each zone's next member.
            fallback_after: reserve.map(|turn| turn as u32 + 1 + step_in * RESERVE as u32),
            import_after: (zone_rank < IMPORTERS).then_some(zone_rank),
            sources: self.distinct(sources),
        }
    }

    /// How many members of this instance's zone rank before it.
    fn zone_rank(&self, ranks: &[u64]) -> u32 {
        let zone = self.members[self.own].zone;
        let before =
            |number: &usize| self.members[*number].zone == zone && ranks[*number] > ranks[self.own];
        u32::try_from((0..ranks.len()).filter(before).count()).unwrap_or(u32::MAX / 8)
    }

    /// The zones that may draw a chunk too, in the order in which they step in.
    fn reserve_zones(&self, subject: Key, drawing: usize) -> Vec<usize> {
        let mut zones: Vec<_> = (0..self.zones.len()).collect();
        zones.sort_by_key(|zone| Reverse(weight(subject, self.zones[*zone])));
        // Where there are few zones, the one that draws has to help itself too.
        let keep_drawing = zones.len() <= RESERVE;
        zones.retain(|zone| keep_drawing || *zone != drawing);
        zones.truncate(RESERVE);
        zones
    }

    /// Each number once, in the order given, without this instance.
    fn distinct(&self, numbers: Vec<usize>) -> Vec<usize> {
        let mut distinct = Vec::new();
        for number in numbers {
            if number != self.own && !distinct.contains(&number) {
                distinct.push(number);
            }
        }
        distinct
    }

    /// The peers with whose holdings this instance keeps in touch, nearest first.
    #[must_use]
    pub fn neighbours(&self) -> Vec<&Peer> {
        let mut near = self.ranked(|distance| distance == Distance::Zone);
        let mut region = self.ranked(|distance| distance == Distance::Region);
        let mut far = self.ranked(|distance| distance == Distance::Far);
        near.truncate(NEAR);
        region.truncate(FAR / 2);
        far.truncate(FAR - region.len());
        near.extend(region);
        near.extend(far);
        near
    }

    fn ranked(&self, wanted: impl Fn(Distance) -> bool) -> Vec<&Peer> {
        let own = self.manifest.with(self.members[self.own].key);
        let others = self.members.iter().enumerate().filter(|(number, _)| *number != self.own);
        let members = others.map(|(_, member)| member);
        let mut ranked: Vec<_> =
            members.filter(|member| wanted(self.distance(&member.peer))).collect();
        ranked.sort_by_key(|member| Reverse(weight(own, member.key)));
        ranked.into_iter().map(|member| &member.peer).collect()
    }
}

/// A member of a zone as a member of a swarm.
#[must_use]
pub fn peer(member: &control::Member) -> Peer {
    Peer {
        instance: member.instance.clone(),
        zone: member.zone.clone(),
        region: member.region.clone(),
        address: member.address,
    }
}

/// Names in their order, with their numbers.
fn numbered<'a, T: Ord + Clone + 'a>(names: impl Iterator<Item = &'a T>) -> BTreeMap<T, usize> {
    let names: std::collections::BTreeSet<T> = names.cloned().collect();
    names.into_iter().zip(0..).collect()
}

fn member(peer: &Peer, zones: &BTreeMap<Zone, usize>, regions: &BTreeMap<Region, usize>) -> Member {
    Member {
        peer: peer.clone(),
        key: Key::of(peer.instance.as_str()),
        zone: zones[&peer.zone],
        region: regions[&peer.region],
    }
}
