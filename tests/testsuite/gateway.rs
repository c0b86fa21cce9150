//! The decisions of a gateway, each against what would break a promise.

use std::collections::BTreeMap;
use std::time::Duration;

use cinderspoke_core::gateway::attempt::{Fate, History, Next, Promise};
use cinderspoke_core::gateway::budget::{Budget, Terms};
use cinderspoke_core::gateway::call::Size;
use cinderspoke_core::gateway::catalog::{
    Access, Backend, Catalog, Declared, Engine, Kind, Limits, Route, Share, Tenancy,
};
use cinderspoke_core::gateway::changeover::{Changeover, wave};
use cinderspoke_core::gateway::directory::{Change, Directory, Entry, Keeper, SETTLE, State};
use cinderspoke_core::gateway::event::Splitter;
use cinderspoke_core::gateway::fact::Revision;
use cinderspoke_core::gateway::health::{self, Health, Sign};
use cinderspoke_core::gateway::listing::{Ask, Tree};
use cinderspoke_core::gateway::load::{Load, Report, first_token, in_turn};
use cinderspoke_core::gateway::pick::{Candidate, Choice, Wish, pick};
use cinderspoke_core::gateway::rollout::{Rollout, Timeline, Version};
use cinderspoke_core::rendezvous::Key;
use cinderspoke_core::swarm::Distance;
use cinderspoke_schema::control::Peer;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yare::parameterized;

const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

const FATES: [Fate; 4] = [Fate::NotSent, Fate::Refused, Fate::Lost, Fate::Failed];

/// All histories of at most `length` sends, each with the fates that led to it.
fn histories(length: usize) -> Vec<(Vec<Fate>, History)> {
    let mut all = vec![(Vec::new(), History::default())];
    let mut last = all.clone();
    for _ in 0..length {
        let mut longer = Vec::new();
        for (fates, history) in last {
            for fate in FATES {
                let (mut fates, mut history) = (fates.clone(), history);
                fates.push(fate);
                history.record(fate);
                longer.push((fates, history));
            }
        }
        all.extend(longer.clone());
        last = longer;
    }
    all
}

#[test]
fn no_history_promises_that_a_request_has_not_run_when_it_may_have() {
    for (fates, history) in histories(5) {
        let may_have_run = fates.iter().any(|fate| matches!(fate, Fate::Lost | Fate::Failed));
        let promise = if may_have_run { Promise::Nothing } else { Promise::NotRun };
        assert_eq!(history.promise(), promise, "{fates:?}");
    }
}

#[test]
fn what_may_run_once_is_never_sent_again_after_it_may_have_run() {
    for (fates, history) in histories(5) {
        let may_have_run = fates.iter().any(|fate| matches!(fate, Fate::Lost | Fate::Failed));
        for most in 1..4 {
            let next = history.next(false, most, true);
            assert!(!may_have_run || next != Next::Retry, "{fates:?} of {most}");
        }
    }
}

#[test]
fn no_request_runs_on_more_endpoints_than_its_route_allows() {
    for (fates, history) in histories(5) {
        let runs = fates.iter().filter(|fate| matches!(fate, Fate::Lost | Fate::Failed)).count();
        for most in 1..4 {
            let next = history.next(true, most, true);
            assert!(runs < most as usize || next != Next::Retry, "{fates:?} of {most}");
        }
        assert_ne!(history.next(true, 9, false), Next::Retry, "without time or budget");
    }
}

#[test]
fn refused_sends_end_as_well() {
    let mut history = History::default();
    let mut sends = 0;
    while history.next(true, 2, true) == Next::Retry {
        history.record(Fate::Refused);
        sends += 1;
        assert!(sends < 10, "a request that everyone refuses is never answered");
    }
    assert_eq!(history.promise(), Promise::NotRun);
}

