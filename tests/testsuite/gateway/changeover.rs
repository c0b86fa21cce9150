//! The waves in which engines change weights.

use cinderspoke_core::gateway::changeover::{Changeover, wave};

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
    assert_ne!(waves[0], waves[1], "zones of one engine go one after the other");
}

#[test]
fn the_second_wave_closes_when_the_first_should_be_back() {
    let (first, second) = (Changeover::of_wave(0), Changeover::of_wave(1));
    assert!(second.close() > first.break_off());
    assert!(second.break_off() > second.close());
}
