//! Which requests are quarantined, and how gateways exchange suspects.

use std::time::Duration;

use cinderspoke_core::gateway::fingerprint::{Fingerprint, Identity};
use cinderspoke_core::gateway::suspect::{Admission, Changes, Crash, Subject, Table, Update};
use cinderspoke_core::rendezvous::Key;

use super::ms;

/// A time after which the first quarantine of a request has ended on every gateway.
const FIRST_QUARANTINE_AND_SHARE: Duration = Duration::from_secs(121);

fn identity() -> Identity<'static> {
    Identity { method: "POST", host: "h", path: "/p", caller: "team", body: b"body" }
}

fn fatal() -> Fingerprint {
    Fingerprint::of(&identity())
}

fn other() -> Fingerprint {
    Fingerprint::of(&Identity { body: b"another", ..identity() })
}

/// A gateway whose clock starts at a time of its own.
#[derive(Default)]
struct Gateway {
    table: Table,
    name: &'static str,
    began: u64,
    ids: u64,
}

impl Gateway {
    fn new(name: &'static str, began: u64) -> Self {
        Self { name, began, ..Self::default() }
    }

    fn now(&self, now: u64) -> Duration {
        ms(now - self.began)
    }

    fn next_id(&mut self) -> u64 {
        self.ids += 1;
        Key::of(self.name).with(Key::of_number(self.ids)).as_u64()
    }

    /// Records the end of an endpoint to which a request was sent.
    fn crash(&mut self, request: Fingerprint, endpoint: &str, sent: u64, broke: u64) -> Changes {
        let id = self.next_id();
        let (sent, broke) = (self.now(sent), self.now(broke));
        let crash = Crash { id, endpoint: endpoint.into(), sent, disconnected: broke };
        self.table.record_crash(&[Subject::Request(request)], &crash, broke)
    }

    fn admit(&mut self, request: Fingerprint, now: u64) -> Admission {
        let id = self.next_id();
        self.table.admit(&[Subject::Request(request)], Key::of(self.name), id, self.now(now))
    }

    fn passes(&mut self, request: Fingerprint, now: u64) -> bool {
        self.admit(request, now) == Admission::Pass
    }

    fn updates(&self, now: u64) -> Vec<Update<Fingerprint>> {
        self.table.updates(self.now(now))
    }

    /// Merges the updates of another gateway. Returns whether they change anything.
    fn merge(&mut self, updates: &[Update<Fingerprint>], now: u64) -> bool {
        self.table.merge(updates, &[], self.now(now)).updated
    }

    /// Records three ends under a request, one after another, the last at 1500.
    fn crash_three_times(&mut self, request: Fingerprint) {
        self.crash(request, "e1", 100, 500);
        self.crash(request, "e2", 505, 1000);
        self.crash(request, "e3", 1005, 1500);
    }
}

/// Whether other gateways are to be informed, and nothing is quarantined or released.
fn only_updated() -> Changes {
    Changes { updated: true, ..Changes::default() }
}

#[test]
fn a_request_is_quarantined_after_three_ends_and_others_are_not() {
    let mut gateway = Gateway::new("g", 0);
    assert_eq!(gateway.crash(fatal(), "e1", 100, 500), only_updated());
    assert_eq!(gateway.crash(fatal(), "e2", 505, 1000), only_updated());
    assert!(gateway.passes(fatal(), 1001), "one or two ends may be coincidence");
    let third = gateway.crash(fatal(), "e3", 1005, 1500);
    assert!(third.updated);
    assert_eq!(third.quarantined, [Subject::Request(fatal())]);
    let Admission::Quarantined(_, left) = gateway.admit(fatal(), 1501) else {
        panic!("it is quarantined")
    };
    assert!(left > ms(50_000));
    assert!(gateway.passes(other(), 1501));
}

#[test]
fn requests_that_differ_in_any_part_have_different_fingerprints() {
    let others = [
        Identity { method: "GET", ..identity() },
        Identity { host: "other", ..identity() },
        Identity { path: "/p?q", ..identity() },
        Identity { caller: "other", ..identity() },
        Identity { body: b"other", ..identity() },
        Identity { path: "/pt", caller: "eam", ..identity() },
    ];
    assert!(others.iter().all(|other| Fingerprint::of(other) != fatal()));
    assert_eq!(Fingerprint::of(&identity()), fatal());
}

