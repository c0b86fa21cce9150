//! Encoding and applying the difference between two configurations.

use cinderspoke_core::gateway::catalog::{Catalog, Declared, Kind, Limits, Route, Share, Tenancy};
use cinderspoke_core::gateway::difference::{ApplyError, Difference};
use cinderspoke_core::gateway::residency::AllowedRegions;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use yare::parameterized;

use super::ms;

fn route(number: u64) -> Route {
    Route {
        name: format!("r-{number}"),
        host: "h.example".into(),
        prefix: format!("/{number}/"),
        kind: Kind::Safe,
        timeout: ms(2000),
        target: ms(300),
        target_gap: None,
        priority: 1,
        shares: vec![Share { service: "svc".into(), weight: 1 }],
        attempts: 2,
        public: false,
        allowed_regions: AllowedRegions::default(),
    }
}

fn declared(version: u64, routes: impl IntoIterator<Item = u64>) -> Declared {
    Declared {
        version,
        routes: routes.into_iter().map(route).collect(),
        tenancies: vec![Tenancy {
            team: "t".into(),
            keys: vec!["k".into()],
            priority: None,
            allowed_regions: AllowedRegions::default(),
        }],
        ..Declared::default()
    }
}

/// The encoded size of a difference in bytes.
fn size(difference: &Difference) -> usize {
    postcard::to_stdvec(difference).unwrap().len()
}

#[parameterized(
    added_at_the_end = { &[1, 2, 3, 4] },
    added_in_between = { &[1, 9, 2, 3] },
    removed = { &[1, 3] },
    all_new = { &[7, 8] },
    none_left = { &[] },
    in_another_order = { &[3, 1, 2] },
    twice = { &[1, 2, 2, 3, 1] },
    the_same = { &[1, 2, 3] },
)]
fn applying_a_difference_restores_the_configuration(after: &[u64]) {
    let before = Catalog::from(declared(1, [1, 2, 3]));
    let after = Catalog::from(declared(2, after.iter().copied()));
    let difference = Difference::between(&before, &after);
    assert_eq!(difference.version(), 2);
    assert_eq!(difference.apply(&before).unwrap().declared(), after.declared());
}

#[test]
fn changed_routes_teams_and_limits_are_included() {
    let before = Catalog::from(declared(1, 0..50));
    let mut after = declared(2, 0..50);
    after.routes[20].timeout = ms(9000);
    after.tenancies[0].keys.push("another".into());
    after.limits = Limits { idle: ms(1), ..Limits::default() };
    let after = Catalog::from(after);
    let applied = Difference::between(&before, &after).apply(&before).unwrap();
    assert_eq!(applied.declared(), after.declared());
    assert_eq!(applied.hash(), after.hash());
}

// Guards against frequent changes that fill a link which all traffic shares.
#[test]
fn a_change_of_one_route_among_thousands_takes_some_hundred_bytes() {
    let before = Catalog::from(declared(1, 0..5000));
    let mut after = declared(2, 0..5000);
    after.routes[2500].timeout = ms(9000);
    assert!(size(&Difference::between(&before, &after.into())) < 500);
}

#[test]
fn a_difference_applies_to_its_base_configuration_only() {
    let before = Catalog::from(declared(1, 0..5));
    let difference = Difference::between(&before, &declared(3, 1..9).into());
    let other = Catalog::from(declared(2, 0..5));
    assert_eq!(difference.apply(&other).unwrap_err(), ApplyError::BaseMismatch);
}

#[test]
fn a_damaged_difference_is_refused() {
    let before = Catalog::from(declared(1, 0..5));
    let whole = Difference::between(&before, &declared(3, 1..9).into());
    let packed = postcard::to_stdvec(&whole).unwrap();
    for position in 0..packed.len() {
        let mut damaged = packed.clone();
        damaged[position] ^= 1;
        let Ok(damaged) = postcard::from_bytes::<Difference>(&damaged) else { continue };
        if damaged != whole {
            assert!(damaged.apply(&before).is_err(), "byte {position}");
        }
    }
}

#[test]
fn differences_between_random_configurations_apply() {
    let mut rng = StdRng::seed_from_u64(33);
    for version in 0..300 {
        let mut random_routes = || -> Vec<u64> {
            let length = rng.random_range(0..40);
            (0..length).map(|_| rng.random_range(0..30)).collect()
        };
        let before = Catalog::from(declared(version, random_routes()));
        let after = Catalog::from(declared(version + 1, random_routes()));
        let applied = Difference::between(&before, &after).apply(&before).unwrap();
        assert_eq!(applied.declared(), after.declared());
    }
}
