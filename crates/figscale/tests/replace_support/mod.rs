//! Callers that behave as a balancer, long tasks, and what is judged of both.

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

/// Longest wait of a caller.
pub(crate) const LIMIT: time::Duration = time::Duration::from_secs(30);
/// A job whose tasks may start once only.
pub(crate) const JOB_ONCE: &str = "once";
/// A job whose tasks may start again.
pub(crate) const JOB_REPEATABLE: &str = "repeatable";
/// Tasks of each job.
pub(crate) const TASKS: usize = 4;
/// Callers at a time.
const CALLERS: u64 = 20;

/// Leases short enough for a test, in the proportions of the defaults.
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

/// Applies the catalogue and waits until each serves.
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

/// Waits until an entry instance answers requests of both kinds.
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

/// Submits a job whose tasks outlast the test.
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

/// How often each task of a job was started.
pub(crate) fn starts(cell: &harness::Cell, name: &str) -> Vec<u32> {
    let job: ids::JobId = name.parse().unwrap();
    let all = cell.tasks.all_starts();
    let of = |(task, count): (&ids::TaskId, &u32)| (task.job == job).then_some(*count);
    all.iter().filter_map(of).collect()
}

/// Tasks of a job that run under a lease now.
pub(crate) fn going_on(cell: &harness::Cell, name: &str) -> usize {
    let job: ids::JobId = name.parse().unwrap();
    let now = time::Instant::now();
    let runs = cell.tasks.runs();
    let open = |run: &&figscale_standin::worker::Run| {
        run.task.job == job && run.ended.is_none() && now < run.lease_until
    };
    runs.iter().filter(open).count()
}

/// What callers were told.
#[derive(Default)]
pub(crate) struct Told {
    /// Whole answers.
    pub(crate) answered: u64,
    /// Non-idempotent requests among them.
    pub(crate) once_answered: Vec<ids::RequestId>,
    /// Requests that ended neither in a whole answer nor in `NotRun`.
    pub(crate) cut_off: Vec<String>,
    not_run: Vec<String>,
    wrong: Vec<String>,
    words: IndexMap<String, u64>,
}

impl Told {
    /// What must hold however the processes ended.
    pub(crate) fn judge(&self, cell: &harness::Cell) {
        println!(
            "answered {}, not run {}, cut off {}, words {:?}, seen {}",
            self.answered,
            self.not_run.len(),
            self.cut_off.len(),
            self.words,
            cell.requests.requests().len()
        );
        assert_eq!(cell.requests.violations(), []);
        assert_eq!(self.wrong, Vec::<String>::new());
        for id in &self.not_run {
            let seen = cell.requests.may_have_run(id);
            assert!(!seen, "{id} was said not to have run");
        }
    }
}

/// Callers at work.
pub(crate) struct Callers {
    told: sync::Arc<sync::Mutex<Told>>,
    stop: sync::Arc<atomic::AtomicBool>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl Callers {
    /// Starts callers that know the first so many addresses.
    pub(crate) fn start(cell: &harness::Cell, entries: usize, seed: u64) -> Self {
        let told = sync::Arc::new(sync::Mutex::new(Told::default()));
        let stop = sync::Arc::new(atomic::AtomicBool::new(false));
        let addresses: Vec<_> = (0..entries).map(|n| cell.caller_address(n)).collect();
        let start = |caller| {
            let one = Caller {
                client: cell.client.clone(),
                addresses: addresses.clone(),
                told: told.clone(),
                rng: rngs::StdRng::seed_from_u64(seed * 100 + caller),
            };
            tokio::spawn(one.run(stop.clone()))
        };
        let tasks = (0..CALLERS).map(start).collect();
        Self { told, stop, tasks }
    }

    /// Waits for so many further answers of both kinds.
    pub(crate) async fn wait_for_answers(&self, count: u64) {
        let so_far = || {
            let told = self.told.lock().unwrap();
            (told.answered, told.once_answered.len())
        };
        let before = so_far();
        harness::wait_until("further answers", || async {
            let now = so_far();
            now.0 >= before.0 + count && now.1 > before.1 + 20
        })
        .await;
    }

    /// Lets the callers end and returns what they were told.
    pub(crate) async fn stop(self) -> Told {
        self.stop.store(true, atomic::Ordering::SeqCst);
        for task in self.tasks {
            task.await.unwrap();
        }
        std::mem::take(&mut *self.told.lock().unwrap())
    }
}

/// How one message ended.
enum End {
    /// The next address is asked.
    Elsewhere,
    Answered,
    NotRun,
    CutOff(String),
}

struct Caller {
    client: client::Client,
    addresses: Vec<net::SocketAddr>,
    told: sync::Arc<sync::Mutex<Told>>,
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

    /// One request, through the addresses in turn.
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
            let mut told = self.told.lock().unwrap();
            match told.take_in(id, answer) {
                End::Elsewhere => continue,
                End::Answered => {
                    told.answered += 1;
                    if !idempotent {
                        told.once_answered.push(id);
                    }
                }
                End::NotRun => told.not_run.push(id.to_string()),
                End::CutOff(how) => told.cut_off.push(format!("{id} {idempotent}: {how}")),
            }
            return;
        }
        // Every address refused to take it.
        self.told.lock().unwrap().not_run.push(id.to_string());
    }
}

impl Told {
    fn note(&mut self, word: impl Into<String>) {
        *self.words.entry(word.into()).or_default() += 1;
    }

    fn take_in(
        &mut self,
        id: ids::RequestId,
        answer: Result<client::Answer, client::CallError>,
    ) -> End {
        let answer = match answer {
            Ok(answer) => answer,
            Err(error) if error.to_string().contains("Connection refused") => {
                self.note("connection refused");
                return End::Elsewhere;
            }
            Err(error) => {
                self.note("broken connection");
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
        let word = format!("{verdict} {error}");
        self.note(word.as_str());
        // The request is good, and whoever does not know better says nothing.
        if [400, 403, 404].contains(&answer.status.as_u16()) {
            self.wrong.push(format!("{id}: {word}"));
        }
        match verdict {
            Verdict::NotRun => End::NotRun,
            Verdict::MayHaveRun | Verdict::Ran => End::CutOff(word),
        }
    }
}
