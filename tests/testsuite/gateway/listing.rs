//! The sources from which agents fetch a version's listing.

use cinderspoke_core::gateway::listing::{Source, Tree};
use cinderspoke_core::rendezvous::Key;
use cinderspoke_schema::control::Peer;

/// Agents with numbers as names, `each` in every zone.
fn agents(zones: &[&str], each: usize) -> Vec<Peer> {
    let all = zones.iter().flat_map(|zone| (0..each).map(move |number| (*zone, number)));
    let peer = |(zone, number): (&str, usize)| Peer {
        instance: format!("{zone}{number}").parse().unwrap(),
        zone: zone.parse().unwrap(),
        region: zone.parse().unwrap(),
        address: format!("127.0.0.1:{}", 1000 + number).parse().unwrap(),
    };
    all.map(peer).collect()
}

#[test]
fn one_agent_of_each_zone_fetches_from_the_origin_at_first() {
    let agents = agents(&["a", "b", "c"], 25);
    let trees = agents.iter().map(|own| Tree::new(Key::of("m 2"), own, &agents));
    let roots = trees.filter(|tree| tree.source(0) == Source::Origin).count();
    assert_eq!(roots, 3);
}

#[test]
fn every_agent_tries_the_origin_and_all_others_in_the_end() {
    let agents = agents(&["a", "b"], 20);
    for own in &agents {
        let tree = Tree::new(Key::of("m 2"), own, &agents);
        let sources: Vec<_> = (0..200).map(|attempt| tree.source(attempt)).collect();
        let origin = sources.iter().position(|source| *source == Source::Origin).unwrap();
        assert!(origin <= 10, "{} tries the origin only after {origin} attempts", own.instance);
        for other in agents.iter().filter(|other| other.instance != own.instance) {
            assert!(sources.contains(&Source::Peer(other)), "never tries {}", other.instance);
        }
        assert!(!sources.contains(&Source::Peer(own)));
    }
}

#[test]
fn a_single_agent_fetches_from_the_origin() {
    let agents = agents(&["a"], 1);
    let tree = Tree::new(Key::of("m 2"), &agents[0], &[]);
    assert!((0..9).all(|attempt| tree.source(attempt) == Source::Origin));
}
