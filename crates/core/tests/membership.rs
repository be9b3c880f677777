//! Heartbeats, states and the choice of homes and relays.

use std::{collections::BTreeMap, time::Duration};

use hibiscusladder_core::{
    clock::Instant,
    membership::{Heartbeat, InstanceInfo, InstanceState, Membership, highest, weight},
    name::InstanceId,
};
use test_case::test_case;

fn at(ms: u64) -> Instant {
    Instant::new(Duration::from_millis(ms))
}

fn info(index: usize, data_centre: &str) -> InstanceInfo {
    InstanceInfo::new(&format!("i-{index}"), data_centre, &format!("10.0.0.{index}:7000"))
}

fn state(members: &Membership, index: usize) -> InstanceState {
    members.instance(&InstanceId::from(format!("i-{index}"))).expect("in the fleet").state
}

/// Instances that exchange heartbeats every 500 ms.
struct Fleet {
    members: BTreeMap<InstanceId, Membership>,
    now: u64,
}

impl Fleet {
    fn new(data_centres: &[&str]) -> Self {
        let infos: Vec<_> = data_centres
            .iter()
            .enumerate()
            .map(|(index, data_centre)| info(index, data_centre))
            .collect();
        let members = infos.iter().map(|own_info| {
            let mut members = Membership::new(own_info.clone());
            members.seed(infos.clone(), at(0));
            (own_info.id.clone(), members)
        });
        Self { members: members.collect(), now: 0 }
    }

    /// Advances the time by `ms`. Two instances exchange heartbeats only if `reach` returns true for them.
    fn run<F>(&mut self, ms: u64, reach: F)
    where
        F: Fn(&InstanceInfo, &InstanceInfo) -> bool,
    {
        let end = self.now + ms;
        while self.now < end {
            self.now += 500;
            let now = at(self.now);
            for id in self.members.keys().cloned().collect::<Vec<_>>() {
                let sender = self.members.get_mut(&id).expect("in the fleet");
                let (own_info, targets) = (sender.own_info().clone(), sender.targets());
                for target in targets.iter().filter(|target| reach(&own_info, target)) {
                    let beat =
                        self.members.get_mut(&id).expect("in the fleet").heartbeat(&target.id);
                    let receiver = self.members.get_mut(&target.id).expect("in the fleet");
                    receiver.receive(&beat, now);
                    let answer = receiver.heartbeat(&id);
                    self.members.get_mut(&id).expect("in the fleet").receive(&answer, now);
                }
                self.members.get_mut(&id).expect("in the fleet").tick(now);
            }
        }
    }

    /// State of instance `of` in the view of each other instance.
    fn states(&self, of: usize) -> Vec<InstanceState> {
        let others = self
            .members
            .values()
            .filter(|members| members.own_info().id.as_str() != format!("i-{of}"));
        others.map(|members| state(members, of)).collect()
    }
}

/// Guards against versions that rank candidates differently. The values come from another implementation of
/// SipHash-2-4 with a zero key.
#[test]
fn weight_is_stable() {
    assert_eq!(weight(&[], ""), 0xe849_e8bb_6ffe_2567);
    assert_eq!(weight(&["home", "padron", "padron-1"], "i-1"), 0xcf24_4db5_0202_1c8b);
    assert_ne!(weight(&["ab", "c"], "i"), weight(&["a", "bc"], "i"));
}

/// Guards against homes that move although their instance stays, and against an uneven distribution.
#[test]
fn highest_moves_only_homes_of_the_removed_instance() {
    let names: Vec<String> = (0..8).map(|index| format!("i-{index}")).collect();
    let home = |member: usize, without: usize| {
        let left = names.iter().enumerate().filter(|(index, _)| *index != without);
        let member = format!("m-{member}");
        highest(&["home", "d", &member], left.map(|(_, name)| name.as_str()), 1)[0]
    };
    let mut counts = BTreeMap::new();
    for member in 0..8_000 {
        let before = home(member, 99);
        *counts.entry(before).or_insert(0) += 1;
        assert!(before == "i-3" || home(member, 3) == before);
    }
    assert!(counts.values().all(|count| (850..1_150).contains(count)), "{counts:?}");
}

/// Guards against a home whose instance sends no messages, and against an instance that counts as dead too early.
#[test_case(1_400, InstanceState::Live)]
#[test_case(1_600, InstanceState::Suspected)]
#[test_case(5_100, InstanceState::Dead)]
fn tick_ages_unresponsive_instances(unresponsive_for: u64, expected: InstanceState) {
    let mut members = Membership::new(info(0, "a"));
    members.receive(&Heartbeat::new(info(1, "a")), at(0));
    members.tick(at(0));
    members.receive(&Heartbeat::new(info(1, "a")), at(1_000));
    let changes = members.tick(at(1_000 + unresponsive_for));
    assert_eq!(state(&members, 1), expected);
    assert_eq!(changes.len(), usize::from(expected != InstanceState::Live));
    let home = members.home(&"d".into(), &"m-2".into(), &"a".into(), &[]);
    let both = ["i-0", "i-1"];
    let chosen = highest(&["home", "d", "m-2"], both, 1)[0];
    assert_eq!(home, Some(if expected == InstanceState::Live { chosen } else { "i-0" }.into()));
}

