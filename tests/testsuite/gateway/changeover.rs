//! The waves in which engines switch to a new version.

use std::time::Duration;

use cinderspoke_core::gateway::changeover::{Changeover, should_close_early, wave};
use yare::parameterized;

use super::ms;

#[test]
fn waves_leave_no_zone_and_no_service_without_engines() {
    let engines: Vec<(String, String)> =
        (0..12).map(|number| (format!("z{}", number % 3), format!("10.0.0.{number}"))).collect();
    let all: Vec<_> = engines.iter().map(|(zone, name)| (zone.as_str(), name.as_str())).collect();
    for version in ["m 2", "m 3", "m 4"] {
        for zone in ["z0", "z1", "z2"] {
            let of_zone = all.iter().filter(|(other, _)| *other == zone);
            let first = of_zone.filter(|own| wave(version, **own, &all) == 0).count();
            assert_eq!(first, 2, "{version} in {zone}");
        }
    }
    let single = [("a", "10.0.0.1"), ("b", "10.0.0.2")];
    let waves: Vec<_> = single.iter().map(|own| wave("m 2", *own, &single)).collect();
    assert_ne!(waves[0], waves[1], "zones of one engine switch one after the other");
}

#[test]
fn the_second_wave_closes_when_the_first_should_serve_again() {
    let (first, second) = (Changeover::of_wave(0), Changeover::of_wave(1));
    assert!(second.close_after() > first.abort_after());
    assert!(second.abort_after() > second.close_after());
}

// Guards against half of the engines closing too early and sitting idle behind a slow origin.
#[parameterized(
    fast_origin = { ms(10), 72 },
    remaining_chunks_take_the_drain_time = { ms(27), 72 },
    slow_origin = { ms(45), 82 },
    very_slow_origin = { ms(325), 94 },
    unknown_rate = { ms(0), 72 },
)]
fn the_first_wave_closes_once_remaining_chunks_arrive_within_the_drain_time(
    spacing: Duration,
    expected_held: usize,
) {
    let chunks = 96;
    let first = (0..=chunks).find(|held| should_close_early(*held, chunks, spacing));
    assert_eq!(first, Some(expected_held));
}
