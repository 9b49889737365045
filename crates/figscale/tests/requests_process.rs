//! Guarantees of requests, with processes of entry instances that are killed,
//! paused and stopped. They are checked against the runners' ledger.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod harness;

use std::sync;
use std::sync::atomic;
use std::time;

use figscale_standin::client;
use figscale_standin::runner;
use figscale_types::headers;
use figscale_types::ids;
use figscale_types::instances;
use figscale_types::operator;
use figscale_types::verdict::Verdict;
use indexmap::IndexMap;
use nix::sys::signal::Signal;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs;
use serde_json::json;

const QUOTE: &str = "/v1/run/quote";
const LIMIT: time::Duration = time::Duration::from_secs(30);

fn plan(entries: usize, runners: usize) -> harness::Plan {
    harness::Plan {
        entries,
        runners,
        settings: json!({
            "claims": { "lease_ms": 1500, "heartbeat_ms": 300, "instances_ms": 200, "margin_ms": 200 },
            "traffic": { "clock_tolerance_ms": 100, "settle_ms": 300, "report_ms": 100 },
        }),
        ..harness::Plan::default()
    }
}

/// Starts a cell; waits until all entry instances have the catalogue and know each
/// other.
async fn cell(plan: harness::Plan) -> harness::Cell {
    let entries = plan.entries;
    let runners = plan.runners;
    let cell = harness::Cell::start(plan).await;
    let mut catalogue = harness::operator::catalogue();
    for entry in catalogue.entries.values_mut() {
        if let figscale_types::catalogue::Policy::Requests(policy) = &mut entry.policy {
            policy.max_run_ms = 1_000;
        }
    }
    let apply = operator::ApplyRequest {
        base: ids::Revision(0),
        change: ids::ChangeId(uuid::Uuid::now_v7()),
        author: "test".to_owned(),
        note: "test".to_owned(),
        catalogue,
    };
    harness::wait_until("an accepted catalogue", || async {
        cell.operator(0).apply(&apply).await.is_ok()
    })
    .await;
    let all: Vec<_> = (0..entries).collect();
    cell.wait_for_revision(&all, 1).await;
    cell.wait_for_members(&all).await;
    for entry in all {
        wait_until_served(&cell, entry).await;
    }
    wait_until_settled(&cell, entries, runners).await;
    cell
}

/// Waits until every slot has a holder and none is withheld, and every entry
/// instance has its share of shards and is releasing none.
async fn wait_until_settled(cell: &harness::Cell, entries: usize, runners: usize) {
    harness::wait_until("free slots", || async {
        let mut free = 0;
        let mut homes = 0;
        for entry in 0..entries {
            let Ok(dump) = cell.operator(entry).dump().await else {
                return false;
            };
            let counts = &dump["traffic"]["counts"]["hullrate"];
            free += counts["free"][0].as_u64().unwrap_or(0);
            // The first entry instance holds all shards until it knows the others.
            let Some(held) = dump["claims"]["held"].as_object() else {
                return false;
            };
            if held.is_empty() || dump["claims"]["giving"] != json!([]) {
                return false;
            }
            homes += held.keys().filter(|s| s.starts_with("id/")).count();
        }
        free == 8 * runners as u64 && homes == figscale_types::claims::ID_SHARDS as usize
    })
    .await;
}

async fn wait_until_served(cell: &harness::Cell, entry: usize) {
    harness::wait_until("an answer", || async {
        let call = call(
            cell.caller_address(entry),
            ids::RequestId(uuid::Uuid::now_v7()),
            true,
        );
        let answer = cell.client.send_within(LIMIT, call).await;
        answer.is_ok_and(|answer| answer.status == 200)
    })
    .await;
}

fn call(address: std::net::SocketAddr, id: ids::RequestId, idempotent: bool) -> client::Call {
    client::Call::post(address, QUOTE)
        .header(headers::OWNER, "underwriting-desk")
        .header(headers::REQUEST_ID, id)
        .header(headers::IDEMPOTENT, idempotent)
        .body(id.to_string())
}

/// Outcomes of the requests, as callers received them.
#[derive(Default)]
struct Outcomes {
    answered: u64,
    not_run: Vec<String>,
    false_not_run: Vec<String>,
    wrong_answers: Vec<String>,
    errors: IndexMap<String, u64>,
}

