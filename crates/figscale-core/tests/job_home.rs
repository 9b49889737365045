//! A home that takes over a job and receives updates of attempts that an earlier
//! home started.

#![expect(clippy::unwrap_used, reason = "A test may panic.")]

use std::time;

use figscale_core::job::home;
use figscale_core::job::message;
use figscale_types::ids;
use figscale_types::jobs;
use figscale_types::sizes;
use indexmap::IndexMap;

const JOB: &str = "repricing";

fn now() -> home::Now {
    home::Now {
        at: time::Instant::now(),
        unix_ms: 1,
    }
}

/// A document with a job of one task whose first attempt has ended.
fn document() -> jobs::JobDocument {
    let spec = jobs::JobSpec {
        entry: "tides".parse().unwrap(),
        owner: "council".parse().unwrap(),
        tasks: 1,
        task: sizes::Resources::default(),
        run_ms: 1_000,
        deadline_ms: None,
        idempotent: true,
        checkpointable: false,
        command: String::new(),
    };
    let ended_once = jobs::TaskRecord {
        attempts: 1,
        ..jobs::TaskRecord::default()
    };
    let record = jobs::JobRecord {
        spec,
        accepted_unix_ms: 1,
        cancelled: false,
        reason: None,
        ended: None,
        tasks: IndexMap::from([(0, ended_once)]),
        ended_unix_ms: 0,
        terms: jobs::JobTerms::default(),
    };
    jobs::JobDocument {
        epoch: ids::Epoch(3),
        sequence: 7,
        placed: None,
        jobs: IndexMap::from([(JOB.parse().unwrap(), record)]),
    }
}

fn placer() -> ids::MemberKey {
    ids::MemberKey {
        id: "entry-1".parse().unwrap(),
        incarnation: ids::Incarnation(1),
    }
}

/// The next home of the job, after its first write.
fn next_home() -> home::Home {
    let shard = jobs::shard_of(&JOB.parse().unwrap()).unwrap();
    let key = message::HomeKey {
        shard,
        epoch: ids::Epoch(4),
    };
    let mut home = home::Home::new(home::Config::default(), key);
    let holder = home::ShardHolder {
        holder: Some(placer()),
        epoch: ids::Epoch(2),
    };
    let shards = IndexMap::from([("worker/fd/rack-0".parse().unwrap(), holder)]);
    home.set_shards(now(), &placer(), &shards);
    home.poll(now());
    home.on_read(now(), home::ReadOutcome::Read(ids::Revision(9), document()));
    home.poll(now());
    home.on_write(now(), home::WriteOutcome::Written(ids::Revision(10)));
    home.poll(now());
    home
}

fn event(number: u32, state: message::TaskState) -> message::TaskEvent {
    message::TaskEvent {
        attempt: message::Attempt {
            task: ids::TaskId {
                job: JOB.parse().unwrap(),
                index: 0,
            },
            number,
        },
        place: message::Place {
            shard: "worker/fd/rack-0".parse().unwrap(),
            worker: "worker-0".parse().unwrap(),
        },
        state,
    }
}

fn count_places(actions: &[home::Action]) -> usize {
    let place = |action: &&home::Action| {
        matches!(action, home::Action::Call(_, message::Question::Place(..)))
    };
    actions.iter().filter(place).count()
}

/// The earlier home has recorded the end of attempt 1, and may have placed attempt
/// 2, which then runs somewhere. A repeated update of that end must not place the
/// task again.
#[test]
fn a_repeated_recorded_end_does_not_place_the_task_again() {
    let mut home = next_home();
    let lapsed = message::TaskState::Ended(message::End::Lapsed);
    home.on_updates(now(), &placer(), &[event(1, lapsed)]);
    assert_eq!(count_places(&home.poll(now())), 0);
}

fn later(from: home::Now, by_ms: u64) -> home::Now {
    home::Now {
        at: from.at + time::Duration::from_millis(by_ms),
        ..from
    }
}

fn count_goes(actions: &[home::Action]) -> usize {
    let go =
        |action: &&home::Action| matches!(action, home::Action::Call(_, message::Question::Go(..)));
    actions.iter().filter(go).count()
}

fn count_writes(actions: &[home::Action]) -> usize {
    let write = |action: &&home::Action| matches!(action, home::Action::Write { .. });
    actions.iter().filter(write).count()
}

/// A home must not start the next attempt before the end of the last one is
/// written: if it died in between, its successor would receive that end again and
/// start the next attempt too.
#[test]
fn the_next_attempt_starts_once_the_end_of_the_last_is_written() {
    let mut home = next_home();
    let start = later(now(), 1_000);
    let lapsed = message::TaskState::Ended(message::End::Lapsed);
    home.on_updates(start, &placer(), &[event(2, lapsed)]);
    let actions = home.poll(start);
    assert_eq!(count_writes(&actions), 1);
    let place = actions.into_iter().find_map(|action| match action {
        home::Action::Call(_, question @ message::Question::Place(..)) => Some(question),
        _ => None,
    });
    let place = place.unwrap();
    let message::Question::Place(_, _, orders) = &place else {
        unreachable!()
    };
    assert!(orders[0].hold, "the order must only reserve");
    let reserved = message::OrderAnswer::Placed(event(3, lapsed).place);
    let answer = message::Answer::Place(vec![reserved], message::Summary::default());
    home.on_call(start, &placer(), start.at, place, Ok(answer));
    assert_eq!(
        count_goes(&home.poll(later(start, 10))),
        0,
        "started before the end of the last attempt was written"
    );
    home.on_write(
        later(start, 20),
        home::WriteOutcome::Written(ids::Revision(11)),
    );
    assert_eq!(count_goes(&home.poll(later(start, 30))), 1);
}

/// The end of an attempt later than the recorded one is applied.
#[test]
fn the_end_of_a_later_attempt_places_the_next() {
    let mut home = next_home();
    let lapsed = message::TaskState::Ended(message::End::Lapsed);
    home.on_updates(now(), &placer(), &[event(2, lapsed)]);
    assert_eq!(count_places(&home.poll(now())), 1);
}