// Many callers send the same request, and a power failure ends all endpoints at once.
#[test]
fn ends_at_the_same_moment_quarantine_nothing() {
    let mut gateway = Gateway::new("g", 0);
    for number in 0..8 {
        gateway.crash(fatal(), &format!("e{number}"), 100 * number, 1000 + number);
    }
    assert!(gateway.passes(fatal(), 1100));
}

#[test]
fn an_answer_clears_a_request_everywhere() {
    let (mut one, mut two) = (Gateway::new("one", 0), Gateway::new("two", 0));
    one.crash(fatal(), "e1", 100, 500);
    one.crash(fatal(), "e2", 505, 1000);
    two.merge(&one.updates(1010), 1010);
    assert_eq!(two.table.record_answer(&[Subject::Request(fatal())], ms(1100)), only_updated());
    assert!(one.merge(&two.updates(1110), 1110));
    // A gateway that does not know the answer does not restore the ends.
    let mut three = Gateway::new("three", 0);
    three.crash(fatal(), "e1", 100, 500);
    three.crash(fatal(), "e2", 505, 1000);
    one.merge(&three.updates(1200), 1200);
    for gateway in [&mut one, &mut two] {
        gateway.crash(fatal(), "e3", 1205, 1500);
        gateway.crash(fatal(), "e4", 1505, 2000);
        assert!(gateway.passes(fatal(), 2001), "only two since the answer");
    }
}

#[test]
fn ends_that_several_gateways_saw_add_up_and_each_counts_once() {
    let mut gateways = [Gateway::new("a", 0), Gateway::new("b", 0), Gateway::new("c", 0)];
    // Two gateways had attempts at the endpoint that ended first.
    gateways[0].crash(fatal(), "e1", 100, 500);
    gateways[1].crash(fatal(), "e1", 300, 504);
    gateways[1].crash(fatal(), "e2", 510, 1000);
    // Updates are forwarded again and again, with a network delay of 40 ms.
    let mut now = 1000;
    for round in 0..60 {
        now += 40;
        let updates = gateways[round % 3].updates(now - 40);
        gateways[(round + 1) % 3].merge(&updates, now);
        let updates = gateways[(round + 1) % 3].updates(now - 40);
        gateways[(round + 2) % 3].merge(&updates, now);
    }
    assert!(gateways.iter_mut().all(|gateway| gateway.passes(fatal(), now)), "two have ended");
    gateways[2].crash(fatal(), "e3", now, now + 400);
    let updates = gateways[2].updates(now + 400);
    for gateway in &mut gateways[..2] {
        assert!(gateway.merge(&updates, now + 410));
        assert!(matches!(gateway.admit(fatal(), now + 420), Admission::Quarantined(..)));
        assert!(!gateway.merge(&updates, now + 430), "a repeated update changes nothing");
    }
}

#[test]
fn a_gateway_that_starts_later_quarantines_for_the_remaining_time() {
    let mut old = Gateway::new("old", 0);
    old.crash_three_times(fatal());
    let mut young = Gateway::new("young", 20_000);
    young.merge(&old.updates(20_003), 20_003);
    let Admission::Quarantined(_, left) = young.admit(fatal(), 20_004) else {
        panic!("it is quarantined")
    };
    assert!(left > ms(41_000) && left < ms(102_000), "{left:?}");
}

#[test]
fn one_gateway_probes_a_request_and_others_quarantine_it_for_longer() {
    let names = ["a", "b", "c", "d", "e"];
    let mut gateways = names.map(|name| Gateway::new(name, 0));
    gateways[0].crash_three_times(fatal());
    let updates = gateways[0].updates(1510);
    gateways[1..].iter_mut().for_each(|gateway| _ = gateway.merge(&updates, 1520));
    let mut now = 1520;
    let first = loop {
        now += 10;
        let admit = |gateway: &mut Gateway| {
            gateway.admit(fatal(), now) == Admission::Probe(Subject::Request(fatal()))
        };
        if let Some(number) = gateways.iter_mut().position(admit) {
            break number;
        }
    };
    assert!(ms(now - 1500) < FIRST_QUARANTINE_AND_SHARE);
    let updates = gateways[first].updates(now + 5);
    for number in (0..names.len()).filter(|number| *number != first) {
        assert!(gateways[number].merge(&updates, now + 20));
        let Admission::Quarantined(_, left) = gateways[number].admit(fatal(), now + 30) else {
            panic!("others wait")
        };
        assert!(left > ms(60_000) && left < FIRST_QUARANTINE_AND_SHARE * 2, "{left:?}");
    }
}

