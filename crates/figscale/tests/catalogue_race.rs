//! Operators race from many clients while the store is away, slow and loses
//! answers, and entry instances are killed and come back: every accepted change is in the final history once, no refused one
//! is, and no entry instance ever reports a lower revision than before.

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

/// What became of one client's changes.
#[derive(Default)]
struct Outcome {
    accepted: Vec<(ids::ChangeId, ids::Revision)>,
    refused: Vec<ids::ChangeId>,
    /// Answers that left the outcome open, after which the change was repeated.
    unknown: usize,
}

/// Gets its changes accepted, repeating what is unknown at any entry instance.
async fn compete(operators: Vec<Operator>, number: u32) -> Outcome {
    let mut rng = rngs::StdRng::seed_from_u64(SEED + u64::from(number));
    let mut outcome = Outcome::default();
    while outcome.accepted.len() < CHANGES as usize {
        let at = rng.random_range(0..operators.len());
        let Ok(base) = operators[at].in_force().await else {
            tokio::time::sleep(time::Duration::from_millis(5)).await;
            continue;
        };
        let request = change(base.0, number + 1);
        settle(&operators, &mut rng, &request, &mut outcome).await;
    }
    outcome
}

async fn settle(
    operators: &[Operator],
    rng: &mut rngs::StdRng,
    request: &operator::ApplyRequest,
    outcome: &mut Outcome,
) {
    loop {
        let at = rng.random_range(0..operators.len());
        // Some are impatient and ask again before they have an answer.
        let patience_ms = match rng.random_bool(0.5) {
            true => rng.random_range(1..40),
            false => 20_000,
        };
        let patience = time::Duration::from_millis(patience_ms);
        match operators[at].apply_within(patience, request).await {
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

/// Reports of an entry instance never go down, over all its lives.
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

/// Plays faults until all is accepted, then mends them; returns the kills.
async fn play_faults(cell: &mut harness::Cell, done: &atomic::AtomicBool) -> usize {
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
        .map(|number| task::spawn(compete(operators.clone(), number)))
        .collect();
    let all = async {
        let mut outcomes = Vec::new();
        for client in clients {
            outcomes.push(client.await.unwrap());
        }
        done.store(true, atomic::Ordering::Relaxed);
        outcomes
    };
    let (outcomes, kills) = tokio::join!(all, play_faults(&mut cell, &done));
    assert!(kills > 0);
    for watcher in watching {
        assert!(watcher.await.unwrap() > 10);
    }
    judge(&cell, &outcomes).await;
}

async fn judge(cell: &harness::Cell, outcomes: &[Outcome]) {
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