#[test]
fn gateways_together_stay_within_the_budget() {
    let terms = Terms { ratio: 0.2, window: ms(10_000), slack: 100.0 };
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut budgets: Vec<Budget> = (0..7).map(|_| Budget::default()).collect();
    let (mut requests, mut repeats) = (Vec::new(), Vec::new());
    for step in 0..60_000_u64 {
        let now = ms(step);
        let budget = &mut budgets[random.random_range(0..7)];
        if random.random_bool(0.1) {
            budget.request(now, &terms);
            requests.push(now);
        }
        if budget.affords(now, &terms, 7) {
            budget.repeat(now);
            repeats.push(now);
        }
    }
    for end in (10_000..60_000).step_by(500) {
        let within = |times: &[Duration]| {
            times.iter().filter(|time| **time > ms(end - 10_000) && **time <= ms(end)).count()
        };
        let allowed = 0.2 * within(&requests) as f64 + 100.0;
        assert!(within(&repeats) as f64 <= allowed, "until {end} ms");
        assert!(within(&repeats) > 0, "the budget is never spent");
    }
}

#[test]
fn events_are_whole_however_their_bytes_arrive() {
    let stream: Vec<u8> = (0..40)
        .flat_map(|id| format!("id: {id}\ndata: {}\n\n", "x".repeat(id * 7 % 50)).into_bytes())
        .collect();
    for seed in 0..200 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut splitter = Splitter::default();
        let (mut passed, mut rest) = (Vec::<u8>::new(), stream.as_slice());
        let mut last = None;
        while !rest.is_empty() {
            let (piece, after) = rest.split_at(random.random_range(1..=rest.len().min(90)));
            rest = after;
            if let Some(whole) = splitter.push(piece).unwrap() {
                assert!(whole.bytes.ends_with(b"\n\n"));
                passed.extend(&whole.bytes);
                last = whole.last.or(last);
                let count = passed.windows(2).filter(|pair| *pair == b"\n\n").count();
                assert_eq!(last, Some(count as u64 - 1), "the number of the last event passed on");
            }
        }
        assert_eq!(passed, stream);
        assert!(!splitter.is_torn());
    }
}

#[test]
fn an_event_that_breaks_off_is_not_passed_on() {
    let mut splitter = Splitter::default();
    let whole = splitter.push(b"id: 1\ndata: a\n\nid: 2\ndata: b\n").unwrap().unwrap();
    assert_eq!(whole.bytes, b"id: 1\ndata: a\n\n");
    assert_eq!((whole.count, whole.last), (1, Some(1)));
    assert!(splitter.is_torn());
}

fn entry(address: &str, state: State) -> Entry {
    Entry {
        service: "say".into(),
        address: address.parse().unwrap(),
        zone: "a".into(),
        slots: 16,
        state,
        models: Vec::new(),
        reports_models: true,
    }
}

fn listed(keeper: &Keeper) -> Vec<String> {
    keeper.directory().entries.keys().map(ToString::to_string).collect()
}

fn put(name: &str, address: &str, state: State) -> Change {
    Change::Put(name.into(), entry(address, state))
}

#[test]
fn entries_that_lapse_during_an_outage_are_kept_until_they_had_time_to_return() {
    let mut keeper = Keeper::default();
    let all = vec![
        put("a", "10.0.0.1:1", State::Ready),
        put("b", "10.0.0.2:1", State::Ready),
        put("c", "10.0.0.3:1", State::Leaving),
    ];
    keeper.apply(Revision(1), all, ms(0));
    keeper.returned(ms(1000));
    keeper.replace(Revision(2), Directory::default(), ms(1100));
    assert_eq!(listed(&keeper), ["a", "b"], "whoever was about to leave is gone");
    keeper.apply(Revision(3), vec![put("a", "10.0.0.1:1", State::Ready)], ms(2000));
    assert!(!keeper.settle(ms(1000) + SETTLE - ms(1)));
    assert!(keeper.settle(ms(1000) + SETTLE));
    assert_eq!(listed(&keeper), ["a"], "whoever did not return is gone");
}

#[test]
fn an_entry_that_goes_while_the_platform_answers_is_gone_at_once() {
    let mut keeper = Keeper::default();
    keeper.apply(Revision(1), vec![put("a", "10.0.0.1:1", State::Ready)], ms(0));
    assert!(keeper.apply(Revision(2), vec![Change::Removed("a".into())], ms(10)));
    assert!(listed(&keeper).is_empty());
}