#[test]
fn an_answered_probe_ends_the_quarantine() {
    let mut gateway = Gateway::new("g", 0);
    gateway.crash_three_times(fatal());
    let later = 1500 + FIRST_QUARANTINE_AND_SHARE.as_millis() as u64;
    assert_eq!(gateway.admit(fatal(), later), Admission::Probe(Subject::Request(fatal())));
    assert!(matches!(gateway.admit(fatal(), later + 1), Admission::Quarantined(..)));
    gateway.table.record_answer(&[Subject::Request(fatal())], ms(later + 100));
    assert!(gateway.passes(fatal(), later + 101));
}

#[test]
fn suspects_and_updates_are_bounded_and_keep_quarantined_requests() {
    let mut gateway = Gateway::new("g", 0);
    gateway.crash_three_times(fatal());
    for number in 0..2000_u64 {
        let body = number.to_le_bytes();
        let coincidental = Fingerprint::of(&Identity { body: &body, ..identity() });
        gateway.crash(coincidental, "e9", 1600, 2000);
    }
    assert!(matches!(gateway.admit(fatal(), 2001), Admission::Quarantined(..)));
    assert!(gateway.updates(2001).len() < 100);
    let mut another = Gateway::new("another", 0);
    another.merge(&gateway.updates(2001), 2010);
    assert!(matches!(another.admit(fatal(), 2011), Admission::Quarantined(..)));
}

#[test]
fn old_ends_expire() {
    let mut gateway = Gateway::new("g", 0);
    gateway.crash(fatal(), "e1", 100, 500);
    gateway.crash(other(), "e2", 3_600_000, 3_600_100);
    assert!(!gateway.table.is_suspected(Subject::Request(fatal())));
    assert!(gateway.table.is_suspected(Subject::Request(other())));
}

#[test]
fn a_stored_quarantine_lasts_until_an_answer() {
    let (mut one, mut two) = (Gateway::new("one", 10_000), Gateway::new("two", 10_300));
    assert!(one.table.restore_quarantine(Subject::Request(fatal()), one.now(10_500)));
    assert!(
        !one.table.restore_quarantine(Subject::Request(fatal()), one.now(10_600)),
        "it is quarantined already"
    );
    assert!(two.table.restore_quarantine(Subject::Request(fatal()), two.now(10_700)));
    assert!(!two.merge(&one.updates(10_800), 10_810), "both restored the same ends");
    assert!(matches!(one.admit(fatal(), 10_900), Admission::Quarantined(..)));
    assert!(one.passes(other(), 10_900));
    let cleared = one.table.record_answer(&[Subject::Request(fatal())], one.now(11_000));
    assert!(cleared.updated);
    assert_eq!(cleared.released, [Subject::Request(fatal())]);
    assert!(two.merge(&one.updates(11_010), 11_020));
    assert!(two.passes(fatal(), 11_030));
}

// The gateway that saw the last end may not know the earlier ones, and a gateway that knows all
// of them may have seen none itself: the gateways that saw an end store the quarantine.
#[test]
fn gateways_that_saw_an_end_store_the_quarantine() {
    let (mut one, mut two, mut three) =
        (Gateway::new("one", 0), Gateway::new("two", 0), Gateway::new("three", 0));
    one.crash(fatal(), "e1", 100, 500);
    one.crash(fatal(), "e2", 505, 1000);
    assert_eq!(two.crash(fatal(), "e3", 1005, 1500), only_updated(), "it knows one end");
    let updates = [one.updates(1510), two.updates(1510)].concat();
    for (gateway, witnessed) in [(&mut one, true), (&mut two, true), (&mut three, false)] {
        let merged = gateway.table.merge(&updates, &[], ms(1520));
        assert_eq!(merged.quarantined, [Subject::Request(fatal())]);
        assert_eq!(!merged.witnessed.is_empty(), witnessed);
    }
}
