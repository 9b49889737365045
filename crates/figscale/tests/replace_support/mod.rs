//! Callers that behave like a balancer, long tasks, and the invariants of both.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use figscale_standin::client;
use figscale_standin::runner;
use figscale_types::catalogue;
use figscale_types::headers;
use figscale_types::ids;
use figscale_types::jobs;
use figscale_types::operator;
use figscale_types::verdict::Verdict;
use indexmap::IndexMap;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs;
use serde_json::json;

use crate::harness;

/// Maximum time that a caller waits for a response.
pub(crate) const LIMIT: time::Duration = time::Duration::from_secs(30);
/// A job whose tasks must start at most once.
pub(crate) const JOB_ONCE: &str = "once";
/// A job whose tasks may be restarted.
pub(crate) const JOB_REPEATABLE: &str = "repeatable";
/// Tasks of each job.
pub(crate) const TASKS: usize = 4;
/// Number of concurrent callers.
const CALLERS: u64 = 20;

/// A plan with leases short enough for a test, in the proportions of the defaults.
pub(crate) fn plan(entries: usize, spare_entries: usize, runners: usize) -> harness::Plan {
    harness::Plan {
        entries,
        spare_entries,
        runners,
        workers: 3,
        settings: json!({
            "claims": { "lease_ms": 2_000, "heartbeat_ms": 500, "instances_ms": 200, "margin_ms": 200 },
            "traffic": { "clock_tolerance_ms": 100, "settle_ms": 300, "report_ms": 100 },
            "jobs": { "lease_ms": 2_000, "renew_ms": 500, "window_ms": 500, "margin_ms": 200 },
        }),
        ..harness::Plan::default()
    }
}

