//! Thousands of requests under random faults, checked against the runners' ledger.
//!
//! `FIGSCALE_SEED` selects another sequence of faults, `FIGSCALE_FAULTS` its length.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod requests_cell;

use std::env;
use std::sync;
use std::sync::atomic;
use std::time;

use figscale::kernel;
use figscale_standin::runner;
use figscale_types::claims;
use figscale_types::headers;
use figscale_types::ids;
use figscale_types::verdict::Verdict;
use indexmap::IndexMap;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs;
use requests_cell::Cell;
use requests_cell::Shape;
use rstest::rstest;

const ENTRIES: usize = 3;
const RUNNERS: usize = 3;
const CALLERS: u64 = 48;
/// Longest run of a request in the catalogue of this test.
const MAX_RUN_MS: u64 = 400;

/// Outcomes of the requests, as callers received them.
#[derive(Default)]
struct Outcomes {
    answered: u64,
    /// Requests that were reported as not run for every message.
    not_run: Vec<String>,
    /// Requests that a runner had already seen when they were reported as not run.
    false_not_run: Vec<String>,
    errors: IndexMap<String, u64>,
    broken: u64,
    wrong_answers: Vec<String>,
}

fn catalogue() -> figscale_types::catalogue::Catalogue {
    let mut catalogue = requests_cell::catalogue();
    for entry in catalogue.entries.values_mut() {
        if let figscale_types::catalogue::Policy::Requests(policy) = &mut entry.policy {
            policy.max_run_ms = MAX_RUN_MS;
            policy.max_queue_len = 20;
        }
    }
    catalogue
}

fn number(name: &str, default: u64) -> u64 {
    let text = env::var(name).ok();
    text.map_or(default, |text| text.parse().unwrap())
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn verdicts_are_correct_under_random_faults(#[values(11, 12)] seed: u64) {
    let seed = number("FIGSCALE_SEED", seed);
    let faults = number("FIGSCALE_FAULTS", 250);
    println!("seed {seed}, {faults} faults");
    let mut shape = Shape {
        entries: ENTRIES,
        runners: RUNNERS,
        slots: 4,
        seed,
        catalogue: catalogue(),
        ..Shape::default()
    };
    shape.traffic.settle_ms = 300;
    shape.traffic.report_ms = 100;
    shape.traffic.clock_tolerance_ms = 50;
    shape.traffic.holder_wait_ms = 500;
    let cell = sync::Arc::new(Cell::start(shape).await);
    let outcomes = sync::Arc::new(sync::Mutex::new(Outcomes::default()));
    let stop = sync::Arc::new(atomic::AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let rng = rngs::StdRng::seed_from_u64(seed * 1_000 + caller);
            tokio::spawn(call(cell.clone(), outcomes.clone(), stop.clone(), rng))
        })
        .collect();
    let mut rng = rngs::StdRng::seed_from_u64(seed);
    for _ in 0..faults {
        inject_fault(&cell, &mut rng).await;
        let pause = rng.random_range(5..60);
        tokio::time::sleep(time::Duration::from_millis(pause)).await;
    }
    for number in 0..RUNNERS {
        clear_faults(&cell, number);
    }
    stop.store(true, atomic::Ordering::SeqCst);
    for caller in callers {
        caller.await.unwrap();
    }
    check_invariants(&cell, &outcomes.lock().unwrap());
}

fn check_invariants(cell: &Cell, outcomes: &Outcomes) {
    println!(
        "answered {}, not run {}, broken {}, errors {:?}, seen {}",
        outcomes.answered,
        outcomes.not_run.len(),
        outcomes.broken,
        outcomes.errors,
        cell.ledger.requests().len()
    );
    assert_eq!(outcomes.wrong_answers, Vec::<String>::new());
    assert_eq!(cell.ledger.violations(), []);
    let seen: std::collections::HashSet<String> = (cell.ledger.requests().into_iter())
        .filter(|line| !line.refused)
        .map(|line| line.request_id)
        .collect();
    let late: Vec<_> = (outcomes.not_run.iter())
        .filter(|id| seen.contains(*id))
        .collect();
    assert!(
        late.is_empty(),
        "reported as not run, but seen by a runner: {late:?}"
    );
    assert_eq!(outcomes.false_not_run, Vec::<String>::new());
    // With fewer answers the test would show nothing.
    assert!(outcomes.answered > 50, "only {} answers", outcomes.answered);
    assert!(!outcomes.not_run.is_empty());
}

/// Injects a random fault, or clears the faults of a runner.
async fn inject_fault(cell: &sync::Arc<Cell>, rng: &mut rngs::StdRng) {
    let number = rng.random_range(0..RUNNERS);
    let runner = &cell.runners[number];
    match rng.random_range(0..24) {
        0 => runner.proxy.reset_connections(),
        1 => runner
            .proxy
            .change_faults(|faults| faults.to_target.freeze = true),
        2 => runner
            .proxy
            .change_faults(|faults| faults.to_client.freeze = true),
        3 => runner
            .proxy
            .change_faults(|faults| faults.refuse_new = true),
        4 => runner
            .handle
            .change_faults(|faults| faults.cut_answer = true),
        5 => runner
            .handle
            .change_faults(|faults| faults.wrong_length = true),
        6 => runner.handle.change_faults(|faults| faults.refuse = true),
        7 => runner.handle.change_faults(|faults| faults.fail = true),
        8 => cell.entries[number].peer.reset_connections(),
        9 => take_over(cell, number, rng.random_range(0..ENTRIES)),
        10 => drop(tokio::spawn(hand_over(
            cell.clone(),
            number,
            rng.random_range(0..ENTRIES),
        ))),
        11 => {
            let home = claims::id_shard(rng.random_range(0..claims::ID_SHARDS)).unwrap();
            cell.assign(home, rng.random_range(0..ENTRIES), false);
            cell.publish();
        }
        _ => clear_faults(cell, number),
    }
}

