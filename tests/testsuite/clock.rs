//! The clock that advances while the instance is suspended.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use cinderspoke::util::clock::{Clock, suspended};
use tokio::time::{Instant, sleep, timeout};

const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[test]
fn the_clock_never_goes_back_and_keeps_up_with_the_monotonic_clock() {
    let (clock, monotonic) = (Clock::start(), std::time::Instant::now());
    let mut before = Duration::ZERO;
    for _ in 0..100_000 {
        let now = clock.now();
        assert!(now >= before);
        before = now;
    }
    assert!(clock.now() + ms(1) >= monotonic.elapsed());
    assert!(clock.suspended() < ms(1), "{:?}", clock.suspended());
    assert!(suspended() >= clock.suspended());
}

#[tokio::test(start_paused = true)]
async fn the_clock_advances_while_the_instance_is_suspended() {
    static SUSPENDED: AtomicU64 = AtomicU64::new(5000);
    let clock = Clock::start_suspended_by(&SUSPENDED);
    assert_eq!(clock.now(), Duration::ZERO, "suspensions before the start do not count");
    sleep(ms(100)).await;
    SUSPENDED.store(8000, Ordering::SeqCst);
    assert_eq!(clock.now(), ms(3100));
    assert!(clock.was_suspended_since(Duration::ZERO));
    assert!(!clock.was_suspended_since(clock.suspended()));
}

#[tokio::test(start_paused = true)]
async fn a_deadline_passes_while_the_instance_is_suspended() {
    static SUSPENDED: AtomicU64 = AtomicU64::new(0);
    let clock = Clock::start_suspended_by(&SUSPENDED);
    let deadline = clock.after(ms(10_000));
    let waiting = tokio::spawn(async move {
        deadline
            .timeout(std::future::pending::<()>())
            .await
            .expect_err("a pending future has no result");
        deadline.passed().await;
        Instant::now()
    });
    let began = Instant::now();
    sleep(ms(100)).await;
    SUSPENDED.store(9000, Ordering::SeqCst);
    assert_eq!(deadline.left(), ms(900));
    assert!(!deadline.is_over());
    let ended = timeout(ms(20_000), waiting).await.unwrap().unwrap();
    assert_eq!(ended - began, ms(1000));
    assert!(deadline.is_over());
}

#[tokio::test(start_paused = true)]
async fn a_result_before_the_deadline_is_returned() {
    let deadline = Clock::start().after(ms(3000));
    let result = deadline.timeout(async {
        sleep(ms(2900)).await;
        7
    });
    assert_eq!(result.await.ok(), Some(7));
    assert!(deadline.timeout(sleep(ms(101))).await.is_err());
}
