//! Decisions of a gateway: an entry instance that forwards opaque requests
//! straight to endpoints. Nothing here does I/O; callers pass the time in.
//!
//! - State: [`catalog`] holds the configuration in force, [`directory`] the endpoints
//!   that the platform lists, [`departure`] which of their runs are gone, [`rollout`] the target version of each model, and
//!   [`timeline`] how long each version has been the target. Each of these is a
//!   [`fact`], which only a newer revision replaces. [`lag`] measures how far the
//!   configuration is behind the newest one known. [`region`] selects the gateways that
//!   read the configuration from the platform, and the peers that the others fetch it
//!   from; [`difference`] encodes what changed between two configurations. [`watch`] bounds
//!   how old data from the platform may be, and [`outage`] decides whether the platform was
//!   unreachable for all gateways or for this one only.
//! - Routing: a caller's request is a [`call`]. [`load`] estimates the work at each endpoint
//!   from the reports that the agents of the gateway's [`subset`] send to it in [`rotation`],
//!   and from the [`tally`] of what all gateways have outstanding there. [`demand`] measures
//!   the rate of requests, and [`caller_timeout`] estimates how long a caller has already
//!   waited. [`pick`] selects an endpoint or refuses the request, [`shedding`] decides which
//!   requests are refused first under load, [`returns`] recognizes those that return after a
//!   refusal, and [`health`] ejects endpoints that fail. Under load, the agents of some endpoints are queried first and make a
//!   [`reservation`] for the request.
//!   [`residency`] limits the regions in which a request may be served, [`evacuation`] lists
//!   the availability zones that receive no requests, and [`cold`] limits the requests to
//!   an endpoint that has just started.
//! - Weight rollouts: [`listing`] selects the source from which an agent fetches the list of a
//!   version's chunks and checks it, [`changeover`] schedules when each engine switches, [`verification`]
//!   decides whether its staged chunks may be loaded, [`overlap`] limits how long requests are
//!   still sent to the old version, and [`link`] detects instances whose traffic may be delayed.
//! - Retries: [`attempt`] records the outcome of each send of a request, and [`budget`] limits
//!   the sends beyond the first. Each gateway has a share of that budget, and [`gossip`] counts
//!   the gateways.
//! - [`notice`] stores what endpoints announce in their answers: that they drain or back off, and
//!   [`limit`] how many requests a second they accept from all gateways together. [`quota`] divides
//!   such a budget among the gateways.
//! - [`suspect`] tracks requests during which endpoints ended, by [`fingerprint`].
//! - [`event`] splits a stream into whole events, so that another endpoint can resume it.

pub mod attempt;
pub mod budget;
pub mod call;
pub mod caller_timeout;
pub mod catalog;
pub mod changeover;
pub mod cold;
pub mod demand;
pub mod departure;
pub mod difference;
pub mod directory;
pub mod evacuation;
pub mod event;
pub mod fact;
pub mod fingerprint;
pub mod gossip;
pub mod health;
pub mod lag;
pub mod limit;
pub mod link;
pub mod listing;
pub mod load;
pub mod name;
pub mod notice;
pub mod outage;
pub mod overlap;
pub mod pick;
pub mod quota;
pub mod region;
pub mod reservation;
pub mod residency;
pub mod returns;
pub mod rollout;
pub mod rotation;
pub mod shedding;
pub mod size;
pub mod subset;
pub mod suspect;
pub mod tally;
pub mod timeline;
pub mod verification;
pub mod watch;
