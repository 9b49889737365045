//! Particular faults, each with the rule that it is meant for and without it.
//!
//! A schedule is tried at many moments. With the rule no moment gives a shard
//! two users; without it one does, so the schedule reaches what the rule is for.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod claims_world;

use claims_world::World;
use figscale_core::claims as core;
use figscale_types::claims;
use figscale_types::ids;
use figscale_types::instances;
use rstest::rstest;

fn without(change: impl FnOnce(&mut core::Guards)) -> core::Config {
    let mut config = claims_world::config();
    change(&mut config.guards);
    config
}

/// Nodes that share the shards, after a while of calm.
fn calm_world(moment: u64, len: usize, config: &core::Config) -> World {
    let mut world = World::new(moment, config.clone());
    for _ in 0..len {
        world.add();
    }
    world.run(4_000 + moment * 13);
    assert!(world.all_in_use(), "no users to begin with");
    world
}

/// Whether some moment gives a shard two users.
fn violates(schedule: fn(u64, &core::Config) -> World, config: &core::Config) -> bool {
    (0..60).any(|moment| schedule(moment, config).violation.is_some())
}

fn holder_of(world: &World, shard: &str) -> usize {
    world.users(&shard.parse().unwrap())[0]
}

/// The holder stops for long, perhaps with the answer to a renewal on its way.
fn pause_during_renewal(moment: u64, config: &core::Config) -> World {
    let mut world = calm_world(moment, 3, config);
    let holder = holder_of(&world, "id/00");
    world.pause(holder);
    world.run(6_000);
    world.resume(holder);
    world.run(1_000);
    world
}

/// The holder is cut off from the store, and its clock is slow.
fn cut_with_a_slow_clock(moment: u64, config: &core::Config) -> World {
    let mut world = World::new(moment, config.clone());
    world.add();
    world.nodes[0].rate = -claims_world::MAX_RATE;
    // The moments of the two's calls lie apart differently each time.
    world.run(moment * 17);
    world.add();
    world.nodes[1].rate = 0;
    world.run(4_000);
    world.cut(Some(0), None, true);
    world.run(6_000);
    world
}

/// A witness that has promised dies, comes back with the store, and the holder
/// stays cut off from it.
fn witness_comes_back(moment: u64, config: &core::Config) -> World {
    let mut world = calm_world(moment, 2, config);
    world.store.down = true;
    world.run(3_000);
    world.kill(1);
    world.start(1);
    world.cut(Some(0), None, true);
    world.store.down = false;
    world.run(6_000);
    world
}

/// Three of five are cut off together while three new ones join.
fn three_of_five_cut_off_while_three_join(moment: u64, config: &core::Config) -> World {
    let mut world = calm_world(moment, 5, config);
    world.run(3_000);
    for _ in 0..3 {
        world.add();
    }
    world.cut_off(&[3, 4, 5, 6, 7], &[0, 1, 2], true);
    world.run(15_000);
    world
}

#[rstest]
#[case::count_from_sent(pause_during_renewal, without(|g| g.count_from_sent = false))]
#[case::keep_margin(cut_with_a_slow_clock, without(|g| g.keep_margin = false))]
#[case::new_incarnations_wait(witness_comes_back, without(|g| g.new_incarnations_wait = false))]
#[case::written_list(
    three_of_five_cut_off_while_three_join,
    without(|g| g.count_over_written_list = false)
)]
fn the_rule_is_needed(
    #[case] schedule: fn(u64, &core::Config) -> World,
    #[case] bad: core::Config,
) {
    assert!(
        !violates(schedule, &claims_world::config()),
        "with the rule"
    );
    assert!(violates(schedule, &bad), "blind without the rule");
}

/// Runs until every shard has a user; the time that it took.
fn time_to_users(world: &mut World, longest_ms: u64) -> u64 {
    let began_ms = world.now_ms;
    while !world.all_in_use() {
        world.run(50);
        let waited_ms = world.now_ms - began_ms;
        assert!(waited_ms < longest_ms, "no users after {waited_ms} ms");
    }
    world.now_ms - began_ms
}

#[test]
fn three_of_five_cut_off_settle_once_the_cut_ends() {
    for moment in 0..20 {
        let config = claims_world::config();
        let mut world = three_of_five_cut_off_while_three_join(moment, &config);
        world.mend();
        time_to_users(&mut world, 15_000);
        assert!(world.violation.is_none());
    }
}

/// All are replaced at once while the store is away, under the same names or
/// under new ones.
#[rstest]
#[case::same_names(true)]
#[case::new_names(false)]
fn all_replaced_during_an_outage(#[case] same_names: bool) {
    for moment in 0..20 {
        let mut world = calm_world(moment, 5, &claims_world::config());
        world.store.down = true;
        world.run(4_000);
        assert!(world.all_in_use(), "an outage stops nobody");
        for index in 0..5 {
            world.kill(index);
        }
        for index in 0..5 {
            match same_names {
                true => world.start(index),
                false => {
                    world.add();
                }
            }
        }
        world.run(4_000);
        world.store.down = false;
        time_to_users(&mut world, 15_000);
        assert!(world.violation.is_none());
    }
}

