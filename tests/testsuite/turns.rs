//! Transfers whose fetches from the origin follow a schedule.

use std::time::Duration;

use bytes::Bytes;
use cinderspoke::agent::cache::Cache;
use cinderspoke_core::bitmap::Bitmap;
use cinderspoke_core::manifest::{Algorithm, Manifest};
use cinderspoke_core::swarm::Swarm;
use cinderspoke_core::transfer::{Fetching, Limits, Policy, Source, Step, Transfer};
use cinderspoke_schema::control::Peer;
use cinderspoke_types::size;

const CHUNKS: usize = 24;
const SPACING: Duration = Duration::from_millis(30);
const FALLBACK_TIMEOUT: Duration = Duration::from_millis(1000);

fn chunk(number: usize) -> Vec<u8> {
    vec![number as u8; 64]
}

fn manifest() -> Manifest {
    let digests = (0..CHUNKS).map(|number| Algorithm::Sha256.chunk(&chunk(number)));
    Manifest::from_chunk_digests(size::Bytes::new(64), digests.collect())
}

pub(crate) fn peer(number: usize, zone: &str) -> Peer {
    Peer {
        instance: format!("e{number}").parse().unwrap(),
        zone: zone.parse().unwrap(),
        region: zone.parse().unwrap(),
        address: format!("127.0.0.1:{}", 1000 + number).parse().unwrap(),
    }
}

pub(crate) fn limits() -> Limits {
    Limits {
        downloads: 6,
        origin_downloads: 1,
        spacing: SPACING,
        fallback_timeout: FALLBACK_TIMEOUT,
        source_backoff: Duration::from_millis(250),
        slow_chunk: Some(Duration::from_millis(600)),
    }
}

/// The transfer of the first instance, in a swarm with `each` instances in every zone.
fn transfer(zones: &[&str], each: usize) -> Transfer<Fetching> {
    let all = zones.iter().flat_map(|zone| (0..each).map(move |_| *zone));
    let mut peers: Vec<_> = all.enumerate().map(|(number, zone)| peer(number, zone)).collect();
    let own = peers.remove(0);
    let manifest = manifest();
    let swarm = Swarm::new(manifest.digest(), own, peers);
    Transfer::new(manifest, swarm, Policy::Swarm, limits(), Duration::ZERO)
}

/// All steps of a transfer at one point in time.
fn steps(transfer: &mut Transfer<Fetching>, now: Duration) -> Vec<Step> {
    let mut steps = Vec::new();
    loop {
        match transfer.step(now) {
            Step::Wait | Step::Complete => return steps,
            step => steps.push(step),
        }
    }
}

#[test]
fn chunks_are_fetched_from_the_origin_on_schedule() {
    let mut alone = transfer(&["a"], 1);
    let Some(Step::Fetch { chunk: first, source: Source::Origin }) =
        steps(&mut alone, Duration::ZERO).pop()
    else {
        panic!("the only instance fetches the first chunk at once");
    };
    assert_eq!(first, 0);
    alone.record_chunk(0, Algorithm::Sha256.chunk(&chunk(0)), SPACING / 2);
    assert!(steps(&mut alone, SPACING / 2).is_empty(), "the second chunk is scheduled later");
    assert_eq!(steps(&mut alone, SPACING).len(), 1);
}

#[test]
fn an_instance_that_starts_late_skips_slots_that_are_over() {
    let mut late = transfer(&["a"], 2);
    // The first chunk is scheduled at the start of every transfer.
    late.record_held(0);
    let neighbour = peer(1, "a").instance;
    let mut held = Bitmap::new(CHUNKS);
    held.insert(CHUNKS - 1);
    late.record_peer(&neighbour, &held, 0);
    let fetches = steps(&mut late, Duration::from_millis(1));
    let from_origin = |step: &&Step| matches!(step, Step::Fetch { source: Source::Origin, .. });
    assert_eq!(fetches.iter().filter(from_origin).count(), 1, "{fetches:?}");
    let Some(Step::Fetch { chunk, .. }) = fetches.iter().find(from_origin) else { unreachable!() };
    late.record_failure(*chunk, Duration::from_millis(1));
}