/// Callers that send to randomly chosen entry instances, and repeat a request until
/// one answers that it ran.
struct Callers {
    outcomes: sync::Arc<sync::Mutex<Outcomes>>,
    stop: sync::Arc<atomic::AtomicBool>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl Callers {
    fn start(cell: &harness::Cell, entries: usize, seed: u64) -> Self {
        let outcomes = sync::Arc::new(sync::Mutex::new(Outcomes::default()));
        let stop = sync::Arc::new(atomic::AtomicBool::new(false));
        let addresses: Vec<_> = (0..entries).map(|n| cell.caller_address(n)).collect();
        let tasks = (0..24)
            .map(|caller| {
                let one = Caller {
                    client: cell.client.clone(),
                    addresses: addresses.clone(),
                    ledger: cell.requests.clone(),
                    outcomes: outcomes.clone(),
                    rng: rngs::StdRng::seed_from_u64(seed * 100 + caller),
                };
                tokio::spawn(one.run(stop.clone()))
            })
            .collect();
        Self {
            outcomes,
            stop,
            tasks,
        }
    }

    async fn check_invariants(self, cell: &harness::Cell) {
        self.stop.store(true, atomic::Ordering::SeqCst);
        for task in self.tasks {
            task.await.unwrap();
        }
        let outcomes = self.outcomes.lock().unwrap();
        println!(
            "answered {}, not run {}, errors {:?}, seen {}",
            outcomes.answered,
            outcomes.not_run.len(),
            outcomes.errors,
            cell.requests.requests().len()
        );
        assert_eq!(cell.requests.violations(), []);
        assert_eq!(outcomes.wrong_answers, Vec::<String>::new());
        assert_eq!(outcomes.false_not_run, Vec::<String>::new());
        for id in &outcomes.not_run {
            assert!(
                !cell.requests.may_have_run(id),
                "{id} was reported as not run"
            );
        }
        assert!(outcomes.answered > 50, "only {} answers", outcomes.answered);
    }
}

struct Caller {
    client: client::Client,
    addresses: Vec<std::net::SocketAddr>,
    ledger: runner::Ledger,
    outcomes: sync::Arc<sync::Mutex<Outcomes>>,
    rng: rngs::StdRng,
}

impl Caller {
    async fn run(mut self, stop: sync::Arc<atomic::AtomicBool>) {
        while !stop.load(atomic::Ordering::SeqCst) {
            let id = ids::RequestId(uuid::Uuid::now_v7());
            let idempotent = self.rng.random_bool(0.3);
            let mut all_not_run = true;
            for _ in 0..3 {
                let verdict = self.send(id, idempotent).await;
                all_not_run &= verdict == Some(Verdict::NotRun);
                if verdict == Some(Verdict::Ran) {
                    break;
                }
            }
            if all_not_run {
                self.outcomes.lock().unwrap().not_run.push(id.to_string());
            }
            let pause = self.rng.random_range(0..20);
            tokio::time::sleep(time::Duration::from_millis(pause)).await;
        }
    }