/// Applies the catalogue and waits until each entry instance serves requests.
pub(crate) async fn make_ready(cell: &harness::Cell, entries: &[usize]) {
    let mut catalogue = harness::operator::catalogue();
    for entry in catalogue.entries.values_mut() {
        if let catalogue::Policy::Requests(policy) = &mut entry.policy {
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
    cell.wait_for_revision(entries, 1).await;
    cell.wait_for_members(entries).await;
    for entry in entries {
        wait_until_served(cell, *entry).await;
    }
}

/// Waits until an entry instance serves idempotent and non-idempotent requests.
pub(crate) async fn wait_until_served(cell: &harness::Cell, entry: usize) {
    for idempotent in [true, false] {
        harness::wait_until("an answer", || async {
            let id = ids::RequestId(uuid::Uuid::now_v7());
            let call = call(cell.caller_address(entry), id, idempotent);
            let answer = cell.client.send_within(LIMIT, call).await;
            answer.is_ok_and(|answer| answer.status == 200)
        })
        .await;
    }
}

pub(crate) fn call(address: net::SocketAddr, id: ids::RequestId, idempotent: bool) -> client::Call {
    client::Call::post(address, "/v1/run/quote")
        .header(headers::OWNER, "underwriting-desk")
        .header(headers::REQUEST_ID, id)
        .header(headers::IDEMPOTENT, idempotent)
        .body(id.to_string())
}

/// Submits a job whose tasks run longer than the test.
pub(crate) async fn submit(cell: &harness::Cell, entry: usize, name: &str, idempotent: bool) {
    let spec: jobs::JobSpec = serde_json::from_value(json!({
        "entry": "fleet-repricing",
        "owner": "underwriting-desk",
        "tasks": TASKS,
        "task": { "cpu_millis": 1_000, "memory_bytes": 1 << 30 },
        "run_ms": 600_000,
        "idempotent": idempotent,
    }))
    .unwrap();
    let id = name.parse().unwrap();
    harness::wait_until(&format!("acceptance of {name}"), || async {
        cell.operator(entry).submit(&id, &spec).await.is_ok()
    })
    .await;
}

/// Number of starts of each task of a job.
pub(crate) fn starts(cell: &harness::Cell, name: &str) -> Vec<u32> {
    let job: ids::JobId = name.parse().unwrap();
    let all = cell.tasks.all_starts();
    let of = |(task, count): (&ids::TaskId, &u32)| (task.job == job).then_some(*count);
    all.iter().filter_map(of).collect()
}

/// Number of tasks of a job that are running under a valid lease.
pub(crate) fn running_tasks(cell: &harness::Cell, name: &str) -> usize {
    let job: ids::JobId = name.parse().unwrap();
    let now = time::Instant::now();
    let runs = cell.tasks.runs();
    let open = |run: &&figscale_standin::worker::Run| {
        run.task.job == job && run.ended.is_none() && now < run.lease_until
    };
    runs.iter().filter(open).count()
}

/// Results of the requests of all callers.
#[derive(Default)]
pub(crate) struct CallerResults {
    /// Complete answers.
    pub(crate) answered: u64,
    /// Non-idempotent requests among them.
    pub(crate) once_answered: Vec<ids::RequestId>,
    /// Requests that ended neither in a complete answer nor in `NotRun`.
    pub(crate) cut_off: Vec<String>,
    not_run: Vec<String>,
    wrong: Vec<String>,
    outcomes: IndexMap<String, u64>,
}

impl CallerResults {
    /// Checks the invariants that hold however the processes ended.
    pub(crate) fn check_invariants(&self, cell: &harness::Cell) {
        println!(
            "answered {}, not run {}, cut off {}, outcomes {:?}, received by runners {}",
            self.answered,
            self.not_run.len(),
            self.cut_off.len(),
            self.outcomes,
            cell.requests.requests().len()
        );
        assert_eq!(cell.requests.violations(), []);
        assert_eq!(self.wrong, Vec::<String>::new());
        for id in &self.not_run {
            let seen = cell.requests.may_have_run(id);
            assert!(!seen, "{id} was reported as not run but may have run");
        }
    }
}

/// Running callers.
pub(crate) struct Callers {
    results: sync::Arc<sync::Mutex<CallerResults>>,
    stop: sync::Arc<atomic::AtomicBool>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl Callers {
    /// Starts callers that know the addresses of the first `entries` instances.
    pub(crate) fn start(cell: &harness::Cell, entries: usize, seed: u64) -> Self {
        let results = sync::Arc::new(sync::Mutex::new(CallerResults::default()));
        let stop = sync::Arc::new(atomic::AtomicBool::new(false));
        let addresses: Vec<_> = (0..entries).map(|n| cell.caller_address(n)).collect();
        let start = |caller| {
            let one = Caller {
                client: cell.client.clone(),
                addresses: addresses.clone(),
                results: results.clone(),
                rng: rngs::StdRng::seed_from_u64(seed * 100 + caller),
            };
            tokio::spawn(one.run(stop.clone()))
        };
        let tasks = (0..CALLERS).map(start).collect();
        Self {
            results,
            stop,
            tasks,
        }
    }

    /// Waits for `count` further answers, more than 20 of them to non-idempotent
    /// requests.
    pub(crate) async fn wait_for_answers(&self, count: u64) {
        let so_far = || {
            let results = self.results.lock().unwrap();
            (results.answered, results.once_answered.len())
        };
        let before = so_far();
        harness::wait_until("further answers", || async {
            let now = so_far();
            now.0 >= before.0 + count && now.1 > before.1 + 20
        })
        .await;
    }

    /// Stops the callers and returns their results.
    pub(crate) async fn stop(self) -> CallerResults {
        self.stop.store(true, atomic::Ordering::SeqCst);
        for task in self.tasks {
            task.await.unwrap();
        }
        std::mem::take(&mut *self.results.lock().unwrap())
    }
}

/// Outcome of one attempt.
enum End {
    /// The next address is tried.
    TryNext,
    Answered,
    NotRun,
    CutOff(String),
}

struct Caller {
    client: client::Client,
    addresses: Vec<net::SocketAddr>,
    results: sync::Arc<sync::Mutex<CallerResults>>,
    rng: rngs::StdRng,
}

impl Caller {
    async fn run(mut self, stop: sync::Arc<atomic::AtomicBool>) {
        while !stop.load(atomic::Ordering::SeqCst) {
            let id = ids::RequestId(uuid::Uuid::now_v7());
            let idempotent = self.rng.random_bool(0.5);
            self.request(id, idempotent).await;
            let pause = self.rng.random_range(0..30);
            tokio::time::sleep(time::Duration::from_millis(pause)).await;
        }
    }

    /// Sends one request, to one address after the other.
    async fn request(&mut self, id: ids::RequestId, idempotent: bool) {
        let first = self.rng.random_range(0..self.addresses.len());
        let run_ms: u64 = self.rng.random_range(1..150);
        let answer_bytes = match self.rng.random_range(0..10) {
            0 => self.rng.random_range(0..900_000),
            _ => self.rng.random_range(0..2_000),
        };
        for turn in 0..self.addresses.len() {
            let address = self.addresses[(first + turn) % self.addresses.len()];
            let call = call(address, id, idempotent)
                .header(headers::RUN_MS, run_ms)
                .header(headers::ANSWER_BYTES, answer_bytes);
            let answer = self.client.send_within(LIMIT, call).await;
            let mut results = self.results.lock().unwrap();
            match results.classify(id, answer) {
                End::TryNext => continue,
                End::Answered => {
                    results.answered += 1;
                    if !idempotent {
                        results.once_answered.push(id);
                    }
                }
                End::NotRun => results.not_run.push(id.to_string()),
                End::CutOff(how) => results.cut_off.push(format!("{id} {idempotent}: {how}")),
            }
            return;
        }
        // Every address refused the connection.
        self.results.lock().unwrap().not_run.push(id.to_string());
    }
}

impl CallerResults {
    fn count_outcome(&mut self, outcome: impl Into<String>) {
        *self.outcomes.entry(outcome.into()).or_default() += 1;
    }

    fn classify(
        &mut self,
        id: ids::RequestId,
        answer: Result<client::Answer, client::CallError>,
    ) -> End {
        let answer = match answer {
            Ok(answer) => answer,
            Err(error) if error.to_string().contains("Connection refused") => {
                self.count_outcome("connection refused");
                return End::TryNext;
            }
            Err(error) => {
                self.count_outcome("broken connection");
                return End::CutOff(error.to_string());
            }
        };
        let verdict: Verdict = answer.header(headers::VERDICT).parse().unwrap();
        if answer.status == 200 {
            let own: runner::RunAnswer = answer.json().unwrap();
            if answer.header(headers::CHECKSUM) != runner::checksum(&answer.body)
                || own.body_checksum != runner::checksum(id.to_string().as_bytes())
            {
                self.wrong.push(id.to_string());
            }
            return End::Answered;
        }
        let body: serde_json::Value = answer.json().unwrap();
        let error = body["error"].as_str().unwrap();
        let outcome = format!("{verdict} {error}");
        self.count_outcome(outcome.as_str());
        // The request is valid, so an entry instance must not reject it as invalid,
        // even if it does not know the catalogue yet.
        if [400, 403, 404].contains(&answer.status.as_u16()) {
            self.wrong.push(format!("{id}: {outcome}"));
        }
        match verdict {
            Verdict::NotRun => End::NotRun,
            Verdict::MayHaveRun | Verdict::Ran => End::CutOff(outcome),
        }
    }
}
