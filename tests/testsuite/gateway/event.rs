//! Splitting streams into whole events.

use cinderspoke_core::gateway::event::Splitter;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yare::parameterized;

#[parameterized(
    line_feeds = { &["\n"] },
    carriage_returns_before_them = { &["\r\n"] },
    both_in_turn = { &["\n", "\r\n"] },
)]
fn events_are_whole_however_their_bytes_arrive(ends: &[&str]) {
    let mut ends = ends.iter().cycle();
    let mut end = || ends.next().unwrap();
    let stream: Vec<u8> = (0..40)
        .flat_map(|id| {
            let data = "x".repeat(id * 7 % 50);
            format!("id: {id}{}data: {data}{}{}", end(), end(), end()).into_bytes()
        })
        .collect();
    for seed in 0..200 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut splitter = Splitter::default();
        let (mut passed, mut rest) = (Vec::<u8>::new(), stream.as_slice());
        let (mut last, mut counted) = (None, 0);
        while !rest.is_empty() {
            let (piece, after) = rest.split_at(random.random_range(1..=rest.len().min(90)));
            rest = after;
            if let Some(whole) = splitter.push(piece).unwrap() {
                passed.extend(&whole.bytes);
                last = whole.last_id.or(last);
                let text = String::from_utf8(passed.clone()).unwrap().replace('\r', "");
                assert!(text.ends_with("\n\n"));
                let count = text.matches("\n\n").count();
                assert_eq!(last, Some(count as u64 - 1), "the number of the last event passed on");
                counted += whole.count;
                assert_eq!(counted, count);
            }
        }
        assert_eq!(passed, stream);
        assert!(!splitter.has_partial());
    }
}

#[test]
fn an_incomplete_event_is_not_passed_on() {
    let mut splitter = Splitter::default();
    let whole = splitter.push(b"id: 1\ndata: a\n\nid: 2\ndata: b\n").unwrap().unwrap();
    assert_eq!(whole.bytes, b"id: 1\ndata: a\n\n");
    assert_eq!((whole.count, whole.last_id), (1, Some(1)));
    assert!(splitter.has_partial());
}
