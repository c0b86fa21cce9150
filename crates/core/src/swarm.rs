//! Swarms: the instances that need the same weights, and the role of each for each chunk.
//!
//! Every instance that knows the members of a swarm computes the same roles, so
//! that no coordinator needs to assign chunks. For each chunk, the members are
//! ranked by rendezvous hash. The first of all members is assigned to fetch the
//! chunk from the origin. The first member of each region imports it into the
//! region, and the first of each availability zone into the zone, so that links
//! between zones and regions carry it about once. Within a zone, members
//! exchange chunks.
//!
//! If a chunk times out, fallbacks act: for each chunk, members of three zones
//! may also fetch it from the origin, one after the other. The hash selects the
//! zones, so that the origin sends at most four copies even if zones cannot
//! reach each other.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use cinderspoke_schema::control::{self, Peer};
use cinderspoke_types::digest::Digest;
use cinderspoke_types::id::{Region, Zone};

use crate::rendezvous::{Key, weight};

/// The number of zones that may fetch a chunk from the origin besides the assigned one.
const FALLBACK_ZONES: usize = 3;

/// The number of members of a zone that may import a chunk, one after the other.
const MAX_IMPORTERS: u32 = 4;

/// The maximum number of neighbours in an instance's own zone.
const ZONE_NEIGHBOURS: usize = 6;

/// The maximum number of neighbours in other zones, for chunks that have timed out.
const OUTER_NEIGHBOURS: usize = 4;

/// The network distance of a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// The same availability zone.
    Zone,
    /// The same region, another availability zone.
    Region,
    /// Another region.
    Far,
}

/// A member with its hashed name and the numbers of its zone and region.
#[derive(Debug, Clone)]
struct Member {
    peer: Peer,
    key: Key,
    zone: usize,
    region: usize,
}

/// A swarm from the point of view of one member, this instance.
#[derive(Debug, Clone)]
pub struct Swarm {
    manifest: Key,
    // Invariants: ordered by instance, and `members[own]` is this instance.
    members: Vec<Member>,
    own: usize,
    zones: Vec<Key>,
}

/// The role of an instance for one chunk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Role {
    /// Whether the instance is assigned to fetch the chunk from the origin.
    pub fetches: bool,
    /// After how many fallback timeouts the instance fetches the chunk from the origin as a
    /// fallback; `None` for never.
    pub fallback_after: Option<u32>,
    /// After how many fallback timeouts the instance imports the chunk into its zone; `None` for
    /// never.
    pub import_after: Option<u32>,
    /// The members to import the chunk from, in this order, by their numbers in the swarm.
    pub sources: Vec<usize>,
}

impl Swarm {
    /// Creates the swarm of some weights. `own` is added if `peers` lacks it.
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

    /// The parent of this instance in a binary tree of the members; `None` for the root.
    #[must_use]
    pub fn parent(&self) -> Option<&Peer> {
        self.peer(self.own.checked_sub(1)? / 2)
    }

    /// The distance from this instance to a peer.
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

    /// The role of this instance for a chunk.
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
        let assigned = first(&|_| true).unwrap_or(self.own);
        let in_region = first(&|member| member.region == own.region).unwrap_or(self.own);
        let zone_rank = self.zone_rank(&ranks);
        // In the zone of the assigned member, the next member is the first fallback.
        let skipped = u32::from(self.members[assigned].zone == own.zone);
        let fallback_rank = zone_rank.saturating_sub(skipped);
        let fallbacks = self.fallback_zones(subject, self.members[assigned].zone);
        let fallback = fallbacks.iter().position(|zone| *zone == own.zone);
        let mut sources = vec![in_region, assigned];
        sources.extend(fallbacks.iter().filter_map(|zone| first(&|member| member.zone == *zone)));
        Role {
            fetches: assigned == self.own,
            // The fallback zones act one after the other, then each zone's next member.
            fallback_after: fallback
                .map(|position| position as u32 + 1 + fallback_rank * FALLBACK_ZONES as u32),
            import_after: (zone_rank < MAX_IMPORTERS).then_some(zone_rank),
            sources: self.distinct(sources),
        }
    }

    /// The number of members of this instance's zone that rank before it.
    fn zone_rank(&self, ranks: &[u64]) -> u32 {
        let zone = self.members[self.own].zone;
        let before =
            |number: &usize| self.members[*number].zone == zone && ranks[*number] > ranks[self.own];
        u32::try_from((0..ranks.len()).filter(before).count()).unwrap_or(u32::MAX / 8)
    }

    /// The zones that may also fetch a chunk from the origin, in the order in which they act.
    fn fallback_zones(&self, subject: Key, assigned: usize) -> Vec<usize> {
        let mut zones: Vec<_> = (0..self.zones.len()).collect();
        zones.sort_by_key(|zone| Reverse(weight(subject, self.zones[*zone])));
        // With few zones, the assigned member's own zone is needed as a fallback too.
        let keep_assigned = zones.len() <= FALLBACK_ZONES;
        zones.retain(|zone| keep_assigned || *zone != assigned);
        zones.truncate(FALLBACK_ZONES);
        zones
    }

    /// Removes duplicates and this instance from the numbers, keeping their order.
    fn distinct(&self, numbers: Vec<usize>) -> Vec<usize> {
        let mut distinct = Vec::new();
        for number in numbers {
            if number != self.own && !distinct.contains(&number) {
                distinct.push(number);
            }
        }
        distinct
    }

    /// The peers whose held chunks this instance follows, nearest first.
    #[must_use]
    pub fn neighbours(&self) -> Vec<&Peer> {
        let mut near = self.ranked(|distance| distance == Distance::Zone);
        let mut region = self.ranked(|distance| distance == Distance::Region);
        let mut far = self.ranked(|distance| distance == Distance::Far);
        near.truncate(ZONE_NEIGHBOURS);
        region.truncate(OUTER_NEIGHBOURS / 2);
        far.truncate(OUTER_NEIGHBOURS - region.len());
        near.extend(region);
        near.extend(far);
        near
    }

    /// The peers at the wanted distances, ranked by rendezvous hash for this instance.
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

/// Converts a member of a zone to a peer of a swarm.
#[must_use]
pub fn peer(member: &control::Member) -> Peer {
    Peer {
        instance: member.instance.clone(),
        zone: member.zone.clone(),
        region: member.region.clone(),
        address: member.address,
    }
}

/// Numbers the distinct names in their order.
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
