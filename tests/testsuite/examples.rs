//! The sample configurations have no findings and name the weights that the stand-ins generate.

use cinderspoke_core::manifest::Manifest;
use cinderspoke_test_support::fleet::check;
use cinderspoke_test_support::samples::Sample;
use cinderspoke_test_support::weights::{CHUNK, generate};
use yare::parameterized;

#[parameterized(
    adjei_bross = { Sample::AdjeiBross, 0.2, "cinder-readers" },
    prairie_shelf = { Sample::PrairieShelf, 0.9, "reader-assist" },
)]
fn a_sample_is_valid_and_its_manifests_match_the_generated_weights(
    sample: Sample,
    origin_weight: f64,
    readers: &str,
) {
    let configuration = check(&sample.files()).unwrap();
    assert_eq!(configuration.teams.len(), 10);
    assert_eq!(configuration.zones.len(), 3);
    assert!((configuration.origin_weight - origin_weight).abs() < f64::EPSILON);
    assert_eq!(configuration.services[&readers.parse().unwrap()].replicas.get(), 12);
    for model in configuration.models.values() {
        for version in &model.version {
            let weights = generate(&model.name, &version.name, version.size);
            assert_eq!(version.manifest, Manifest::build(&weights, CHUNK).digest());
        }
    }
}
