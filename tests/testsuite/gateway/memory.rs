//! The memory for answers that a gateway buffers, and who gives it up.

use std::sync::Arc;
use std::time::Duration;

use cinderspoke::gateway::memory::{Error, Memory};
use cinderspoke_types::size;
use tokio::time::timeout;

/// A budget of 100 bytes for answers.
fn budget() -> Arc<Memory> {
    Memory::new(size::Bytes::new(400))
}

// Guards against the loss of sound answers beside those of an endpoint that sends without end.
#[tokio::test]
async fn the_endpoint_that_holds_most_loses_its_largest_answer() {
    let memory = budget();
    let [mut sound, mut small, mut large] =
        ["sound", "endless", "endless"].map(|name| memory.share(&name.into()));
    sound.hold(40).await.unwrap();
    small.hold(20).await.unwrap();
    large.hold(30).await.unwrap();
    let grown = tokio::spawn(async move {
        sound.hold(60).await.unwrap();
        sound
    });
    tokio::task::yield_now().await;
    assert!(matches!(large.hold(40).await, Err(Error::Exhausted)));
    drop(large);
    let sound = grown.await.unwrap();
    assert_eq!(memory.used(), 80);
    small.hold(30).await.unwrap();
    drop((sound, small));
    assert_eq!(memory.used(), 0);
}

#[tokio::test(start_paused = true)]
async fn answers_wait_for_those_that_are_whole() {
    let memory = budget();
    let mut first = memory.share(&"a".into());
    first.hold(90).await.unwrap();
    first.finish().unwrap();
    let mut second = memory.share(&"a".into());
    assert!(timeout(Duration::from_secs(1), second.hold(20)).await.is_err());
    drop(first);
    second.hold(20).await.unwrap();
}

#[tokio::test]
async fn a_changed_limit_is_in_force_at_once() {
    let memory = budget();
    let mut share = memory.share(&"a".into());
    memory.set_limit(size::Bytes::new(800));
    share.hold(200).await.unwrap();
    assert!(matches!(share.hold(201).await, Err(Error::Exhausted)));
}
