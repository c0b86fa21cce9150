//! Which gateways read the configuration, and from whom the others fetch it.

use std::net::SocketAddr;
use std::time::Duration;

use cinderspoke_core::gateway::region::{Announcement, BEACON_INTERVAL, Role, Step, Table};

use yare::parameterized;

use super::ms;

const REGIONS: usize = 3;

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1000 + number))
}

/// How often gateways check whether they have to read.
const CHECK_INTERVAL: Duration = ms(100);

/// The gateways of a region and their common time.
struct Region {
    tables: Vec<Table>,
    regions: usize,
    now: Duration,
    // The gateways that have ended.
    lost: Vec<usize>,
}

impl Region {
    /// Starts `gateways` gateways in one of `regions` regions, and lets them exchange announcements
    /// until the readers are settled.
    fn spawn(gateways: u16, regions: usize) -> Self {
        let table = |number| Table::new(address(number), "near".into());
        let tables = (0..gateways).map(table).collect();
        let mut region = Self { tables, regions, now: ms(0), lost: Vec::new() };
        region.pass(ms(3000));
        region
    }

    /// Lets time pass in which all live gateways send announcements. In production only readers
    /// send them as often.
    fn pass(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += CHECK_INTERVAL;
            for sender in self.live() {
                let announcement = self.tables[sender].announcement(self.regions, self.now);
                for other in self.live().into_iter().filter(|other| *other != sender) {
                    self.tables[other].observe(address(sender as u16), &announcement, 1, self.now);
                }
            }
        }
    }

    fn live(&self) -> Vec<usize> {
        (0..self.tables.len()).filter(|number| !self.lost.contains(number)).collect()
    }

    /// Returns the live gateways that read.
    fn readers(&mut self) -> Vec<usize> {
        let mut live = self.live();
        live.retain(|number| self.tables[*number].role(self.regions, self.now) == Role::Reader);
        live
    }
}

fn near() -> Announcement {
    Announcement { region: "near".into(), reads: false }
}

fn far() -> Announcement {
    Announcement { region: "far".into(), reads: true }
}

#[parameterized(
    alone = { 1, REGIONS, 1 },
    three = { 3, REGIONS, 2 },
    many = { 40, REGIONS, 2 },
    one_region = { 40, 1, 4 },
)]
fn some_gateways_of_a_region_read_and_all_agree_on_which(
    gateways: u16,
    regions: usize,
    read: usize,
) {
    let mut region = Region::spawn(gateways, regions);
    assert_eq!(region.readers().len(), read);
}

#[test]
fn the_readers_of_all_regions_are_counted_together() {
    assert_eq!(Table::readers(1), 4);
    assert_eq!(Table::readers(REGIONS), 6);
}

#[test]
fn a_gateway_that_knows_no_other_in_its_region_reads_at_once() {
    let mut alone = Table::new(address(0), "near".into());
    for number in 1..20 {
        alone.observe(address(number), &far(), 1, ms(0));
    }
    assert_eq!(alone.role(REGIONS, ms(0)), Role::Reader);
}

// All readers end at the same moment, and so do some of the next gateways in rank. Announcements
// may be lost, so no gateway takes over at once, but some do in time to read, and not all.
#[parameterized(
    two = { 2, ms(1200) },
    four = { 4, ms(1700) },
)]
fn silent_readers_are_replaced_by_the_next_in_rank(count: usize, within: Duration) {
    let mut region = Region::spawn(40, REGIONS);
    while region.lost.len() < count {
        let readers = region.readers();
        region.lost.extend(readers);
        if region.lost.len() < count {
            region.pass(ms(3000));
        }
    }
    region.lost.truncate(count);
    let lost = region.lost.clone();
    region.lost.clear();
    region.pass(ms(3000));
    let before = region.readers();
    assert!(before.iter().all(|reader| lost.contains(reader)));
    region.lost = lost;
    region.pass(BEACON_INTERVAL * 3 - CHECK_INTERVAL);
    assert!(region.readers().is_empty());
    region.pass(within - BEACON_INTERVAL * 3 + CHECK_INTERVAL);
    assert_eq!(region.readers().len(), 2);
    region.pass(ms(2000));
    assert_eq!(region.readers().len(), 2);
}

// A planned stop takes seconds, in which others take over before any configuration is late.
#[test]
fn a_draining_reader_is_replaced_before_it_ends() {
    let mut region = Region::spawn(20, REGIONS);
    let before = region.readers();
    region.tables[before[0]].start_draining();
    region.pass(ms(400));
    let reading = region.readers();
    assert_eq!(reading.len(), 2);
    assert!(reading.contains(&before[1]) && !reading.contains(&before[0]));
}

