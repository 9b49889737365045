//! Operators race from many clients while the store is unavailable, slow and loses
//! answers, and entry instances are killed and restarted. Guards against accepted
//! changes that are lost or applied twice, refused changes in the history, and
//! entry instances that report a lower revision than before.

#![expect(clippy::unwrap_used, reason = "A test may panic.")]

mod harness;

use std::sync;
use std::sync::atomic;
use std::time;

use figscale_types::ids;
use figscale_types::operator;
use harness::operator::Operator;
use harness::operator::change;
use indexmap::IndexMap;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs;
use serde_json::json;
use tokio::task;

const ENTRIES: usize = 3;
const CLIENTS: u32 = 12;
/// Changes that each client wants accepted.
const CHANGES: u32 = 4;
const SEED: u64 = 20_261_202;

/// The outcome of one client's changes.
#[derive(Default)]
struct Outcome {
    accepted: Vec<(ids::ChangeId, ids::Revision)>,
    refused: Vec<ids::ChangeId>,
    /// Answers that left the outcome unknown, after which the change was retried.
    unknown: usize,
}

/// Submits changes until enough are accepted. A change whose outcome is unknown is
/// retried at a random entry instance.
async fn submit_changes(operators: Vec<Operator>, number: u32) -> Outcome {
    let mut rng = rngs::StdRng::seed_from_u64(SEED + u64::from(number));
    let mut outcome = Outcome::default();
    while outcome.accepted.len() < CHANGES as usize {
        let at = rng.random_range(0..operators.len());
        let Ok(base) = operators[at].in_force().await else {
            tokio::time::sleep(time::Duration::from_millis(5)).await;
            continue;
        };
        let request = change(base.0, number + 1);
        resolve(&operators, &mut rng, &request, &mut outcome).await;
    }
    outcome
}

async fn resolve(
    operators: &[Operator],
    rng: &mut rngs::StdRng,
    request: &operator::ApplyRequest,
    outcome: &mut Outcome,
) {
    loop {
        let at = rng.random_range(0..operators.len());
        // Half of the calls time out and are retried before the answer arrives.
        let timeout_ms = match rng.random_bool(0.5) {
            true => rng.random_range(1..40),
            false => 20_000,
        };
        let timeout = time::Duration::from_millis(timeout_ms);
        match operators[at].apply_within(timeout, request).await {
            Ok(answer) => {
                assert_eq!(answer.revision, request.base.next());
                outcome.accepted.push((request.change, answer.revision));
                return;
            }
            Err(error) => match error.kind {
                operator::ErrorKind::Conflict => {
                    assert!(error.message.contains("made revision"), "{error}");
                    outcome.refused.push(request.change);
                    return;
                }
                operator::ErrorKind::Unknown => {
                    outcome.unknown += 1;
                    tokio::time::sleep(time::Duration::from_millis(1)).await;
                }
                operator::ErrorKind::Unavailable => {
                    assert!(error.retry_after_ms.is_some(), "{error}");
                }
                kind => panic!("{kind:?}: {error}"),
            },
        }
    }
}

/// Checks that the revision reported by an entry instance never decreases, also
/// across restarts. Returns the number of reads.
async fn watch_revisions(operator: Operator, done: sync::Arc<atomic::AtomicBool>) -> usize {
    let mut highest = ids::Revision(0);
    let mut reads = 0;
    while !done.load(atomic::Ordering::Relaxed) {
        if let Ok(revision) = operator.in_force().await {
            assert!(revision >= highest, "{revision} after {highest}");
            highest = revision;
            reads += 1;
        }
        tokio::time::sleep(time::Duration::from_millis(2)).await;
    }
    reads
}

/// Injects faults until all changes are accepted, then ends them; returns the number
/// of kills.
async fn inject_faults(cell: &mut harness::Cell, done: &atomic::AtomicBool) -> usize {
    let mut rng = rngs::StdRng::seed_from_u64(SEED);
    let mut kills = 0;
    while !done.load(atomic::Ordering::Relaxed) {
        let outage = rng.random_bool(0.2);
        let cut = rng.random_range(0..ENTRIES * 2);
        cell.platform.change_faults(|faults| {
            faults.outage = outage;
            faults.lose_answer_probability = 0.3;
            faults.answer_delay_ms = rng.random_range(0..30);
        });
        for index in 0..ENTRIES {
            cell.cut_store(index, index == cut);
        }
        if rng.random_bool(0.2) {
            let index = rng.random_range(0..ENTRIES);
            cell.kill(index).await;
            cell.launch(index);
            kills += 1;
        }
        let pause = rng.random_range(50..200);
        tokio::time::sleep(time::Duration::from_millis(pause)).await;
    }
    cell.platform
        .change_faults(|faults| *faults = Default::default());
    for index in 0..ENTRIES {
        cell.cut_store(index, false);
    }
    kills
}

#[tokio::test(flavor = "multi_thread")]
async fn accepted_changes_stay_once_while_operators_race_in_an_outage() {
    println!("seed {SEED}");
    let plan = harness::Plan {
        entries: ENTRIES,
        settings: json!({
            "store": { "timeout_ms": 300, "budget_calls_per_s": 2_000 },
            "catalogue": { "poll_ms": 200 },
        }),
        ..harness::Plan::default()
    };
    let mut cell = harness::Cell::start(plan).await;
    cell.wait_for_members(&[0, 1, 2]).await;
    let operators: Vec<Operator> = (0..ENTRIES).map(|index| cell.operator(index)).collect();
    let done = sync::Arc::new(atomic::AtomicBool::new(false));
    let watching: Vec<_> = operators
        .iter()
        .map(|operator| task::spawn(watch_revisions(operator.clone(), done.clone())))
        .collect();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| task::spawn(submit_changes(operators.clone(), number)))
        .collect();
    let all = async {
        let mut outcomes = Vec::new();
        for client in clients {
            outcomes.push(client.await.unwrap());
        }
        done.store(true, atomic::Ordering::Relaxed);
        outcomes
    };
    let (outcomes, kills) = tokio::join!(all, inject_faults(&mut cell, &done));
    assert!(kills > 0);
    for watcher in watching {
        assert!(watcher.await.unwrap() > 10);
    }
    check_history(&cell, &outcomes).await;
}

async fn check_history(cell: &harness::Cell, outcomes: &[Outcome]) {
    let accepted: Vec<_> = outcomes.iter().flat_map(|o| &o.accepted).collect();
    let refused: Vec<_> = outcomes.iter().flat_map(|o| &o.refused).collect();
    let unknown: usize = outcomes.iter().map(|o| o.unknown).sum();
    println!(
        "accepted {}, refused {}, answers unknown {unknown}",
        accepted.len(),
        refused.len()
    );
    let last = u64::try_from(accepted.len()).unwrap();
    cell.wait_for_revision(&[0, 1, 2], last).await;
    let lines = cell.operator(0).history().await.unwrap();
    let made: IndexMap<_, _> = lines
        .iter()
        .map(|line| (line.change, line.revision))
        .collect();
    // Each revision comes from one accepted change, and each change made one.
    assert_eq!(lines.len(), accepted.len());
    assert_eq!(made.len(), accepted.len());
    for (change, revision) in accepted {
        assert_eq!(made.get(change), Some(revision), "{change}");
    }
    for change in refused {
        assert!(!made.contains_key(change), "{change} was refused");
    }
}
