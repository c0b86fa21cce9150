//! Who reads the configuration, and who asks whom for it.

use std::net::SocketAddr;
use std::time::Duration;

use cinderspoke_core::gateway::region::{Announcement, BEACON_INTERVAL, Role, Step, Table};

use yare::parameterized;

use super::ms;

const REGIONS: usize = 3;

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1000 + number))
}

/// How often gateways look whether they still are to read.
const LOOK: Duration = ms(100);

/// The gateways of a region and the time at which they are.
struct Region {
    tables: Vec<Table>,
    regions: usize,
    now: Duration,
    // Those that have ended.
    lost: Vec<usize>,
}

impl Region {
    /// So many gateways, of one of some regions, that have heard of each other and gone by
    /// what they heard.
    fn spawn(gateways: u16, regions: usize) -> Self {
        let table = |number| Table::new(address(number), "near".into());
        let tables = (0..gateways).map(table).collect();
        let mut region = Self { tables, regions, now: ms(0), lost: Vec::new() };
        region.pass(ms(3000));
        region
    }

    /// Lets time pass in which all who live tell the others what they are: in truth only
    /// those who read do so as often.
    fn pass(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += LOOK;
            for teller in self.living() {
                let announcement = self.tables[teller].announcement(self.regions, self.now);
                for other in self.living().into_iter().filter(|other| *other != teller) {
                    self.tables[other].observe(address(teller as u16), &announcement, 1, self.now);
                }
            }
        }
    }

    fn living(&self) -> Vec<usize> {
        (0..self.tables.len()).filter(|number| !self.lost.contains(number)).collect()
    }

    /// Who of those that live reads.
    fn readers(&mut self) -> Vec<usize> {
        let mut living = self.living();
        living.retain(|number| self.tables[*number].role(self.regions, self.now) == Role::Reader);
        living
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
fn some_of_a_region_read_and_all_agree_on_who_does(gateways: u16, regions: usize, read: usize) {
    let mut region = Region::spawn(gateways, regions);
    assert_eq!(region.readers().len(), read);
}

#[test]
fn those_who_read_in_all_regions_share_the_asking() {
    assert_eq!(Table::readers(1), 4);
    assert_eq!(Table::readers(REGIONS), 6);
}

#[test]
fn a_gateway_that_knows_of_no_other_in_its_region_reads_at_once() {
    let mut alone = Table::new(address(0), "near".into());
    for number in 1..20 {
        alone.observe(address(number), &far(), 1, ms(0));
    }
    assert_eq!(alone.role(REGIONS, ms(0)), Role::Reader);
}

// All who read are lost at the same moment, and so are some of those who come next.
// Beacons may be lost, so nobody takes over at once; but in time to read, and not all.
#[parameterized(
    two = { 2, ms(1200) },
    four = { 4, ms(1700) },
)]
fn readers_who_are_silent_are_replaced_by_the_next(count: usize, within: Duration) {
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
    region.pass(BEACON_INTERVAL * 3 - LOOK);
    assert!(region.readers().is_empty());
    region.pass(within - BEACON_INTERVAL * 3 + LOOK);
    assert_eq!(region.readers().len(), 2);
    region.pass(ms(2000));
    assert_eq!(region.readers().len(), 2);
}

// A planned stop takes seconds, in which others take over before anything is late.
#[test]
fn a_reader_that_is_about_to_stop_is_replaced_before_it_ends() {
    let mut region = Region::spawn(20, REGIONS);
    let before = region.readers();
    region.tables[before[0]].start_draining();
    region.pass(ms(400));
    let reading = region.readers();
    assert_eq!(reading.len(), 2);
    assert!(reading.contains(&before[1]) && !reading.contains(&before[0]));
}

#[test]
fn one_that_is_about_to_stop_reads_on_where_no_other_one_is() {
    let mut region = Region::spawn(1, REGIONS);
    region.tables[0].start_draining();
    assert_eq!(region.readers(), [0]);
    let mut region = Region::spawn(4, REGIONS);
    region.tables.iter_mut().for_each(Table::start_draining);
    region.pass(ms(2000));
    assert!(!region.readers().is_empty(), "all stop at once");
}