/// Guards against a member without a home when its data centre has no live instance.
#[test]
fn home_falls_back_to_the_nearest() {
    let mut members = Membership::new(info(0, "c"));
    members.seed([info(1, "a"), info(2, "b")], at(0));
    let home = |members: &Membership| {
        members.home(&"d".into(), &"m".into(), &"a".into(), &["b".into(), "c".into()])
    };
    assert_eq!(home(&members), Some("i-1".into()));
    members.seed([InstanceInfo { state: InstanceState::Leaving, ..info(1, "a") }], at(0));
    assert_eq!(home(&members), Some("i-2".into()));
    members.unreachable(&"i-2".into(), at(0));
    assert_eq!(home(&members), Some("i-0".into()));
    members.leave();
    assert_eq!(home(&members), None);
}

/// Guards against old reports that make a leaving instance live again.
#[test]
fn receive_keeps_final_states() {
    let mut members = Membership::new(info(0, "a"));
    let leaving = InstanceInfo { state: InstanceState::Leaving, incarnation: 1, ..info(1, "a") };
    members.receive(&Heartbeat::new(leaving), at(0));
    members.receive(&Heartbeat::new(info(1, "a")), at(100));
    members.seed([info(1, "a")], at(100));
    let about = Heartbeat { recent: vec![info(1, "a")], ..Heartbeat::new(info(2, "a")) };
    members.receive(&about, at(100));
    assert_eq!(state(&members, 1), InstanceState::Leaving);
}

/// Guards against a suspicion that the others adopt from one instance, although they reach the suspected instance.
#[test]
fn suspicion_by_one_instance_is_not_adopted() {
    let mut fleet = Fleet::new(&["a"; 4]);
    let cut = |from: &InstanceInfo, to: &InstanceInfo| {
        let pair = [from.id.as_str(), to.id.as_str()];
        !(pair.contains(&"i-0") && pair.contains(&"i-1"))
    };
    fleet.run(4_000, cut);
    assert_eq!(state(&fleet.members["i-0"], 1), InstanceState::Suspected);
    for other in ["i-2", "i-3"] {
        assert_eq!(state(&fleet.members[other], 1), InstanceState::Live);
    }
}

/// Guards against two sides of a partition that stay separate after it ends, also when each side counts the other as
/// dead.
#[test_case(3_000; "suspected")]
#[test_case(10_000; "dead")]
fn partition_heals(length: u64) {
    let mut fleet = Fleet::new(&["a", "a", "a", "b", "b", "c", "c", "c"]);
    fleet.run(2_000, |_, _| true);
    fleet.run(length, |from, to| {
        (from.data_centre.as_str() == "c") == (to.data_centre.as_str() == "c")
    });
    let expected = if length > 5_000 { InstanceState::Dead } else { InstanceState::Suspected };
    assert_eq!(state(&fleet.members["i-0"], 5), expected);
    fleet.run(5_000, |_, _| true);
    for index in 0..8 {
        assert_eq!(fleet.states(index), [InstanceState::Live; 7], "i-{index}");
    }
}

/// Guards against work that grows with the fleet, and against dead and leaving instances that some instances do not
/// learn of.
#[test]
fn large_fleet_learns_changes() {
    let data_centres: Vec<&str> = (0..160).map(|index| ["a", "b", "c", "d"][index % 4]).collect();
    let mut fleet = Fleet::new(&data_centres);
    fleet.run(1_000, |_, _| true);
    let targets = fleet.members.values_mut().map(|members| members.targets().len()).max();
    assert!(targets <= Some(8 + 3 * 2), "{targets:?}");
    fleet.members.get_mut("i-9").expect("in the fleet").leave();
    fleet.run(9_000, |from, to| from.id.as_str() != "i-5" && to.id.as_str() != "i-5");
    let count = |states: Vec<InstanceState>, expected| {
        states.iter().filter(|state| **state == expected).count()
    };
    // The isolated instance `i-5` learns nothing.
    assert_eq!(count(fleet.states(9), InstanceState::Leaving), 158);
    assert_eq!(count(fleet.states(5), InstanceState::Dead), 159);
    let not_live =
        fleet.members["i-0"].instances().filter(|info| info.state != InstanceState::Live).count();
    assert_eq!(not_live, 2);
}

/// Guards against data centres in which no instance, or every instance, watches the store.
#[test]
fn relays_are_two_for_each_data_centre() {
    let fleet = Fleet::new(&["a", "a", "a", "a", "b"]);
    let relays = |name: &str, of: &str| fleet.members[name].relays(&of.into());
    assert_eq!(relays("i-0", "a").len(), 2);
    assert_eq!(relays("i-0", "a"), relays("i-4", "a"));
    assert_eq!(relays("i-0", "b"), ["i-4".into()]);
}
