//! Specific fault schedules, each run with and without the safety rule that
//! guards against it.
//!
//! Each schedule is run with its faults at many different times. With the rule,
//! no shard ever has two users; without it, one does at some time, which shows
//! that the schedule reaches the fault that the rule prevents.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod claims_simulation;

use claims_simulation::Simulation;
use figscale_core::claims as core;
use figscale_types::claims;
use figscale_types::ids;
use figscale_types::instances;
use rstest::rstest;

fn config_without(change: impl FnOnce(&mut core::Guards)) -> core::Config {
    let mut config = claims_simulation::config();
    change(&mut config.guards);
    config
}

/// Runs a number of nodes without faults until they share the shards.
fn stable_simulation(moment: u64, len: usize, config: &core::Config) -> Simulation {
    let mut simulation = Simulation::new(moment, config.clone());
    for _ in 0..len {
        simulation.add();
    }
    simulation.run(4_000 + moment * 13);
    assert!(
        simulation.all_in_use(),
        "a shard is unused before the faults"
    );
    simulation
}

/// Whether some start time of the faults leads to a violation.
fn has_violation(schedule: fn(u64, &core::Config) -> Simulation, config: &core::Config) -> bool {
    (0..60).any(|moment| schedule(moment, config).violation.is_some())
}

fn holder_of(simulation: &Simulation, shard: &str) -> usize {
    simulation.users(&shard.parse().unwrap())[0]
}

/// The holder is paused for a long time, possibly while the response to a
/// renewal is in flight.
fn pause_during_renewal(moment: u64, config: &core::Config) -> Simulation {
    let mut simulation = stable_simulation(moment, 3, config);
    let holder = holder_of(&simulation, "id/00");
    simulation.pause(holder);
    simulation.run(6_000);
    simulation.resume(holder);
    simulation.run(1_000);
    simulation
}

/// The holder is cut off from the store, and its clock is slow.
fn cut_off_with_a_slow_clock(moment: u64, config: &core::Config) -> Simulation {
    let mut simulation = Simulation::new(moment, config.clone());
    simulation.add();
    simulation.nodes[0].clock_drift = -claims_simulation::MAX_CLOCK_DRIFT;
    // Varies the offset between the calls of the two nodes.
    simulation.run(moment * 17);
    simulation.add();
    simulation.nodes[1].clock_drift = 0;
    simulation.run(4_000);
    simulation.set_blocked(Some(0), None, true);
    simulation.run(6_000);
    simulation
}

/// A witness that has promised dies and restarts. The store becomes available
/// again, but the holder stays cut off from it.
fn witness_restarts_with_the_store(moment: u64, config: &core::Config) -> Simulation {
    let mut simulation = stable_simulation(moment, 2, config);
    simulation.store.down = true;
    simulation.run(3_000);
    simulation.kill(1);
    simulation.start(1);
    simulation.set_blocked(Some(0), None, true);
    simulation.store.down = false;
    simulation.run(6_000);
    simulation
}

/// Three of five members are partitioned off together while three new ones join.
fn three_of_five_cut_off_while_three_join(moment: u64, config: &core::Config) -> Simulation {
    let mut simulation = stable_simulation(moment, 5, config);
    simulation.run(3_000);
    for _ in 0..3 {
        simulation.add();
    }
    simulation.set_partitioned(&[3, 4, 5, 6, 7], &[0, 1, 2], true);
    simulation.run(15_000);
    simulation
}

#[rstest]
#[case::count_from_sent(pause_during_renewal, config_without(|g| g.count_from_sent = false))]
#[case::keep_margin(cut_off_with_a_slow_clock, config_without(|g| g.keep_margin = false))]
#[case::new_incarnations_wait(
    witness_restarts_with_the_store,
    config_without(|g| g.new_incarnations_wait = false)
)]
#[case::written_list(
    three_of_five_cut_off_while_three_join,
    config_without(|g| g.count_over_written_list = false)
)]
fn violation_only_without_the_rule(
    #[case] schedule: fn(u64, &core::Config) -> Simulation,
    #[case] without_rule: core::Config,
) {
    assert!(
        !has_violation(schedule, &claims_simulation::config()),
        "violation with the rule"
    );
    assert!(
        has_violation(schedule, &without_rule),
        "no violation without the rule"
    );
}

/// Runs until every shard is in use; returns the time that this took.
fn run_until_all_in_use(simulation: &mut Simulation, longest_ms: u64) -> u64 {
    let began_ms = simulation.now_ms;
    while !simulation.all_in_use() {
        simulation.run(50);
        let waited_ms = simulation.now_ms - began_ms;
        assert!(
            waited_ms < longest_ms,
            "a shard is unused after {waited_ms} ms"
        );
    }
    simulation.now_ms - began_ms
}

#[test]
fn three_of_five_cut_off_recover_once_the_partition_ends() {
    for moment in 0..20 {
        let config = claims_simulation::config();
        let mut simulation = three_of_five_cut_off_while_three_join(moment, &config);
        simulation.end_faults();
        run_until_all_in_use(&mut simulation, 15_000);
        assert!(simulation.violation.is_none());
    }
}

