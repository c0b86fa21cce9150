//! Looking up routes, API keys and shares in a configuration.

use cinderspoke_core::gateway::catalog::{
    Access, Backend, Catalog, Declared, Kind, Limits, Route, Share, Tenancy,
};
use cinderspoke_core::gateway::residency::AllowedRegions;
use yare::parameterized;

use super::ms;

fn route(prefix: &str) -> Route {
    Route {
        name: prefix.into(),
        host: "h.example".into(),
        prefix: prefix.into(),
        kind: Kind::Safe,
        timeout: ms(2000),
        target: ms(300),
        target_gap: None,
        priority: 1,
        shares: vec![
            Share { service: "old".into(), weight: 90 },
            Share { service: "new".into(), weight: 10 },
        ],
        attempts: 2,
        public: false,
        allowed_regions: AllowedRegions::default(),
    }
}

fn catalog() -> Catalog {
    Declared {
        version: 1,
        routes: vec![route("/a/"), route("/a/b/")],
        backends: vec![Backend {
            service: "old".into(),
            connections: 10,
            origin: None,
            engine: None,
            cold: None,
        }],
        tenancies: vec![Tenancy {
            team: "t".into(),
            keys: vec!["k".into()],
            priority: Some(0),
            allowed_regions: AllowedRegions::default(),
        }],
        limits: Limits::default(),
    }
    .into()
}

#[parameterized(
    longest = { "h.example", "/a/b/c", Some("/a/b/") },
    shorter = { "h.example", "/a/c", Some("/a/") },
    no_slash = { "h.example", "/a", None },
    other_host = { "g.example", "/a/b/", None },
)]
fn the_longest_prefix_of_the_host_wins(host: &str, path: &str, expected: Option<&str>) {
    let catalog = catalog();
    assert_eq!(catalog.route(host, path).map(|route| route.prefix.as_str()), expected);
}

#[test]
fn only_keys_of_teams_open_a_route() {
    let catalog = catalog();
    let route = catalog.route("h.example", "/a/").unwrap();
    assert_eq!(catalog.access(route, Some("k")), Access::Team(&"t".into(), Some(0)));
    assert_eq!(catalog.access(route, Some("other")), Access::Denied);
    assert_eq!(catalog.access(route, None), Access::Denied);
    let public = Route { public: true, ..route.clone() };
    assert_eq!(catalog.access(&public, None), Access::Open);
}

#[test]
fn shares_split_a_route_by_weight() {
    let route = route("/a/");
    let new = (0..1000).filter(|spread| route.service(*spread).unwrap().as_str() == "new").count();
    assert_eq!(new, 100);
}