#[test]
fn an_older_list_changes_nothing() {
    let mut keeper = Keeper::default();
    keeper.apply(Revision(5), vec![put("a", "10.0.0.1:1", State::Leaving)], ms(0));
    let old =
        Directory { entries: BTreeMap::from([("a".into(), entry("10.0.0.1:1", State::Ready))]) };
    assert!(!keeper.replace(Revision(4), old, ms(10)));
    assert_eq!(keeper.directory().entries.values().next().unwrap().state, State::Leaving);
}

#[test]
fn an_address_belongs_to_its_newest_endpoint() {
    let mut keeper = Keeper::default();
    keeper.apply(Revision(1), vec![put("a", "10.0.0.1:1", State::Ready)], ms(0));
    keeper.apply(Revision(2), vec![put("b", "10.0.0.1:1", State::Ready)], ms(0));
    assert_eq!(listed(&keeper), ["b"]);
}

fn named(version: u64) -> Rollout {
    let mut rollout = Rollout::default();
    rollout.name("m".into(), Version(version));
    rollout
}

#[test]
fn a_version_named_while_the_process_runs_leaves_the_old_one_its_time() {
    // The first version that a process hears of was once taken for one named long ago.
    let mut timeline = Timeline::default();
    timeline.learn(&Rollout::default(), ms(100), ms(4000));
    timeline.learn(&named(2), ms(20_000), ms(4000));
    assert_eq!(timeline.ends(&"m".into(), Version(1), ms(5000)), Some(ms(25_000)));
    assert_eq!(timeline.ends(&"m".into(), Version(2), ms(5000)), None);
    timeline.learn(&named(3), ms(22_000), ms(4000));
    assert_eq!(timeline.ends(&"m".into(), Version(1), ms(5000)), Some(ms(25_000)));
    assert_eq!(timeline.ends(&"m".into(), Version(2), ms(5000)), Some(ms(27_000)));
}

#[test]
fn a_version_that_is_found_at_the_start_may_be_old() {
    let mut timeline = Timeline::default();
    timeline.learn(&named(2), ms(1000), ms(4000));
    assert_eq!(timeline.ends(&"m".into(), Version(1), ms(5000)), Some(ms(5000)));
}

#[test]
fn versions_never_go_back() {
    let mut rollout = named(3);
    assert!(!rollout.merge(&named(2)));
    assert_eq!(rollout.version(&"m".into()), Version(3));
}

fn route(prefix: &str) -> Route {
    Route {
        name: prefix.into(),
        host: "h.example".into(),
        prefix: prefix.into(),
        kind: Kind::Safe,
        timeout: ms(2000),
        target: ms(300),
        target_gap: None,
        priority: 1,
        shares: vec![
            Share { service: "old".into(), weight: 90 },
            Share { service: "new".into(), weight: 10 },
        ],
        attempts: 2,
        public: false,
    }
}

fn catalog() -> Catalog {
    Declared {
        version: 1,
        routes: vec![route("/a/"), route("/a/b/")],
        backends: vec![Backend {
            service: "old".into(),
            connections: 10,
            origin: None,
            engine: None,
        }],
        tenancies: vec![Tenancy { team: "t".into(), keys: vec!["k".into()], priority: Some(0) }],
        limits: Limits::default(),
    }
    .into()
}

#[parameterized(
    longest = { "h.example", "/a/b/c", Some("/a/b/") },
    shorter = { "h.example", "/a/c", Some("/a/") },
    no_slash = { "h.example", "/a", None },
    other_host = { "g.example", "/a/b/", None },
)]
fn the_longest_prefix_of_the_host_wins(host: &str, path: &str, expected: Option<&str>) {
    let catalog = catalog();
    assert_eq!(catalog.route(host, path).map(|route| route.prefix.as_str()), expected);
}

#[test]
fn only_keys_of_teams_open_a_route() {
    let catalog = catalog();
    let route = catalog.route("h.example", "/a/").unwrap();
    assert_eq!(catalog.access(route, Some("k")), Access::Team(&"t".into(), Some(0)));
    assert_eq!(catalog.access(route, Some("other")), Access::Denied);
    assert_eq!(catalog.access(route, None), Access::Denied);
    let public = Route { public: true, ..route.clone() };
    assert_eq!(catalog.access(&public, None), Access::Open);
}

#[test]
fn shares_split_a_route_by_weight() {
    let route = route("/a/");
    let new = (0..1000).filter(|spread| route.service(*spread).unwrap().as_str() == "new").count();
    assert_eq!(new, 100);
}