/// All members are replaced at once while the store is unavailable, under the
/// same names or under new ones.
#[rstest]
#[case::same_names(true)]
#[case::new_names(false)]
fn all_members_replaced_during_an_outage(#[case] same_names: bool) {
    for moment in 0..20 {
        let mut simulation = stable_simulation(moment, 5, &claims_simulation::config());
        simulation.store.down = true;
        simulation.run(4_000);
        assert!(
            simulation.all_in_use(),
            "a shard is unused during an outage of the store"
        );
        for index in 0..5 {
            simulation.kill(index);
        }
        for index in 0..5 {
            match same_names {
                true => simulation.start(index),
                false => {
                    simulation.add();
                }
            }
        }
        simulation.run(4_000);
        simulation.store.down = false;
        run_until_all_in_use(&mut simulation, 15_000);
        assert!(simulation.violation.is_none());
    }
}

/// A witness that died during an outage counts as gone only after a delay, since
/// its last promise is still valid after its death. Guards against measuring
/// this delay from the last list that showed the witness: that fails here.
#[test]
fn dead_witness_counts_as_gone_only_after_its_promise_ends() {
    for moment in 0..40 {
        let mut simulation = stable_simulation(moment, 3, &claims_simulation::config());
        simulation.run(3_000);
        let holder = holder_of(&simulation, "id/00");
        let (witness, other) = ((holder + 1) % 3, (holder + 2) % 3);
        simulation.set_blocked(Some(other), Some(holder), true);
        simulation.store.down = true;
        simulation.run(8_000 + moment * 7);
        simulation.kill(witness);
        simulation.run(claims_simulation::LAG_MS - 100);
        simulation.set_blocked(Some(holder), None, true);
        simulation.store.down = false;
        simulation.run(6_000);
        assert!(simulation.violation.is_none(), "{:?}", simulation.violation);
    }
}

/// During a long outage of the store all shards stay in use and keep their
/// holders.
#[test]
fn shards_stay_in_use_during_an_hour_of_outage() {
    let mut simulation = stable_simulation(1, 4, &claims_simulation::config());
    let before = simulation.store.claims.shards.clone();
    simulation.store.down = true;
    for _ in 0..120 {
        simulation.run(30_000);
        assert!(simulation.all_in_use());
    }
    simulation.store.down = false;
    simulation.run(5_000);
    assert!(simulation.all_in_use() && simulation.violation.is_none());
    assert_eq!(simulation.store.claims.shards, before);
}

/// A member dies during an outage: the others continue, and its shards get a new
/// holder once the store is available again.
#[test]
fn shards_of_a_member_that_dies_in_an_outage_move() {
    for moment in 0..20 {
        let mut simulation = stable_simulation(moment, 5, &claims_simulation::config());
        simulation.store.down = true;
        simulation.run(4_000);
        let dead = holder_of(&simulation, "id/00");
        simulation.kill(dead);
        simulation.run(30_000);
        let others = simulation.users(&"job/00".parse().unwrap());
        assert!(!others.is_empty() || holder_in_document(&simulation, "job/00") == dead);
        simulation.store.down = false;
        run_until_all_in_use(&mut simulation, 15_000);
        assert!(simulation.violation.is_none());
    }
}

fn holder_in_document(simulation: &Simulation, shard: &str) -> usize {
    let shard = &simulation.store.claims.shards[&shard.parse::<ids::ShardId>().unwrap()];
    let holder = shard.holder.as_ref().unwrap();
    let index = simulation
        .nodes
        .iter()
        .position(|node| node.id == holder.id);
    index.unwrap()
}

/// Without changes of the members only leases are renewed and keys are listed;
/// the document is not written.
#[test]
fn document_is_not_written_without_changes() {
    let mut simulation = stable_simulation(1, 8, &claims_simulation::config());
    simulation.run(10_000);
    let writes = simulation.store.writes;
    simulation.run(60_000);
    assert_eq!(simulation.store.writes, writes);
    assert!(
        writes < 60,
        "{writes} document writes for eight members to join"
    );
}

