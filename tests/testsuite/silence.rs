//! A configuration that is accepted while the connections over which entry instances
//! wait for news of the platform have gone silent for good.
//!
//! Entry instances took a silent connection for a platform without news: a watch waited
//! for 20 s, and was given 5 s more to answer. All of them learned of a configuration
//! after up to 25 s, where 16 s are the most that it may take to be in force everywhere:
//! also the one that had written it, which goes by its own watch like the others.

use std::time::Duration;

use cinderspoke::ops::client::Admin;
use cinderspoke_test_support::fleet::{Fleet, Options};
use cinderspoke_test_support::network::{Delays, Network};
use cinderspoke_test_support::node::Ground;
use cinderspoke_test_support::world::World;
use cinderspoke_types::rate::ByteRate;
use cinderspoke_types::size::Bytes;
use tokio::time::{Instant, sleep};

/// Within how long a configuration has to be in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(16);

/// Longer than it takes all instances to wait for news.
const SETTLED: Duration = Duration::from_secs(1);

#[tokio::test(start_paused = true)]
async fn a_configuration_is_in_force_everywhere_although_all_watches_are_silent() {
    let world = World {
        zones: vec![("a-1", "a"), ("a-2", "a"), ("b-1", "b")],
        replicas: 3,
        plain: 3,
        size: Bytes::from_mib(1),
        chunk: Bytes::new(64 << 10),
        origin_weight: 0.9,
    };
    let options = Options {
        ground: Ground::Memory(Network::new(Delays::default())),
        origin_rate: ByteRate::new(Bytes::from_mib(2)),
        link_rate: ByteRate::new(Bytes::from_mib(1)),
        chunk: world.chunk,
        ..Options::default()
    };
    let mut fleet = Fleet::spawn(&world.files("old"), &options).await.unwrap();
    fleet.apply(world.files("old")).await.unwrap();
    sleep(SETTLED).await;
    fleet.platform.set_faults(|faults| faults.silences += 1);
    let accepted = fleet.apply(world.files("new")).await.unwrap();
    let began = Instant::now();
    for entry in &fleet.entries {
        let admin = Admin::new(fleet.ground.callers(), entry.settings.admin);
        while admin.configuration().await.unwrap().generation < accepted {
            assert!(began.elapsed() < IN_FORCE, "{}", entry.settings.instance.as_str());
            sleep(Duration::from_millis(100)).await;
        }
    }
}
