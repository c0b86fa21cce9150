//! Target versions of models.

use cinderspoke_core::gateway::rollout::{Rollout, Version};

fn named(version: u64) -> Rollout {
    let mut rollout = Rollout::default();
    rollout.advance("m".into(), Version(version));
    rollout
}

#[test]
fn target_versions_never_decrease() {
    let mut rollout = named(3);
    assert!(!rollout.merge(&named(2)));
    assert_eq!(rollout.version(&"m".into()), Version(3));
}