/// A list of keys that was requested before the document named a lease does not
/// show whether that lease has expired.
#[rstest]
#[case::rule(claims_simulation::config(), false)]
#[case::no_rule(config_without(|g| g.list_after_document = false), true)]
fn an_earlier_key_list_expires_no_lease(#[case] config: core::Config, #[case] expected: bool) {
    let now = std::time::Instant::now();
    let key = |name: &str| ids::MemberKey {
        id: name.parse().unwrap(),
        incarnation: ids::Incarnation(1),
    };
    let site = core::Site {
        peer_address: ([127, 0, 0, 1], 1).into(),
        failure_domain: "d0".parse().unwrap(),
    };
    let mut machine = core::Machine::new(config, key("m0"), site, 1, now);
    let mut document = claims::Claims::default();
    let read = |revision, claims| core::Input::Read {
        result: Ok((ids::Revision(revision), claims)),
        asked: revision == 1,
    };
    let actions = machine.handle(now, read(1, document.clone()));
    assert!(actions.contains(&core::Action::List));

    let member = claims::Member {
        incarnation: ids::Incarnation(1),
        peer_address: ([127, 0, 0, 1], 2).into(),
        failure_domain: "d0".parse().unwrap(),
        lease: ids::LeaseId(9),
        leaving: false,
    };
    document.members.insert("m1".parse().unwrap(), member);
    let shard = claims::Shard {
        holder: Some(key("m1")),
        ..claims::Shard::default()
    };
    document.shards.insert("id/00".parse().unwrap(), shard);
    machine.handle(now, read(2, document));
    let listed = core::Input::Listed { result: Ok(vec![]) };
    let actions = machine.handle(now, listed);
    let asks = actions
        .iter()
        .any(|action| matches!(action, core::Action::Ask { .. }));
    assert_eq!(asks, expected);
}

/// When a member joins, not many more shards move than its share, and no member
/// holds many more than its share.
#[rstest]
#[case(2)]
#[case(5)]
#[case(8)]
#[case(15)]
fn few_targets_move_when_a_member_joins(#[case] len: usize) {
    let list = instances::InstanceList::default();
    let shards: Vec<_> = core::by_shard(&list).into_keys().collect();
    let member = |index: usize| {
        let id: ids::MemberId = format!("m{index}").parse().unwrap();
        let domain: ids::FailureDomain = "d0".parse().unwrap();
        (id, domain)
    };
    let members: Vec<_> = (0..=len).map(member).collect();
    let before = core::targets(&shards, &members[..len]);
    let after = core::targets(&shards, &members);
    let moved = shards.iter().filter(|id| before[*id] != after[*id]).count();
    let share = shards.len() / (len + 1);
    println!(
        "{len} to {}: {moved} of {} move, share {share}",
        len + 1,
        shards.len()
    );
    assert!(moved <= 2 * share + 4, "{moved} moved, share {share}");
    for id in members.iter().map(|(id, _)| id) {
        let held = after.values().filter(|target| *target == id).count();
        assert!(held <= 2 * share + 4, "{id} has {held}, share {share}");
    }
}

/// A member dies while others drain shards for it and cannot write. A drained
/// shard that stays with its holder is used only under a new epoch, since its
/// use under the old epoch has ended.
#[test]
fn drained_shards_are_not_used_under_the_same_epoch() {
    for moment in 0..60 {
        let mut simulation = stable_simulation(moment, 2, &claims_simulation::config());
        let joined = simulation.add();
        for _ in 0..400 {
            simulation.run(20);
            if simulation.nodes[0]
                .machine
                .as_ref()
                .unwrap()
                .status()
                .giving
                .is_empty()
            {
                continue;
            }
            // No member can write until the new member is known to be dead.
            simulation.set_blocked(Some(0), None, true);
            simulation.set_blocked(Some(1), None, true);
            simulation.kill(joined);
            simulation.run(1_500 + moment * 50);
            simulation.end_faults();
            break;
        }
        for _ in 0..600 {
            simulation.run(25);
            assert_eq!(simulation.used_after_drain(), None, "moment {moment}");
        }
        assert!(simulation.all_in_use() && simulation.violation.is_none());
    }
}

/// After the monotonic clock has stood still, a member uses no shard until the
/// store has renewed its lease.
#[test]
fn no_shard_is_used_after_a_clock_jump_until_renewal() {
    let mut simulation = stable_simulation(1, 3, &claims_simulation::config());
    let shard = "id/00".parse().unwrap();
    let holder = holder_of(&simulation, "id/00");
    simulation.clock_jumped(holder);
    assert!(simulation.users(&shard).is_empty());
    assert!(run_until_all_in_use(&mut simulation, 1_000) > 0);
}

/// The first member holds all shards and dies soon after others have joined, and
/// the platform's instance list keeps listing it: its shards get new holders.
#[test]
fn shards_of_a_first_member_that_dies_soon_get_new_holders() {
    for moment in 0..40 {
        let mut simulation = Simulation::new(moment, claims_simulation::config());
        simulation.add();
        simulation.run(1_000 + moment * 7);
        assert!(simulation.all_in_use(), "moment {moment}");
        simulation.add();
        simulation.add();
        let members = |simulation: &Simulation| {
            let machine = simulation.nodes[0].machine.as_ref();
            let document = machine.and_then(core::Machine::document);
            document.map_or(0, |(_, claims)| claims.members.len())
        };
        while members(&simulation) < 3 {
            simulation.run(5);
        }
        simulation.run(150);
        simulation.kill_listed(0);
        simulation.run(10_000);
        assert!(simulation.violation.is_none(), "moment {moment}");
        assert!(
            simulation.all_in_use(),
            "moment {moment}: a shard has no new holder"
        );
    }
}
