//! The regions in which a request may be served.

use cinderspoke_core::gateway::name::Region;
use cinderspoke_core::gateway::residency::{AllowedRegions, Residency};
use yare::parameterized;

fn allowed_regions(regions: &[&str]) -> AllowedRegions {
    regions.iter().map(|region| Region::from(*region)).collect()
}

fn residency(route: &[&str], team: &[&str]) -> Residency {
    [allowed_regions(route), allowed_regions(team)].into_iter().collect()
}

// Guards against serving a request where its route or its team does not allow it.
#[parameterized(
    none = { &[], &[], &["n", "s", ""] },
    route = { &["n"], &[], &["n"] },
    team = { &[], &["s"], &["s"] },
    both = { &["n", "s"], &["s", "c"], &["s"] },
    apart = { &["n"], &["s"], &[] },
)]
fn the_limits_of_route_and_team_both_apply(route: &[&str], team: &[&str], allowed: &[&str]) {
    let residency = residency(route, team);
    let regions = ["n", "s", "c", ""].map(Region::from);
    for region in &regions {
        let expected = allowed.contains(&region.as_str()) || (route.is_empty() && team.is_empty());
        assert_eq!(residency.allows(region), expected, "{region}");
    }
}

// Guards against serving a request outside its allowed regions when a newer configuration narrows
// them after the request was parsed.
#[test]
fn a_newer_configuration_limits_requests_that_are_not_sent_yet() {
    let narrowed = residency(&["n", "s"], &[]).and(residency(&["s"], &[]));
    assert!(narrowed.allows(&"s".into()));
    assert!(!narrowed.allows(&"n".into()));
}