fn engine() -> Engine {
    Engine {
        slots: 16,
        capacity: 300_000,
        step_ms: 9.0,
        per_request_ms: 0.02,
        per_context_ms: 0.03,
        read_per_s: 20_000.0,
        per_pairs_ms: 1.2,
        chunk: 2048,
        stride: 5,
        usual_prompt: 1000,
        usual_answer: 90,
        models: vec!["m".into()],
        layers: 16,
        chunks: 96,
        chunk_bytes: 24_576,
        load: ms(300),
    }
}

const SIZE: Size = Size { prompt: 1000, most: 100, guess: None };

fn report(running: u32, queued: u32) -> Report {
    let version = Some(Version(1));
    Report { running, queued, pace: 1.0, version, open: true, ..Report::default() }
}

#[test]
fn a_first_token_waits_for_the_prompts_ahead_and_for_a_slot() {
    let first = |running, queued| {
        let mut load = Load::default();
        load.reported(report(running, queued), ms(0), ms(1000));
        first_token(&engine(), &load.estimate(Some(&engine()), 7, ms(1000)), SIZE)
    };
    assert!(first(0, 0) < first(4, 0));
    assert!(first(4, 2) > first(4, 0) + ms(90), "two prompts of 50 ms are ahead");
    assert!(first(16, 4) > first(11, 4) + ms(100), "no slot is free");
}

#[test]
fn what_was_sent_since_the_report_counts() {
    let mut load = Load::default();
    load.reported(report(2, 0), ms(0), ms(1000));
    let before = load.estimate(Some(&engine()), 7, ms(1001));
    load.sent(1, 3000, ms(100), ms(1001));
    let after = load.estimate(Some(&engine()), 7, ms(1002));
    assert_eq!(after.requests, before.requests + 1.0);
    assert_eq!(after.unread, before.unread + 3000.0);
    load.begun(1);
    assert_eq!(load.estimate(Some(&engine()), 7, ms(1003)).unread, before.unread);
}

#[test]
fn an_endpoint_whose_agent_falls_silent_is_out_of_reach() {
    let mut load = Load::default();
    assert!(!load.is_out_of_reach(ms(5000)), "nothing was ever reported");
    load.reported(report(0, 0), ms(0), ms(1000));
    assert!(!load.is_out_of_reach(ms(1100)));
    assert!(load.is_out_of_reach(ms(3000)));
}

#[test]
fn an_endpoint_whose_reports_come_late_is_out_of_reach() {
    let mut load = Load::default();
    load.reported(report(0, 0), ms(100), ms(1000));
    load.reported(report(0, 0), ms(200), ms(1500));
    assert!(load.is_out_of_reach(ms(1501)), "400 ms later than the first");
    load.reported(report(0, 0), ms(600), ms(1502));
    assert!(!load.is_out_of_reach(ms(1503)));
}

#[test]
fn an_endpoint_that_hears_no_gateway_is_out_of_reach() {
    let mut load = Load::default();
    load.reported(Report { deaf: ms(900), ..report(0, 0) }, ms(0), ms(1000));
    assert!(load.is_out_of_reach(ms(1001)));
}

#[test]
fn an_endpoint_with_a_request_that_does_not_begin_is_stuck() {
    let mut load = Load::default();
    load.sent(1, 1000, ms(100), ms(1000));
    assert!(!load.is_stuck(ms(1200)));
    assert!(load.is_stuck(ms(1600)));
    load.begun(1);
    assert!(!load.is_stuck(ms(1700)));
}

#[test]
fn an_endpoint_that_stalls_is_left_out_and_then_tried_by_one_request() {
    let mut health = Health::default();
    assert!(health.record(Sign::Stall, ms(0)));
    assert_eq!(health.state(ms(100)), health::State::Out);
    assert_eq!(health.state(ms(900)), health::State::Trial);
    health.try_out(ms(900));
    assert_eq!(health.state(ms(901)), health::State::Out, "one request is enough");
    health.record(Sign::Good, ms(950));
    assert_eq!(health.state(ms(951)), health::State::Well);
}

