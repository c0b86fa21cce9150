//! A configuration is accepted while the connections of all watches of the platform are dead.
//!
//! Guards against taking a dead connection for a platform without changes: a watch waited for
//! 20 s and had 5 s more to answer, so that every entry instance received a configuration after
//! up to 25 s, where at most 16 s are allowed. The instance that wrote the configuration was
//! affected too, since it applies what its own watch returns.

use std::time::Duration;

use cinderspoke::ops::client::Admin;
use cinderspoke_test_support::fleet::{Fleet, Options};
use cinderspoke_test_support::network::{Delays, Network};
use cinderspoke_test_support::node::Ground;
use cinderspoke_test_support::world::World;
use cinderspoke_types::rate::ByteRate;
use cinderspoke_types::size::Bytes;
use tokio::time::{Instant, sleep};

/// The limit on the time until a configuration is in force everywhere.
const MAX_APPLY_TIME: Duration = Duration::from_secs(16);

/// Longer than all instances take to start their watches.
const WATCHES_STARTED: Duration = Duration::from_secs(1);

#[tokio::test(start_paused = true)]
async fn a_configuration_is_in_force_everywhere_in_time_although_all_watches_are_dead() {
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
    sleep(WATCHES_STARTED).await;
    fleet.platform.set_faults(|faults| faults.silences += 1);
    let accepted = fleet.apply(world.files("new")).await.unwrap();
    let began = Instant::now();
    for entry in &fleet.entries {
        let admin = Admin::new(fleet.ground.callers(), entry.settings.admin);
        while admin.configuration().await.unwrap().generation < accepted {
            assert!(began.elapsed() < MAX_APPLY_TIME, "{}", entry.settings.instance.as_str());
            sleep(Duration::from_millis(100)).await;
        }
    }
}