#[test]
fn no_chunk_is_awaited_from_peers_before_its_slot() {
    // Guards against requests to peers that cannot hold the chunk yet: each of their negative
    // answers counted as a failure.
    let mut first = transfer(&["a", "b", "c"], 2);
    let awaited_chunks = |steps: &[Step]| -> Vec<usize> {
        let awaited = steps.iter().filter_map(|step| match step {
            Step::Await { chunk, .. } => Some(*chunk),
            _ => None,
        });
        awaited.collect()
    };
    let mut awaited = awaited_chunks(&steps(&mut first, Duration::ZERO));
    assert!(awaited.iter().all(|chunk| *chunk == 0), "{awaited:?}");
    let half = SPACING * (CHUNKS as u32 / 2);
    awaited = awaited_chunks(&steps(&mut first, half));
    assert!(!awaited.is_empty());
    assert!(awaited.iter().all(|chunk| *chunk <= CHUNKS / 2), "{awaited:?}");
}

#[test]
fn a_chunk_times_out_while_other_chunks_keep_arriving() {
    // Guards against a timeout that counts from the last chunk received, whichever it was: it
    // never ends while other chunks arrive, although the assigned instance is stalled.
    let mut member = transfer(&["a"], 2);
    let neighbour = peer(1, "a").instance;
    let mut from_origin = Vec::new();
    let mut held = Bitmap::new(CHUNKS);
    for tick in 0..400_u32 {
        let now = Duration::from_millis(10) * tick;
        for step in steps(&mut member, now) {
            match step {
                Step::Fetch { chunk: number, source } => {
                    if source == Source::Origin {
                        from_origin.push(number);
                    }
                    member.record_chunk(number, Algorithm::Sha256.chunk(&chunk(number)), now);
                }
                // The neighbour never answers.
                Step::Await { chunk, .. } => member.record_failure(chunk, now),
                Step::Wait | Step::Complete => {}
            }
        }
        // Reports of other chunks keep the transfer in progress.
        held.insert(usize::try_from(tick).unwrap() % 2);
        member.record_peer(&neighbour, &held, 0);
    }
    assert_eq!(
        member.step(Duration::from_secs(5)),
        Step::Complete,
        "fetched from the origin: {from_origin:?}"
    );
}

#[test]
fn a_slow_link_reduces_concurrent_downloads() {
    let downloads = |slow: bool| {
        let mut member = transfer(&["a"], 7);
        if slow {
            (0..4).for_each(|_| member.record_download_time(Duration::from_millis(900)));
        }
        let mut held = Bitmap::new(CHUNKS);
        (0..CHUNKS).for_each(|number| held.insert(number));
        for number in 1..7 {
            member.record_peer(&peer(number, "a").instance, &held, 0);
        }
        steps(&mut member, Duration::ZERO).len()
    };
    assert_eq!(downloads(false), 6);
    assert_eq!(downloads(true), 1);
}

#[test]
fn concurrent_downloads_return_to_the_limit_after_a_link_recovers() {
    let mut member = transfer(&["a"], 7);
    (0..4).for_each(|_| member.record_download_time(Duration::from_millis(900)));
    (0..20).for_each(|_| member.record_download_time(Duration::from_millis(100)));
    let mut held = Bitmap::new(CHUNKS);
    (0..CHUNKS).for_each(|number| held.insert(number));
    for number in 1..7 {
        member.record_peer(&peer(number, "a").instance, &held, 0);
    }
    assert_eq!(steps(&mut member, Duration::ZERO).len(), 6);
}

#[tokio::test]
async fn peers_that_await_chunks_are_notified_after_a_version_is_opened_again() {
    let (cache, manifest) = (Cache::new(size::Bytes::new(1 << 20)), manifest());
    cache.add_version(&manifest);
    let (_, mut updates) = cache.holdings(manifest.digest()).unwrap();
    cache.add_version(&manifest);
    cache.insert(Algorithm::Sha256.chunk(&chunk(3)), Bytes::from(chunk(3)));
    let notified = tokio::time::timeout(Duration::from_secs(5), updates.changed()).await;
    assert!(notified.is_ok(), "a waiting peer is never notified of the chunk");
}