#[test]
fn an_endpoint_that_fails_now_and_then_stays() {
    let mut health = Health::default();
    for request in 0..300 {
        let sign = if request % 7 == 0 { Sign::Failure } else { Sign::Good };
        assert!(!health.record(sign, ms(request)), "one in seven fails by itself");
    }
}

#[test]
fn an_endpoint_that_fails_most_requests_is_left_out() {
    let mut health = Health::default();
    let out = (0..30).any(|request| {
        let sign = if request % 3 == 0 { Sign::Good } else { Sign::Failure };
        health.record(sign, ms(request))
    });
    assert!(out);
}

fn candidate(number: usize, first: Duration, distance: Distance) -> Candidate {
    Candidate { number, distance, first, trial: false }
}

fn wish(returning: bool) -> Wish {
    Wish { target: ms(400), deadline: ms(6000), returning, spread: 7 }
}

#[test]
fn the_endpoint_that_begins_first_is_chosen_and_near_ones_win_ties() {
    let candidates = [
        candidate(0, ms(300), Distance::Zone),
        candidate(1, ms(100), Distance::Far),
        candidate(2, ms(100), Distance::Zone),
    ];
    assert_eq!(pick(&wish(false), &candidates), Choice::Send { number: 2, first: ms(100) });
}

#[test]
fn who_would_be_late_is_refused_once_and_then_served() {
    let late = [candidate(0, ms(900), Distance::Zone)];
    assert!(matches!(pick(&wish(false), &late), Choice::Refuse { best: Some(_), .. }));
    assert!(matches!(pick(&wish(true), &late), Choice::Send { .. }));
    assert!(matches!(pick(&wish(true), &[]), Choice::Refuse { best: None, .. }));
}

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

/// Agents named by numbers, so many in each zone.
fn agents(zones: &[&str], each: usize) -> Vec<Peer> {
    let all = zones.iter().flat_map(|zone| (0..each).map(move |number| (*zone, number)));
    let peer = |(zone, number): (&str, usize)| Peer {
        instance: format!("{zone}{number}").parse().unwrap(),
        zone: zone.parse().unwrap(),
        region: zone.parse().unwrap(),
        address: format!("127.0.0.1:{}", 1000 + number).parse().unwrap(),
    };
    all.map(peer).collect()
}

#[test]
fn one_agent_of_each_zone_asks_the_origin_for_a_listing_at_first() {
    let agents = agents(&["a", "b", "c"], 25);
    let asks = agents.iter().map(|own| Tree::new(Key::of("m 2"), own, &agents));
    let roots = asks.filter(|tree| tree.ask(0) == Ask::Origin).count();
    assert_eq!(roots, 3);
}

#[test]
fn every_agent_asks_the_origin_and_all_others_in_the_end() {
    let agents = agents(&["a", "b"], 20);
    for own in &agents {
        let tree = Tree::new(Key::of("m 2"), own, &agents);
        let asked: Vec<_> = (0..200).map(|attempt| tree.ask(attempt)).collect();
        let origin = asked.iter().position(|ask| *ask == Ask::Origin).unwrap();
        assert!(origin <= 10, "{} asks the origin only after {origin} attempts", own.instance);
        for other in agents.iter().filter(|other| other.instance != own.instance) {
            assert!(asked.contains(&Ask::Peer(other)), "never asks {}", other.instance);
        }
        assert!(!asked.contains(&Ask::Peer(own)));
    }
}

#[test]
fn an_agent_alone_asks_the_origin() {
    let agents = agents(&["a"], 1);
    let tree = Tree::new(Key::of("m 2"), &agents[0], &[]);
    assert!((0..9).all(|attempt| tree.ask(attempt) == Ask::Origin));
}

#[parameterized(
    few = { 7, 1 },
    more = { 20, 2 },
    many = { 40, 3 },
    hundreds = { 500, 3 },
)]
fn gateways_take_turns_in_being_told(gateways: usize, turns: usize) {
    let told: Vec<usize> = (5..5 + turns).flat_map(|tick| in_turn(gateways, tick)).collect();
    let mut all = told.clone();
    all.sort_unstable();
    assert!(all.into_iter().eq(0..gateways), "each is told once in {turns} turns");
    assert!(in_turn(gateways, 0).count() <= gateways.div_ceil(turns));
}
