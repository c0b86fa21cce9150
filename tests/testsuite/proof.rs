//! Which listings are believed, when they are read again, and which chunks count as held.

use std::time::Duration;

use bytes::Bytes;
use cinderspoke::agent::cache::{Cache, Lookup};
use cinderspoke::gateway::message::{Plan, pack};
use cinderspoke_core::gateway::listing::{Layout, Misfit, check};
use cinderspoke_core::manifest::{Algorithm, Manifest};
use cinderspoke_core::proof::{Proofs, Recheck, Unmatched, Verdict, differing, weigh};
use cinderspoke_types::digest::Digest;
use cinderspoke_types::size;
use yare::parameterized;

const CHUNKS: usize = 4;

/// Spoils the digests of a manifest.
type Spoil = fn(&mut Vec<Digest>);

fn bytes(name: &str) -> Bytes {
    Bytes::copy_from_slice(name.as_bytes())
}

fn digest(name: &str) -> Digest {
    Algorithm::Sha256.chunk(&bytes(name))
}

fn version() -> Digest {
    Digest::of(b"version 2 of m")
}

fn listed(names: [&str; CHUNKS]) -> Manifest {
    Manifest::listed(version(), size::Bytes::new(8), names.map(digest).to_vec())
}

// Guards against weights of another layout than is declared, and against sizes whose sums overflow.
#[parameterized(
    as_declared = { 4, 8, Some((4, 8)), &[] },
    short = { 3, 8, Some((4, 8)), &[Misfit::Chunks { listed: 3, declared: 4 }] },
    both = { 5, 4, Some((4, 8)), &[
        Misfit::Chunks { listed: 5, declared: 4 },
        Misfit::ChunkBytes { listed: 4, declared: 8 },
    ] },
    undeclared = { 3, 8, None, &[] },
    undeclared_and_empty = { 0, 8, None, &[Misfit::Empty] },
    undeclared_without_bytes = { 3, 0, None, &[Misfit::Size { chunks: 3, chunk_bytes: 0 }] },
    undeclared_and_huge = { 3, 1 << 63, None, &[Misfit::Size { chunks: 3, chunk_bytes: 1 << 63 }] },
)]
fn a_listing_is_compared_with_what_is_declared(
    chunks: usize,
    chunk_bytes: u64,
    declared: Option<(u32, u32)>,
    misfits: &[Misfit],
) {
    let declared = declared.and_then(|(chunks, bytes)| Layout::new(chunks, bytes));
    let found = check(chunks, chunk_bytes, declared).err().map(|found| found.0);
    assert_eq!(found.unwrap_or_default(), misfits);
}

// Guards against a listing that a spoilt one replaces, and against a wrong one that stays.
#[test]
fn a_reading_replaces_another_only_if_something_shows_that_it_is_right() {
    let (known, other) = (listed(["a", "b", "c", "x"]), listed(["a", "b", "c", "d"]));
    let (none, proofs) = (Unmatched::new(), Proofs::default());
    let read = |name| Unmatched::from([(3, digest(name))]);
    assert_eq!(weigh(&known, &known, &proofs, &read("d"), true), Verdict::Same);
    assert_eq!(weigh(&known, &other, &proofs, &none, false), Verdict::Unsupported);
    assert_eq!(weigh(&known, &other, &proofs, &read("spoilt"), false), Verdict::Unsupported);
    assert_eq!(weigh(&known, &other, &proofs, &read("d"), false), Verdict::Replace);
    assert_eq!(weigh(&known, &other, &proofs, &none, true), Verdict::Replace);
    let mut proofs = Proofs::default();
    proofs.add(3, digest("d"));
    assert_eq!(weigh(&known, &other, &proofs, &none, false), Verdict::Replace);
    assert_eq!(weigh(&other, &known, &proofs, &none, true), Verdict::Contradicted(vec![3]));
    assert_eq!(differing(&known, &other), [3]);
}

// Guards against an answer of the origin that takes back what two others agreed on.
#[test]
fn a_proof_stays_and_what_an_engine_has_counts_for_its_listing_only() {
    let (known, other) = (listed(["a", "b", "c", "d"]), listed(["a", "b", "c", "x"]));
    let mut proofs = Proofs::default();
    proofs.add(3, digest("d"));
    proofs.add(3, digest("x"));
    assert!(proofs.confirm(&known, 3) && !proofs.confirm(&other, 3));
    assert!(!proofs.confirm(&known, 0));
    proofs.accept(&other, 0..CHUNKS);
    assert!(proofs.confirm(&other, 0) && !proofs.is_read(&other, 0));
    assert!(!proofs.confirm(&other, 3), "what was read from the origin goes before");
}