#[test]
fn a_reader_that_the_platform_does_not_answer_is_replaced_until_it_does() {
    let mut region = Region::spawn(20, REGIONS);
    let before = region.readers();
    region.tables[before[0]].set_platform_answers(false);
    region.pass(ms(500));
    let reading = region.readers();
    assert_eq!(reading.len(), 3, "it still tries");
    assert!(before.iter().all(|number| reading.contains(number)));
    region.tables[before[0]].set_platform_answers(true);
    region.pass(ms(500));
    assert_eq!(region.readers(), before);
}

#[test]
fn all_read_where_the_platform_answers_nobody() {
    let mut region = Region::spawn(20, REGIONS);
    for _ in 0..20 {
        region.tables.iter_mut().for_each(|table| table.set_platform_answers(false));
        region.pass(LOOK);
    }
    assert_eq!(region.readers().len(), 20);
}

#[test]
fn one_of_the_region_is_asked_at_once_and_before_any_other() {
    let mut table = Table::new(address(0), "near".into());
    table.observe(address(1), &far(), 9, ms(0));
    table.observe(address(2), &near(), 8, ms(0));
    let step = table.next_step(7, ms(5000), Role::Follower, ms(0), 0.5);
    assert_eq!(step, Step::FetchNear(address(2)));
}

#[test]
fn the_newest_of_the_region_is_asked_for() {
    let mut table = Table::new(address(0), "near".into());
    for (number, version) in [(1, 8), (2, 9), (3, 9), (4, 7)] {
        table.observe(address(number), &near(), version, ms(0));
    }
    for draw in [0.0, 0.3, 0.7, 1.0] {
        let Step::FetchNear(asked) = table.next_step(7, ms(0), Role::Reader, ms(0), draw) else {
            panic!("one is asked");
        };
        assert!([address(2), address(3)].contains(&asked));
    }
}

#[test]
fn a_follower_waits_for_its_region_before_it_asks_far_away() {
    let mut table = Table::new(address(0), "near".into());
    table.observe(address(1), &far(), 9, ms(0));
    let step = |role, behind| table.next_step(7, behind, role, ms(0), 0.5);
    assert_eq!(step(Role::Follower, ms(100)), Step::Wait(ms(300)));
    assert_eq!(step(Role::Follower, ms(400)), Step::FetchFar(address(1)));
    assert_eq!(step(Role::Reader, ms(20)), Step::Wait(ms(40)));
    assert_eq!(step(Role::Reader, ms(60)), Step::FetchFar(address(1)));
}

// Were all of a region to ask far away at the same moment, they would fill the link.
#[test]
fn followers_ask_far_away_one_after_the_other_and_all_in_time() {
    let mut region = Region::spawn(40, REGIONS);
    let now = region.now;
    for table in &mut region.tables {
        table.observe(address(100), &far(), 9, now);
    }
    let asks = |table: &Table, behind| {
        table.next_step(1, behind, Role::Follower, now, 0.5) == Step::FetchFar(address(100))
    };
    let asking = |behind| region.tables.iter().filter(|table| asks(table, behind)).count();
    assert_eq!(asking(ms(399)), 0);
    assert_eq!(asking(ms(400)), 1);
    assert_eq!(asking(ms(700)), 3);
    assert_eq!(asking(ms(1150)), 40);
}

#[test]
fn whoever_was_asked_is_not_asked_again_before_it_says_more() {
    let mut table = Table::new(address(0), "near".into());
    assert!(table.observe(address(1), &near(), 8, ms(0)), "it was not known");
    table.record_query(address(1));
    assert_eq!(table.next_step(7, ms(0), Role::Follower, ms(0), 0.5), Step::Idle);
    assert!(!table.observe(address(1), &near(), 8, ms(0)));
    assert_eq!(table.next_step(7, ms(0), Role::Follower, ms(0), 0.5), Step::FetchNear(address(1)));
    assert_eq!(table.next_step(8, ms(0), Role::Follower, ms(0), 0.5), Step::Idle);
}

// Instances are replaced at other addresses as long as the others run.
#[test]
fn gateways_that_are_gone_are_forgotten() {
    let mut table = Table::new(address(0), "near".into());
    for number in 1..2000 {
        table.observe(address(number), &near(), 1, ms(1000 * u64::from(number)));
    }
    assert!(table.local_peers().len() < 700, "{} are kept", table.local_peers().len());
    assert!(table.local_peers().contains(&address(1999)));
}