#[test]
fn weights_with_sha_256_chunks_verify_only_if_every_chunk_matches() {
    let manifest = manifest();
    let whole = |chunks: &mut dyn Iterator<Item = Vec<u8>>| {
        let mut hasher = cinderspoke_core::manifest::Hasher::new(manifest.algorithm());
        chunks.for_each(|chunk| hasher.add(&chunk));
        hasher.finish() == manifest.whole()
    };
    assert!(whole(&mut (0..CHUNKS).map(chunk)));
    assert!(!whole(&mut (0..CHUNKS - 1).map(chunk)));
    assert!(!whole(&mut (0..CHUNKS).map(|number| chunk(if number == 5 { 6 } else { number }))));
}

/// The instances of one zone, with an origin that sends one chunk per `SPACING`.
struct Zone {
    transfers: Vec<Transfer<Fetching>>,
    held: Vec<Bitmap>,
    // Requests to the origin as (instance, chunk), in their order.
    queue: Vec<(usize, usize)>,
    requests: usize,
}

impl Zone {
    fn new(instances: usize) -> Self {
        let manifest = manifest();
        let transfer = |number: usize| {
            let mut peers: Vec<_> = (0..instances).map(|number| peer(number, "a")).collect();
            let swarm = Swarm::new(manifest.digest(), peers.remove(number), peers);
            Transfer::new(manifest.clone(), swarm, Policy::Swarm, limits(), Duration::ZERO)
        };
        let transfers = (0..instances).map(transfer).collect();
        let held = vec![Bitmap::new(CHUNKS); instances];
        Self { transfers, held, queue: Vec::new(), requests: 0 }
    }

    fn arrives(&mut self, instance: usize, chunk: usize, now: Duration) {
        self.transfers[instance].record_chunk(
            chunk,
            Algorithm::Sha256.chunk(&self::chunk(chunk)),
            now,
        );
        self.held[instance].insert(chunk);
        let holder = peer(instance, "a").instance;
        for other in (0..self.transfers.len()).filter(|other| *other != instance) {
            self.transfers[other].record_peer(&holder, &self.held[instance], 0);
        }
    }

    /// Carries out all steps of all instances at one point in time.
    fn step(&mut self, origin_down: bool, now: Duration) {
        for instance in 0..self.transfers.len() {
            for step in steps(&mut self.transfers[instance], now) {
                match step {
                    Step::Fetch { chunk, source: Source::Origin } if origin_down => {
                        self.transfers[instance].record_failure(chunk, now);
                    }
                    Step::Fetch { chunk, source: Source::Origin } => {
                        self.requests += 1;
                        self.queue.push((instance, chunk));
                    }
                    Step::Fetch { chunk, .. } => self.arrives(instance, chunk, now),
                    // Awaiting a chunk fails at once, so that the peers are queried again.
                    Step::Await { chunk, .. } => {
                        self.transfers[instance].record_failure(chunk, now);
                    }
                    Step::Wait | Step::Complete => {}
                }
            }
        }
    }
}

// Guards against fallbacks that all fetch from the origin when it returns after an outage. Their
// timeouts had passed during the outage, so that the origin sent each chunk to several instances
// at once, 2.4 copies in all. Versions then completed 5 s after an outage of 6 s, instead of 3.5 s.
#[test]
fn fallbacks_do_not_duplicate_fetches_after_an_outage_of_the_origin() {
    let mut zone = Zone::new(40);
    let (outage_end, tick) = (Duration::from_secs(6), Duration::from_millis(10));
    let mut now = Duration::ZERO;
    while zone.held.iter().any(|held| !held.is_full()) {
        assert!(now < outage_end * 3, "the transfers never completed");
        zone.step(now < outage_end, now);
        let is_slot = now.as_millis().is_multiple_of(SPACING.as_millis());
        if is_slot && !zone.queue.is_empty() {
            let (instance, chunk) = zone.queue.remove(0);
            zone.arrives(instance, chunk, now);
        }
        now += tick;
    }
    assert!(zone.requests <= CHUNKS * 5 / 4, "{} fetches of {CHUNKS} chunks", zone.requests);
}
