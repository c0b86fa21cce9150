//! Decisions of a gateway: an entry instance that forwards opaque requests
//! straight to endpoints.
//!
//! - What is known: [`catalog`] holds the configuration in force, [`directory`]
//!   the endpoints as the platform lists them, [`rollout`] the versions that
//!   models are to have, and [`timeline`] for how long they have been named. Each
//!   is a [`fact`] that only a newer one replaces; [`lag`] says how far the
//!   configuration is behind, [`region`] who reads it and who asks whom for it, and
//!   [`difference`] what of it is new. [`outage`] tells whether the
//!   platform was away for all or for this gateway only.
//! - Where a request goes: [`load`] estimates what endpoints are busy with
//!   by what the agents of its [`subset`] tell each gateway in [`rotation`], the [`tally`] of what all
//!   gateways have there among it; [`demand`] is how much is asked, [`caller_timeout`] how
//!   long a caller has waited; [`pick`] chooses an endpoint or refuses, [`health`]
//!   leaves out those that fail. Under load, the agents of some endpoints are queried first and
//!   make a [`reservation`] for the request.
//!   [`residency`] says in which regions a request may be served, [`evacuation`] which
//!   availability zones receive nothing, [`cold`] how much an endpoint bears after its start.
//! - How engines change weights: [`listing`] says whom to ask for what a version
//!   consists of, [`changeover`] when each engine switches, [`overlap`] how long requests are
//!   still sent to the old version, [`link`] whether traffic to an engine may be delayed.
//! - What may be repeated: [`attempt`] knows what became of each send, and
//!   [`budget`] bounds sends beyond the first, of which each gateway has a share:
//!   [`gossip`] says how many gateways there are.
//! - [`notice`] knows what endpoints say of themselves in their answers.
//! - [`suspect`] knows requests under which endpoints end, by their [`fingerprint`]s.
//! - [`event`] cuts a stream into whole events, so that it can be resumed.

pub mod attempt;
pub mod budget;
pub mod call;
pub mod caller_timeout;
pub mod catalog;
pub mod changeover;
pub mod cold;
pub mod demand;
pub mod difference;
pub mod directory;
pub mod evacuation;
pub mod event;
pub mod fact;
pub mod fingerprint;
pub mod gossip;
pub mod health;
pub mod lag;
pub mod link;
pub mod listing;
pub mod load;
pub mod name;
pub mod notice;
pub mod outage;
pub mod overlap;
pub mod pick;

pub mod region;
pub mod reservation;
pub mod residency;
pub mod rollout;
pub mod rotation;
pub mod size;
pub mod subset;
pub mod suspect;
pub mod tally;
pub mod timeline;
pub mod watch;
