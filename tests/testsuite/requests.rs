//! What callers receive for invalid, refused and interrupted requests, and how they cancel one.

use cinderspoke_test_support::caller::{Answer, Caller};
use cinderspoke_test_support::fleet::{Fleet, Options};
use cinderspoke_test_support::samples::small;
use http::StatusCode;

use crate::path::LIVE;

async fn live() -> Fleet {
    let files = small();
    let mut fleet = Fleet::spawn(&files, &Options::default()).await.unwrap();
    let generation = fleet.apply(files).await.unwrap();
    fleet.live(generation, LIVE).await.unwrap();
    fleet
}

#[tokio::test(flavor = "multi_thread")]
async fn an_invalid_request_is_answered_with_its_error() {
    let fleet = live().await;
    let entry = fleet.callers()[0];
    let caller = Caller::new("strangers".parse().unwrap());
    let service = "jobs".parse().unwrap();
    let answer = caller.call(entry, &service, "/x", "a", true).await.answer;
    assert!(matches!(answer, Answer::Bad(StatusCode::FORBIDDEN, _)), "{answer:?}");
    let caller = Caller::new("readers".parse().unwrap());
    let answer = caller.call(entry, &"nothing".parse().unwrap(), "/x", "a", true).await.answer;
    assert!(matches!(answer, Answer::Bad(StatusCode::NOT_FOUND, _)), "{answer:?}");
    let big = "x".repeat(2 << 20);
    let answer = caller.call(entry, &service, "/x", &big, true).await.answer;
    assert!(matches!(answer, Answer::Bad(StatusCode::PAYLOAD_TOO_LARGE, _)), "{answer:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_team_above_its_limit_is_refused_as_not_run() {
    let fleet = live().await;
    let entry = fleet.callers()[0];
    let caller = Caller::new("guests".parse().unwrap());
    let service = "jobs".parse().unwrap();
    let first = caller.call(entry, &service, "/x", "first", true).await.answer;
    assert_eq!(first, Answer::Whole { manifest: None });
    let second = caller.call(entry, &service, "/x", "second", true).await.answer;
    assert_eq!(second, Answer::NotRun(StatusCode::TOO_MANY_REQUESTS));
    assert!(!cinderspoke_test_support::fleet::runs(&fleet).contains_key("second"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_broken_stream_is_never_reported_as_complete() {
    let fleet = live().await;
    for engine in fleet.agents.iter().filter_map(|agent| agent.engine()) {
        engine.set_behaviour(|behaviour| behaviour.breaks_after = Some(3));
    }
    let caller = Caller::new("readers".parse().unwrap());
    let answer = caller.generate(fleet.callers()[0], &"say".parse().unwrap(), "a", 10).await.answer;
    assert!(matches!(answer, Answer::Broken(_)), "{answer:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_disconnects_cancels_its_request_at_the_engine() {
    let fleet = live().await;
    let caller = Caller::new("readers".parse().unwrap());
    let (entry, service) = (fleet.callers()[0], "say".parse().unwrap());
    let request = tokio::spawn(async move { caller.generate(entry, &service, "a", 100_000).await });
    tokio::time::sleep(std::time::Duration::from_millis(200)).await;
    request.abort();
    let cancelled = || {
        let engines = fleet.agents.iter().filter_map(|agent| agent.engine());
        engines.map(|engine| engine.record().cancelled).sum::<u32>()
    };
    let started = tokio::time::Instant::now();
    while cancelled() == 0 {
        assert!(started.elapsed() < LIVE);
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_no_endpoint_accepts_is_refused_as_not_run() {
    let fleet = live().await;
    for engine in fleet.agents.iter().filter_map(|agent| agent.engine()) {
        engine.set_behaviour(|behaviour| behaviour.refuses = true);
    }
    let caller = Caller::new("readers".parse().unwrap());
    let answer = caller.generate(fleet.callers()[0], &"say".parse().unwrap(), "a", 10).await.answer;
    assert_eq!(answer, Answer::NotRun(StatusCode::SERVICE_UNAVAILABLE));
    assert!(!cinderspoke_test_support::fleet::runs(&fleet).contains_key("a"));
}
