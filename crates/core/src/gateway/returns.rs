//! Requests that return after they were refused under overload.
//!
//! A caller that was refused comes back, mostly at another gateway of the region, and states the
//! same timeout again. Gateways that cannot tell it from a first attempt let it compete for its
//! whole target, although it is late already, and refuse a request that could be in time.
//!
//! So the gateway that refuses a request records an entry in its [`Table`] and sends it to the
//! other gateways of its region as an [`Update`]. The gateway that receives the request next uses
//! the entry and announces that too, so that equal requests of other callers do not use it again.
//! The [`Schedule`] tells callers when to return.

mod schedule;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use self::schedule::{Refusals, Request, SLOT, Schedule};
use super::fingerprint::Fingerprint;
use crate::rendezvous::Key;

/// Upper bound on the entries of a table.
pub const MAX_ENTRIES: usize = 4096;

/// Maximum number of updates that are sent at once: they fit into one packet.
pub const MAX_UPDATES: usize = 64;

/// How long after a return was due its entry expires: callers wait no longer for an answer.
pub const LIFETIME: Duration = Duration::from_secs(6);

/// Upper bound on the time until a return of an update from another gateway is due.
const MAX_DUE: Duration = Duration::from_secs(10);

/// How much earlier than it was due a return may arrive without being early: times on the way
/// differ from one gateway to the next, and the schedule is no finer than this.
const EARLY_TOLERANCE: Duration = SLOT;

/// An entry as sent to other gateways. Its times are relative to the moment of sending, since
/// the clocks of gateways differ.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Distinguishes the entries of equal requests.
    pub number: Number,
    /// How long the caller has waited since its first attempt, in milliseconds.
    pub waited_ms: u32,
    /// In how many milliseconds the return is due.
    pub due_in_ms: u32,
    /// The priority of the request; 0 is the most urgent.
    pub priority: u8,
    /// Whether the request has returned.
    pub is_used: bool,
}

/// The number of an entry, chosen at random by the gateway that refused the request. It is unique
/// among the entries with the same fingerprint.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Number(pub u32);

/// A request that was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// The fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// How long the caller has waited since its first attempt.
    pub waited: Duration,
    /// When the caller is expected to return, from now on.
    pub due_in: Duration,
    /// The priority of the request; 0 is the most urgent.
    pub priority: u8,
}

/// The return of a caller whose request was refused before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Return {
    /// How long the caller has waited since its first attempt.
    pub waited: Duration,
    /// Whether the caller returned before it was due.
    pub is_early: bool,
}

/// What identifies an entry at all gateways.
type Identity = (Fingerprint, Number);

/// A request that was refused and may return.
#[derive(Debug, Clone, Copy)]
struct Entry {
    // How long the caller had waited when the entry was added.
    waited: Duration,
    added: Duration,
    due: Duration,
    priority: u8,
    // Kept until it expires, so that a duplicated or delayed update does not make it usable again.
    is_used: bool,
    is_own: bool,
    // Whether other gateways were sent the entry, or sent it.
    is_announced: bool,
}

impl Entry {
    fn is_expired(&self, now: Duration) -> bool {
        self.due + LIFETIME <= now
    }

    fn waited(&self, now: Duration) -> Duration {
        self.waited + now.saturating_sub(self.added)
    }
}

/// The requests that were refused in a region and may return.
#[derive(Debug, Default)]
// Invariant: `order` has the identity of each entry once, and at most `MAX_ENTRIES`.
pub struct Table {
    entries: BTreeMap<Identity, Entry>,
    // In the order in which they were added.
    order: VecDeque<Identity>,
    // Entries that were added or used here and not sent since.
    unsent: VecDeque<Identity>,
    schedule: Schedule,
    seed: u64,
    recorded: u64,
    expired: u64,
}