// Guards against a listing under suspicion that is read late, or again and again.
#[test]
fn a_suspected_listing_is_read_at_once_and_then_ever_more_rarely() {
    let start = Duration::from_secs(7);
    let mut recheck = Recheck::new(start);
    assert_eq!(recheck.due_at(), start + Duration::from_secs(10));
    assert!(recheck.is_stuck());
    let (mut now, mut readings) = (start, 0);
    while now < start + Duration::from_secs(10) {
        recheck.suspect();
        now = now.max(recheck.due_at());
        readings += 1;
        assert!(readings > 1 || now == start, "the first reading is due at once");
        recheck.record_read(now, true);
    }
    assert!(readings <= 8, "{readings} readings in ten seconds");
    recheck.suspect();
    recheck.record_read(now, false);
    assert!(!recheck.is_stuck(), "a reading without an answer is still due");
}

// Guards against a chunk of another version that counts as held, is given to peers or is loaded
// since a listing has its digest.
#[test]
fn a_listed_chunk_counts_only_once_it_is_proven() {
    let cache = Cache::new(size::Bytes::new(1 << 20));
    let manifest = listed(["a", "b", "c", "d"]);
    cache.insert(digest("a"), bytes("a"));
    assert!(cache.add_version(&manifest).is_empty());
    cache.insert(digest("b"), bytes("b"));
    assert_eq!(cache.progress(version()), Some((0, CHUNKS)));
    assert_eq!(cache.serve_chunk(version(), 0, digest("a")), Lookup::Missing);
    cache.insert_chunk(&manifest, 1, digest("b"), bytes("b"));
    assert_eq!(cache.serve_chunk(version(), 1, digest("b")), Lookup::Held(bytes("b")));
    assert_eq!(cache.serve_chunk(version(), 1, digest("x")), Lookup::Other);
    for (chunk, name) in ["a", "b", "c", "d"].into_iter().enumerate() {
        cache.insert(digest(name), bytes(name));
        assert_eq!(cache.all_chunks(version()), None);
        cache.prove(version(), chunk, digest(name));
    }
    assert_eq!(cache.all_chunks(version()).map(|chunks| chunks.len()), Some(CHUNKS));
}

// Guards against chunks that count as held by a listing that was replaced, and against proofs that
// are lost with it.
#[test]
fn a_replaced_listing_leaves_the_proofs_of_its_chunks() {
    let cache = Cache::new(size::Bytes::new(1 << 20));
    let (wrong, right) = (listed(["a", "b", "c", "x"]), listed(["a", "b", "c", "d"]));
    cache.add_version(&wrong);
    cache.insert_chunk(&wrong, 0, digest("a"), bytes("a"));
    cache.insert(digest("x"), bytes("x"));
    cache.accept(&wrong, [0, 1, 3]);
    assert_eq!(cache.progress(version()), Some((2, CHUNKS)));
    let other = cache.serve_chunk(version(), 3, digest("d"));
    assert_eq!(other, Lookup::Missing, "what an engine has contradicts no other listing");
    let held = cache.add_version(&right);
    assert!(held.contains(0) && held.count() == 1, "{held:?}");
    assert_eq!(cache.serve(digest("x")), None, "a chunk that no version has");
}

// Guards against versions whose manifest is named by its digest and that would share chunks no
// longer: nothing has to be proven there, since no other manifest has that digest.
#[test]
fn a_manifest_that_is_named_by_its_digest_needs_no_proofs_and_no_listing() {
    let weights = b"aaaabbbbccccdddd";
    let manifest = Manifest::build(weights, size::Bytes::new(4));
    let cache = Cache::new(size::Bytes::new(1 << 20));
    cache.insert(Digest::of(b"aaaa"), bytes("aaaa"));
    assert_eq!(cache.add_version(&manifest).count(), 1);
    let spoilt: [Spoil; 5] = [
        |chunks| chunks.truncate(3),
        |chunks| chunks.clear(),
        |chunks| chunks.swap(0, 1),
        |chunks| chunks[3] = chunks[0],
        |chunks| chunks.push(Digest::of(b"eeee")),
    ];
    for spoil in spoilt {
        let mut raw = manifest.as_raw().clone();
        spoil(&mut raw.chunks);
        assert!(Manifest::verify(raw, manifest.digest()).is_err(), "a spoilt manifest is taken");
    }
}

// Guards against agents and gateways of different builds that cannot read each other's plans, and
// against agents that read them again and again.
#[test]
fn a_plan_is_understood_by_builds_with_and_without_its_layout() {
    let plan = Plan { models: vec!["m".into()], layout: Layout::new(4, 8), ..Plan::default() };
    let by_old: Plan = postcard::from_bytes(&plan.pack()).unwrap();
    assert_eq!(by_old, Plan { layout: None, ..plan.clone() });
    assert_eq!(Plan::unpack(&plan.pack()).unwrap(), plan);
    let of_old = pack(&plan);
    assert_eq!(Plan::unpack(&of_old).unwrap().layout, None);
    assert_eq!(plan.hash_without_layout(), by_old.hash());
    assert_ne!(plan.hash(), by_old.hash());
}