#[test]
fn a_draining_gateway_keeps_reading_if_there_is_no_other() {
    let mut region = Region::spawn(1, REGIONS);
    region.tables[0].start_draining();
    assert_eq!(region.readers(), [0]);
    let mut region = Region::spawn(4, REGIONS);
    region.tables.iter_mut().for_each(Table::start_draining);
    region.pass(ms(2000));
    assert!(!region.readers().is_empty(), "all drain at once");
}

#[test]
fn a_reader_that_the_platform_does_not_answer_is_replaced_until_it_does() {
    let mut region = Region::spawn(20, REGIONS);
    let before = region.readers();
    region.tables[before[0]].set_platform_answers(false);
    region.pass(ms(500));
    let reading = region.readers();
    assert_eq!(reading.len(), 3, "the unanswered reader still tries");
    assert!(before.iter().all(|number| reading.contains(number)));
    region.tables[before[0]].set_platform_answers(true);
    region.pass(ms(500));
    assert_eq!(region.readers(), before);
}

#[test]
fn all_gateways_read_if_the_platform_answers_none() {
    let mut region = Region::spawn(20, REGIONS);
    for _ in 0..20 {
        region.tables.iter_mut().for_each(|table| table.set_platform_answers(false));
        region.pass(CHECK_INTERVAL);
    }
    assert_eq!(region.readers().len(), 20);
}

#[test]
fn a_gateway_of_the_region_is_queried_at_once_and_before_any_other() {
    let mut table = Table::new(address(0), "near".into());
    table.observe(address(1), &far(), 9, ms(0));
    table.observe(address(2), &near(), 8, ms(0));
    let step = table.next_step(7, ms(5000), Role::Follower, ms(0), 0.5);
    assert_eq!(step, Step::FetchNear(address(2)));
}

#[test]
fn the_newest_version_in_the_region_is_fetched() {
    let mut table = Table::new(address(0), "near".into());
    for (number, version) in [(1, 8), (2, 9), (3, 9), (4, 7)] {
        table.observe(address(number), &near(), version, ms(0));
    }
    for draw in [0.0, 0.3, 0.7, 1.0] {
        let Step::FetchNear(queried) = table.next_step(7, ms(0), Role::Reader, ms(0), draw) else {
            panic!("a gateway of the region is queried");
        };
        assert!([address(2), address(3)].contains(&queried));
    }
}

#[test]
fn a_follower_waits_for_its_region_before_it_queries_another() {
    let mut table = Table::new(address(0), "near".into());
    table.observe(address(1), &far(), 9, ms(0));
    let step = |role, behind| table.next_step(7, behind, role, ms(0), 0.5);
    assert_eq!(step(Role::Follower, ms(100)), Step::Wait(ms(300)));
    assert_eq!(step(Role::Follower, ms(400)), Step::FetchFar(address(1)));
    assert_eq!(step(Role::Reader, ms(20)), Step::Wait(ms(40)));
    assert_eq!(step(Role::Reader, ms(60)), Step::FetchFar(address(1)));
}

// Guards against all gateways of a region fetching from another one at the same moment, which
// would fill the link.
#[test]
fn followers_query_another_region_one_after_another_and_all_in_time() {
    let mut region = Region::spawn(40, REGIONS);
    let now = region.now;
    for table in &mut region.tables {
        table.observe(address(100), &far(), 9, now);
    }
    let fetches = |table: &Table, behind| {
        table.next_step(1, behind, Role::Follower, now, 0.5) == Step::FetchFar(address(100))
    };
    let fetching = |behind| region.tables.iter().filter(|table| fetches(table, behind)).count();
    assert_eq!(fetching(ms(399)), 0);
    assert_eq!(fetching(ms(400)), 1);
    assert_eq!(fetching(ms(700)), 3);
    assert_eq!(fetching(ms(1150)), 40);
}

#[test]
fn a_queried_gateway_is_not_queried_again_before_its_next_announcement() {
    let mut table = Table::new(address(0), "near".into());
    assert!(table.observe(address(1), &near(), 8, ms(0)), "it was unknown");
    table.record_query(address(1));
    assert_eq!(table.next_step(7, ms(0), Role::Follower, ms(0), 0.5), Step::Idle);
    assert!(!table.observe(address(1), &near(), 8, ms(0)));
    assert_eq!(table.next_step(7, ms(0), Role::Follower, ms(0), 0.5), Step::FetchNear(address(1)));
    assert_eq!(table.next_step(8, ms(0), Role::Follower, ms(0), 0.5), Step::Idle);
}

// Instances are replaced at other addresses as long as the others run.
#[test]
fn gateways_that_have_ended_are_removed() {
    let mut table = Table::new(address(0), "near".into());
    for number in 1..2000 {
        table.observe(address(number), &near(), 1, ms(1000 * u64::from(number)));
    }
    assert!(table.local_peers().len() < 700, "{} are kept", table.local_peers().len());
    assert!(table.local_peers().contains(&address(1999)));
}