impl Table {
    /// Creates an empty table. Each start of each gateway needs another seed, since the numbers of
    /// its entries follow from it.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self { seed, ..Self::default() }
    }

    /// Whether there are no entries.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The number of entries, also of those that were used.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// When returns are due.
    #[must_use]
    pub fn schedule(&self) -> &Schedule {
        &self.schedule
    }

    /// Records that a request was refused here.
    pub fn record(&mut self, refusal: &Refusal, now: Duration) {
        let Refusal { fingerprint, waited, due_in, priority } = *refusal;
        let identity = (fingerprint, self.next_number());
        let entry = Entry {
            waited,
            added: now,
            due: now + due_in,
            priority,
            is_used: false,
            is_own: true,
            is_announced: false,
        };
        self.add(identity, entry, now);
        self.unsent.push_back(identity);
    }

    /// Merges the updates of another gateway.
    pub fn merge(&mut self, updates: &[Update], now: Duration) {
        for update in updates {
            let identity = (update.fingerprint, update.number);
            if let Some(known) = self.entries.get_mut(&identity) {
                known.is_used |= update.is_used;
                continue;
            }
            let due_in = Duration::from_millis(update.due_in_ms.into()).min(MAX_DUE);
            let entry = Entry {
                waited: Duration::from_millis(update.waited_ms.into()),
                added: now,
                due: now + due_in,
                priority: update.priority,
                is_used: update.is_used,
                is_own: false,
                is_announced: true,
            };
            self.add(identity, entry, now);
        }
    }

    /// Uses the entry of a request that has arrived, the one that is due first if there are
    /// several; `None` if the request is not known to have been refused.
    pub fn take(&mut self, fingerprint: Fingerprint, now: Duration) -> Option<Return> {
        self.remove_expired(now);
        let all = (fingerprint, Number(u32::MIN))..=(fingerprint, Number(u32::MAX));
        let usable = self.entries.range_mut(all);
        let usable = usable.filter(|(_, entry)| !entry.is_used && !entry.is_expired(now));
        let (identity, entry) = usable.min_by_key(|(_, entry)| entry.due)?;
        entry.is_used = true;
        if entry.is_announced {
            self.unsent.push_back(*identity);
        }
        Some(Return { waited: entry.waited(now), is_early: now + EARLY_TOLERANCE < entry.due })
    }

    /// Takes some of the updates that other gateways were not sent yet, at most [`MAX_UPDATES`].
    #[must_use]
    pub fn take_updates(&mut self, now: Duration) -> Vec<Update> {
        let mut updates = Vec::new();
        while updates.len() < MAX_UPDATES
            && let Some(identity) = self.unsent.pop_front()
        {
            let Some(entry) = self.entries.get_mut(&identity) else { continue };
            let is_new = !std::mem::replace(&mut entry.is_announced, true);
            if entry.is_expired(now) || (is_new && entry.is_used) {
                // No other gateway needs to know of it.
                continue;
            }
            updates.push(Update {
                fingerprint: identity.0,
                number: identity.1,
                waited_ms: whole_ms(entry.waited(now)),
                due_in_ms: whole_ms(entry.due.saturating_sub(now)),
                priority: entry.priority,
                is_used: entry.is_used,
            });
        }
        updates
    }

    /// Takes the number of requests that were refused here and did not return in time, as far as
    /// known.
    #[must_use]
    pub fn take_expired(&mut self) -> u64 {
        std::mem::take(&mut self.expired)
    }

    /// Adds an entry that is not known yet; the oldest one makes room for it.
    fn add(&mut self, identity: Identity, entry: Entry, now: Duration) {
        self.remove_expired(now);
        if self.order.len() >= MAX_ENTRIES
            && let Some(oldest) = self.order.pop_front()
        {
            self.entries.remove(&oldest);
        }
        if !entry.is_used {
            self.schedule.record(entry.priority, entry.due, now);
        }
        if self.entries.insert(identity, entry).is_none() {
            self.order.push_back(identity);
        }
    }

    /// Removes entries that have expired.
    pub fn remove_expired(&mut self, now: Duration) {
        while let Some(oldest) = self.order.front()
            && let Some(entry) = self.entries.get(oldest)
            && entry.is_expired(now)
        {
            self.expired += u64::from(entry.is_own && !entry.is_used);
            self.entries.remove(oldest);
            self.order.pop_front();
        }
    }

    fn next_number(&mut self) -> Number {
        self.recorded += 1;
        let mixed = Key::of_number(self.seed).with(Key::of_number(self.recorded)).as_u64();
        Number((mixed >> 32) as u32)
    }
}

fn whole_ms(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