/// A witness that died in an outage counts as gone only after a while, since
/// its last promise outlives it. Seen to fail with the time counted from the
/// last list that showed it.
#[test]
fn dead_witness_binds_until_its_promise_ends() {
    for moment in 0..40 {
        let mut world = calm_world(moment, 3, &claims_world::config());
        world.run(3_000);
        let holder = holder_of(&world, "id/00");
        let (witness, other) = ((holder + 1) % 3, (holder + 2) % 3);
        world.cut(Some(other), Some(holder), true);
        world.store.down = true;
        world.run(8_000 + moment * 7);
        world.kill(witness);
        world.run(claims_world::LAG_MS - 100);
        world.cut(Some(holder), None, true);
        world.store.down = false;
        world.run(6_000);
        assert!(world.violation.is_none(), "{:?}", world.violation);
    }
}

/// In an outage of any length all go on, and nothing changes hands.
#[test]
fn outage_of_an_hour() {
    let mut world = calm_world(1, 4, &claims_world::config());
    let before = world.store.claims.shards.clone();
    world.store.down = true;
    for _ in 0..120 {
        world.run(30_000);
        assert!(world.all_in_use());
    }
    world.store.down = false;
    world.run(5_000);
    assert!(world.all_in_use() && world.violation.is_none());
    assert_eq!(world.store.claims.shards, before);
}

/// An entry dies in an outage: the others go on, and its shards find a holder
/// when the store is back.
#[test]
fn death_during_an_outage() {
    for moment in 0..20 {
        let mut world = calm_world(moment, 5, &claims_world::config());
        world.store.down = true;
        world.run(4_000);
        let dead = holder_of(&world, "id/00");
        world.kill(dead);
        world.run(30_000);
        let others = world.users(&"job/00".parse().unwrap());
        assert!(!others.is_empty() || holder_in_document(&world, "job/00") == dead);
        world.store.down = false;
        time_to_users(&mut world, 15_000);
        assert!(world.violation.is_none());
    }
}

fn holder_in_document(world: &World, shard: &str) -> usize {
    let shard = &world.store.claims.shards[&shard.parse::<ids::ShardId>().unwrap()];
    let holder = shard.holder.as_ref().unwrap();
    let index = world.nodes.iter().position(|node| node.id == holder.id);
    index.unwrap()
}

/// At rest only leases are renewed and keys listed; the document stays.
#[test]
fn document_is_not_written_at_rest() {
    let mut world = calm_world(1, 8, &claims_world::config());
    world.run(10_000);
    let writes = world.store.writes;
    world.run(60_000);
    assert_eq!(world.store.writes, writes);
    assert!(writes < 60, "{writes} writes for eight to join");
}

/// A list of keys that was asked for before the document named a lease says
/// nothing of it.
#[rstest]
#[case::rule(claims_world::config(), false)]
#[case::no_rule(without(|g| g.list_after_document = false), true)]
fn an_earlier_list_proves_nothing(#[case] config: core::Config, #[case] asks: bool) {
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
    let asked = actions
        .iter()
        .any(|action| matches!(action, core::Action::Ask { .. }));
    assert_eq!(asked, asks);
}

/// Every member computes the same targets; a member that joins or leaves moves
/// little more than its share.
#[rstest]
#[case(2)]
#[case(5)]
#[case(8)]
#[case(15)]
fn targets_move_little(#[case] len: usize) {
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

/// A member dies while others drain shards for it and cannot write. Whoever keeps such a shard
/// holds it under a new epoch, since its users have stopped for the old one.
#[test]
fn drained_shards_are_not_used_under_the_same_epoch() {
    for moment in 0..60 {
        let mut world = calm_world(moment, 2, &claims_world::config());
        let joined = world.add();
        for _ in 0..400 {
            world.run(20);
            if world.nodes[0]
                .machine
                .as_ref()
                .unwrap()
                .status()
                .giving
                .is_empty()
            {
                continue;
            }
            // Nobody can write until the new member is known to be gone.
            world.cut(Some(0), None, true);
            world.cut(Some(1), None, true);
            world.kill(joined);
            world.run(1_500 + moment * 50);
            world.mend();
            break;
        }
        for _ in 0..600 {
            world.run(25);
            assert_eq!(world.used_after_drain(), None, "moment {moment}");
        }
        assert!(world.all_in_use() && world.violation.is_none());
    }
}

/// After the monotonic clock stood still, nothing is used before the store has
/// renewed the lease.
#[test]
fn a_jumped_clock_waits_for_the_store() {
    let mut world = calm_world(1, 3, &claims_world::config());
    let shard = "id/00".parse().unwrap();
    let holder = holder_of(&world, "id/00");
    world.clock_jumped(holder);
    assert!(world.users(&shard).is_empty());
    assert!(time_to_users(&mut world, 1_000) > 0);
}

/// The first member takes all shards and dies soon after others joined, while
/// the platform's list still names it: its shards come into use again.
#[test]
fn a_first_holder_that_dies_soon_is_survived() {
    for moment in 0..40 {
        let mut world = World::new(moment, claims_world::config());
        world.add();
        world.run(1_000 + moment * 7);
        assert!(world.all_in_use(), "moment {moment}");
        world.add();
        world.add();
        let members = |world: &World| {
            let machine = world.nodes[0].machine.as_ref();
            let document = machine.and_then(core::Machine::document);
            document.map_or(0, |(_, claims)| claims.members.len())
        };
        while members(&world) < 3 {
            world.run(5);
        }
        world.run(150);
        world.kill_listed(0);
        world.run(10_000);
        assert!(world.violation.is_none(), "moment {moment}");
        assert!(world.all_in_use(), "moment {moment}: nobody took over");
    }
}