    async fn send(&mut self, id: ids::RequestId, idempotent: bool) -> Option<Verdict> {
        let address = self.addresses[self.rng.random_range(0..self.addresses.len())];
        let call = call(address, id, idempotent)
            .header(headers::BUDGET_MS, self.rng.random_range(200..3_000))
            .header(headers::RUN_MS, self.rng.random_range(1..100));
        let answer = self.client.send_within(LIMIT, call).await;
        let seen = self.ledger.may_have_run(&id.to_string());
        let mut outcomes = self.outcomes.lock().unwrap();
        let Ok(answer) = answer else {
            *outcomes.errors.entry("no answer".to_owned()).or_default() += 1;
            return None;
        };
        let verdict: Verdict = answer.header(headers::VERDICT).parse().unwrap();
        if answer.status == 200 {
            outcomes.answered += 1;
            let own: runner::RunAnswer = answer.json().unwrap();
            if answer.header(headers::CHECKSUM) != runner::checksum(&answer.body)
                || own.body_checksum != runner::checksum(id.to_string().as_bytes())
            {
                outcomes.wrong_answers.push(id.to_string());
            }
        } else {
            let error: serde_json::Value = answer.json().unwrap();
            let error = format!("{verdict} {}", error["error"].as_str().unwrap());
            *outcomes.errors.entry(error).or_default() += 1;
            if verdict == Verdict::NotRun && seen && !idempotent {
                outcomes.false_not_run.push(id.to_string());
            }
        }
        Some(verdict)
    }
}

async fn pause(millis: u64) {
    tokio::time::sleep(time::Duration::from_millis(millis)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_when_entry_instances_are_killed_and_paused() {
    let mut cell = cell(plan(3, 4)).await;
    let callers = Callers::start(&cell, 3, 1);
    pause(500).await;
    // Paused for longer than every lease; it resumes without knowing that.
    cell.signal(1, Signal::SIGSTOP);
    pause(4_000).await;
    cell.signal(1, Signal::SIGCONT);
    pause(1_500).await;
    cell.kill(2).await;
    cell.unlist(2);
    pause(3_500).await;
    cell.launch(2);
    cell.wait_until_live(2).await;
    pause(1_500).await;
    // Two faults at once: one instance is paused briefly while another is killed.
    cell.signal(0, Signal::SIGSTOP);
    cell.kill(1).await;
    cell.unlist(1);
    pause(1_000).await;
    cell.signal(0, Signal::SIGCONT);
    cell.launch(1);
    cell.wait_until_live(1).await;
    for entry in 0..3 {
        wait_until_served(&cell, entry).await;
    }
    callers.check_invariants(&cell).await;
}

type Answers = Vec<tokio::task::JoinHandle<Result<client::Answer, client::CallError>>>;

/// Sends 20 requests, spread over three entry instances.
fn send_twenty(cell: &harness::Cell) -> Answers {
    let begin = |number: usize| {
        let id = ids::RequestId(uuid::Uuid::now_v7());
        let call = call(cell.caller_address(number % 3), id, true).header(headers::RUN_MS, 600);
        let client = cell.client.clone();
        tokio::spawn(async move { client.send_within(LIMIT, call).await })
    };
    (0..20).map(begin).collect()
}

/// Whether all 20 are at the runners at one time. On a slow machine some may end
/// before others arrive.
async fn are_all_at_runners(cell: &harness::Cell, answers: &Answers) -> bool {
    loop {
        if cell.runners.iter().map(runner::Handle::busy).sum::<u32>() >= 20 {
            return true;
        }
        if answers.iter().all(tokio::task::JoinHandle::is_finished) {
            return false;
        }
        pause(5).await;
    }
}

async fn check_all_whole(answers: Answers) {
    for answer in answers {
        let answer = answer.await.unwrap().unwrap();
        assert_eq!(answer.status, 200, "{}", answer.text());
        assert_eq!(
            answer.header(headers::CHECKSUM),
            runner::checksum(&answer.body)
        );
    }
}

/// Guards against a planned stop that cuts off requests: every admitted request
/// gets its whole answer, and the process exits with status 0.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_truncates_no_answer() {
    let mut cell = cell(plan(3, 4)).await;
    let mut answers = send_twenty(&cell);
    let mut tries = 1;
    while !are_all_at_runners(&cell, &answers).await {
        assert!(tries < 40, "20 requests are never at the runners at once");
        check_all_whole(answers).await;
        answers = send_twenty(&cell);
        tries += 1;
    }
    assert_eq!(cell.stop(1).await, Some(0));
    check_all_whole(answers).await;
    // Its shards are served by other entry instances, without a quarantine.
    wait_until_served(&cell, 0).await;
    assert_eq!(cell.requests.violations(), []);
}

/// A leaving runner gets no new requests after 2 s, whether its leaving is known
/// from the instance list or from its own answers.
#[rstest::rstest]
#[case::by_the_list(true, false)]
#[case::by_itself(false, true)]
#[case::list_away(true, true)]
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_runner_gets_nothing_new(#[case] listed: bool, #[case] itself: bool) {
    let cell = cell(plan(2, 3)).await;
    let callers = Callers::start(&cell, 2, 2);
    harness::wait_until("requests at the runner", || async {
        cell.runners[0].busy() > 0
    })
    .await;
    if listed && itself {
        // The list cannot be read; only the runner's own answers show it.
        cell.platform.change_faults(|faults| faults.outage = true);
    }
    let announced = time::Instant::now();
    if listed {
        cell.platform.change_instances(|list| {
            for line in list
                .iter_mut()
                .filter(|line| line.id.as_str() == "runner-0")
            {
                line.life = instances::Life::Leaving;
            }
        });
    }
    if itself {
        cell.runners[0].change_faults(|faults| faults.leaving = true);
    }
    pause(2_000).await;
    let before = seen_by(&cell, "runner-0");
    let elsewhere = cell.requests.requests().len();
    pause(1_500).await;
    assert_eq!(
        seen_by(&cell, "runner-0"),
        before,
        "after {:?}",
        announced.elapsed()
    );
    harness::wait_until("requests elsewhere", || async {
        cell.requests.requests().len() > elsewhere + 10
    })
    .await;
    callers.check_invariants(&cell).await;
}

fn seen_by(cell: &harness::Cell, runner: &str) -> usize {
    let seen = cell.requests.requests();
    seen.iter()
        .filter(|line| line.runner.as_str() == runner)
        .count()
}
