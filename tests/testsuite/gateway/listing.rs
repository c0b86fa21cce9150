//! Whom agents ask for a version's listing.

use cinderspoke_core::gateway::listing::{Source, Tree};
use cinderspoke_core::rendezvous::Key;
use cinderspoke_schema::control::Peer;

/// Agents named by numbers, so many in each zone.
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
fn one_agent_of_each_zone_asks_the_origin_for_a_listing_at_first() {
    let agents = agents(&["a", "b", "c"], 25);
    let asks = agents.iter().map(|own| Tree::new(Key::of("m 2"), own, &agents));
    let roots = asks.filter(|tree| tree.source(0) == Source::Origin).count();
    assert_eq!(roots, 3);
}

#[test]
fn every_agent_asks_the_origin_and_all_others_in_the_end() {
    let agents = agents(&["a", "b"], 20);
    for own in &agents {
        let tree = Tree::new(Key::of("m 2"), own, &agents);
        let asked: Vec<_> = (0..200).map(|attempt| tree.source(attempt)).collect();
        let origin = asked.iter().position(|ask| *ask == Source::Origin).unwrap();
        assert!(origin <= 10, "{} asks the origin only after {origin} attempts", own.instance);
        for other in agents.iter().filter(|other| other.instance != own.instance) {
            assert!(asked.contains(&Source::Peer(other)), "never asks {}", other.instance);
        }
        assert!(!asked.contains(&Source::Peer(own)));
    }
}

#[test]
fn an_agent_alone_asks_the_origin() {
    let agents = agents(&["a"], 1);
    let tree = Tree::new(Key::of("m 2"), &agents[0], &[]);
    assert!((0..9).all(|attempt| tree.source(attempt) == Source::Origin));
}