fn clear_faults(cell: &Cell, number: usize) {
    let runner = &cell.runners[number];
    runner
        .proxy
        .change_faults(|faults| *faults = Default::default());
    runner
        .handle
        .change_faults(|faults| *faults = runner::Faults::default());
}

/// Moves a shard of an entry instance that has lost its authority. The instance
/// learns of the new claims late, as one that was paused does.
fn take_over(cell: &sync::Arc<Cell>, number: usize, to: usize) {
    let shard = requests_cell::shard(number);
    let from = cell.holder(&shard);
    if from == to {
        return;
    }
    cell.entries[from].context.shared.authority.revoke();
    cell.assign(shard, to, false);
    cell.publish_to(to);
    let cell = cell.clone();
    tokio::spawn(async move {
        tokio::time::sleep(time::Duration::from_millis(30)).await;
        cell.publish();
        cell.authorize(from);
    });
}

async fn hand_over(cell: sync::Arc<Cell>, number: usize, to: usize) {
    let shard = requests_cell::shard(number);
    let from = cell.holder(&shard);
    let epoch = cell.epoch(&shard);
    if from == to {
        return;
    }
    let drained = cell.entries[from].context.kernel.drain(shard.clone()).await;
    if cell.epoch(&shard) == epoch {
        cell.assign(shard, to, drained == kernel::Drained::Clean);
        cell.publish();
    }
}

async fn call(
    cell: sync::Arc<Cell>,
    outcomes: sync::Arc<sync::Mutex<Outcomes>>,
    stop: sync::Arc<atomic::AtomicBool>,
    mut rng: rngs::StdRng,
) {
    while !stop.load(atomic::Ordering::SeqCst) {
        let idempotent = rng.random_bool(0.5);
        let id = ids::RequestId(uuid::Uuid::now_v7());
        let body_len = match rng.random_range(0..20) {
            0 => rng.random_range(0..700_000),
            _ => rng.random_range(0..2_000),
        };
        let body = vec![rng.random::<u8>(); body_len];
        let answer_bytes = match rng.random_range(0..20) {
            0 => rng.random_range(0..900_000),
            _ => rng.random_range(0..2_000),
        };
        let paths = ["quote", "cover", "voyages"];
        let path = format!("/v1/run/hullrate/{}", paths[rng.random_range(0..3)]);
        // Some requests are repeated, while the first message is in progress or after it.
        let tries = if rng.random_bool(0.2) { 3 } else { 1 };
        let mut all_not_run = true;
        for _ in 0..tries {
            let call = cell
                .call(rng.random_range(0..ENTRIES), &path)
                .header(headers::REQUEST_ID, id)
                .header(headers::IDEMPOTENT, idempotent)
                .header(headers::BUDGET_MS, rng.random_range(20..1_500))
                .header(headers::RUN_MS, rng.random_range(0..60))
                .header(headers::ANSWER_BYTES, answer_bytes)
                .body(body.clone());
            // Some callers disconnect early.
            let patience = match rng.random_range(0..10) {
                0 => time::Duration::from_millis(rng.random_range(1..80)),
                _ => requests_cell::LONG,
            };
            let answer = cell.client.send_within(patience, call).await;
            let seen = cell.ledger.may_have_run(&id.to_string());
            let mut outcomes = outcomes.lock().unwrap();
            let verdict = match answer {
                Err(_) => {
                    outcomes.broken += 1;
                    Verdict::MayHaveRun
                }
                Ok(answer) => record_answer(&mut outcomes, &answer, id, &body),
            };
            all_not_run &= verdict == Verdict::NotRun;
            // Idempotent ids are not remembered, so the verdict of a repeat is only about
            // that message.
            let about_id = !idempotent || tries == 1;
            if verdict == Verdict::NotRun && seen && about_id {
                outcomes.false_not_run.push(id.to_string());
            }
        }
        if all_not_run {
            outcomes.lock().unwrap().not_run.push(id.to_string());
        }
    }
}

/// Checks an answer as its caller would, and records its outcome.
fn record_answer(
    outcomes: &mut Outcomes,
    answer: &figscale_standin::client::Answer,
    id: ids::RequestId,
    body: &[u8],
) -> Verdict {
    let verdict: Verdict = answer.header(headers::VERDICT).parse().unwrap();
    // Without a runner's name this is a refused repeat; its verdict is that of an
    // earlier message of the same request.
    if verdict == Verdict::Ran && !answer.header(headers::RUNNER).is_empty() {
        outcomes.answered += 1;
        let whole = answer.header(headers::CHECKSUM) == runner::checksum(&answer.body);
        let own = answer.json::<runner::RunAnswer>().is_ok_and(|run| {
            run.request_id == id.to_string() && run.body_checksum == runner::checksum(body)
        });
        if !whole || !own {
            let start: String = answer.text().chars().take(200).collect();
            let status = answer.status;
            let wrong_answers = format!("{id}: {status}, whole {whole}, own {own}: {start}");
            outcomes.wrong_answers.push(wrong_answers);
        }
        return verdict;
    }
    let refused = verdict == Verdict::NotRun && answer.status.as_u16() >= 429;
    if refused && answer.header("retry-after").is_empty() {
        outcomes
            .wrong_answers
            .push(format!("{id}: no retry-after: {}", answer.text()));
    }
    let error: serde_json::Value = answer.json().unwrap();
    let line = format!("{verdict} {}", error["error"].as_str().unwrap());
    *outcomes.errors.entry(line).or_default() += 1;
    verdict
}
