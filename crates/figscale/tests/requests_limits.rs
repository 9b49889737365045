//! Limits, abandoned requests, and the loss of authority at chosen moments of a
//! dispatch.

mod requests_cell;

use std::sync;
use std::sync::atomic;
use std::time;

use figscale::kernel;
use figscale_standin::runner;
use figscale_types::claims;
use figscale_types::clock;
use figscale_types::headers;
use figscale_types::ids;
use figscale_types::verdict::Verdict;
use requests_cell::Cell;
use requests_cell::QUOTE;
use requests_cell::Shape;
use rstest::rstest;

const fn ms(millis: u64) -> time::Duration {
    time::Duration::from_millis(millis)
}

fn new_id() -> ids::RequestId {
    ids::RequestId(uuid::Uuid::now_v7())
}

fn shape(entries: usize, runners: usize, slots: u32) -> Shape {
    let mut shape = Shape {
        entries,
        runners,
        slots,
        ..Shape::default()
    };
    shape.traffic.settle_ms = 200;
    shape.traffic.report_ms = 50;
    shape.traffic.clock_tolerance_ms = 10;
    shape.traffic.holder_wait_ms = 300;
    shape
}

/// Sends a request that runs for `run_ms`, without waiting for its answer.
fn spawn(
    cell: &Cell,
    entry: usize,
    run_ms: u64,
) -> tokio::task::JoinHandle<Result<figscale_standin::client::Answer, String>> {
    let call = cell.call(entry, QUOTE).header(headers::RUN_MS, run_ms);
    let client = cell.client.clone();
    tokio::spawn(async move {
        let answer = client.send_within(requests_cell::LONG, call).await;
        answer.map_err(|error| error.to_string())
    })
}

async fn wait_busy(cell: &Cell, busy: u32) {
    requests_cell::wait_for("busy runners", || async {
        let sum: u32 = cell.runners.iter().map(|r| r.handle.busy()).sum();
        sum == busy
    })
    .await;
}

async fn dump(cell: &Cell, entry: usize) -> serde_json::Value {
    cell.entries[entry].context.kernel.dump().await["traffic"].clone()
}

/// A clock that jumps ahead at a chosen reading, as it appears to a process that is
/// paused there and resumes later.
#[derive(Default)]
struct JumpingClock {
    readings_left: atomic::AtomicI64,
    jumped: atomic::AtomicBool,
}

impl JumpingClock {
    const JUMP: time::Duration = ms(1_500);

    fn arm(&self, readings: i64) {
        self.jumped.store(false, atomic::Ordering::SeqCst);
        self.readings_left.store(readings, atomic::Ordering::SeqCst);
    }
}

impl clock::Clock for JumpingClock {
    fn now(&self) -> time::Instant {
        if self.readings_left.fetch_sub(1, atomic::Ordering::SeqCst) == 1 {
            self.jumped.store(true, atomic::Ordering::SeqCst);
        }
        let now = time::Instant::now();
        match self.jumped.load(atomic::Ordering::SeqCst) {
            true => now + Self::JUMP,
            false => now,
        }
    }

    fn wall(&self) -> time::SystemTime {
        time::SystemTime::now()
    }

    fn since_boot(&self) -> time::Duration {
        clock::SystemClock.since_boot()
    }
}

/// Guards against a dispatch after authority has ended: the process is paused
/// between any two readings of its clock and resumes after the end of its
/// authority. A request that was not written before must not be written then.
#[tokio::test(flavor = "multi_thread")]
async fn a_dispatch_without_authority_is_not_written() {
    let clock = sync::Arc::new(JumpingClock::default());
    let cell = Cell::start(Shape {
        clock: clock.clone(),
        ..shape(1, 1, 4)
    })
    .await;
    let mut fenced = 0;
    for readings in 1..40 {
        let shared = &cell.entries[0].context.shared;
        shared
            .authority
            .set_valid_until(time::Instant::now() + ms(1_000));
        clock.arm(readings);
        let id = new_id();
        let call = cell
            .call(0, QUOTE)
            .header(headers::REQUEST_ID, id)
            .header(headers::IDEMPOTENT, true)
            .header(headers::BUDGET_MS, 20_000)
            .header(headers::RUN_MS, 1);
        let answer = cell.send(call).await;
        clock.arm(0);
        let seen = cell.ledger.may_have_run(&id.to_string());
        if answer.status != 200 {
            assert_eq!(
                answer.header(headers::VERDICT),
                "not-run",
                "{}",
                answer.text()
            );
            assert!(!seen, "reading {readings}: {}", answer.text());
        }
        let dump = dump(&cell, 0).await;
        fenced = dump["fenced"].as_u64().unwrap();
    }
    assert!(
        fenced > 0,
        "authority never ended between decision and write"
    );
    assert_eq!(cell.ledger.violations(), []);
}

/// A caller that disconnects while its request is queued frees its place in the
/// queue at once. One that disconnects while its request runs frees the slot only
/// when the runner has finished.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_frees_what_is_free(#[values(0, 1)] entry: usize) {
    let cell = Cell::start(shape(2, 1, 1)).await;
    let running = spawn(&cell, entry, 800);
    wait_busy(&cell, 1).await;
    let waiting = spawn(&cell, entry, 1);
    let queued = || async { dump(&cell, 0).await["waiting"] == 1 };
    requests_cell::wait_for("a waiting request", queued).await;
    waiting.abort();
    let dequeued = || async { dump(&cell, 0).await["waiting"] == 0 };
    requests_cell::wait_for("an empty queue", dequeued).await;
    assert_eq!(cell.runners[0].handle.busy(), 1);
    running.abort();
    let next = spawn(&cell, entry, 1).await.unwrap().unwrap();
    assert_eq!(next.status, 200, "{}", next.text());
    assert_eq!(
        cell.ledger.requests().len(),
        2,
        "the queued request must not run"
    );
    assert_eq!(cell.ledger.violations(), []);
}

/// A request that cannot be answered in time is refused at once, with a time to
/// retry that differs between callers.
#[tokio::test(flavor = "multi_thread")]
async fn what_cannot_be_met_is_refused_at_once() {
    let cell = Cell::start(shape(2, 1, 2)).await;
    for _ in 0..20 {
        let answer = spawn(&cell, 0, 100).await.unwrap().unwrap();
        assert_eq!(answer.status, 200);
    }
    let mut busy = Vec::new();
    for _ in 0..42 {
        busy.push(spawn(&cell, 0, 100));
    }
    let full = || async { dump(&cell, 0).await["waiting"] == 40 };
    requests_cell::wait_for("a queue of 40", full).await;
    let mut retry_times = std::collections::BTreeSet::new();
    for entry in [0, 1, 0, 1, 0, 1, 0, 1] {
        // The wait in the queue exceeds this budget; the refusal must not wait for it.
        let call = cell.call(entry, QUOTE).header(headers::BUDGET_MS, 600);
        let began = time::Instant::now();
        let answer = cell.send(call).await;
        let took = began.elapsed();
        let error: serde_json::Value = answer.json().unwrap();
        assert_eq!(error["error"], "deadline-unreachable", "{error}");
        assert_eq!(error["verdict"], "not-run");
        assert!(took < ms(500), "refused only after {took:?} of 600 ms");
        let after: u64 = answer.header("retry-after").parse().unwrap();
        assert!(after >= 1);
        retry_times.insert(error["retry_after_ms"].as_u64().unwrap());
    }
    assert!(retry_times.len() >= 6, "{retry_times:?}");
    for call in busy {
        assert_eq!(call.await.unwrap().unwrap().status, 200);
    }
}

/// A request whose last attempt failed is answered at once, not at its deadline.
#[tokio::test(flavor = "multi_thread")]
async fn a_failed_request_is_answered_before_its_deadline() {
    let cell = Cell::start(shape(2, 1, 2)).await;
    cell.runners[0]
        .handle
        .change_faults(|faults| faults.cut_answer = true);
    for entry in 0..2 {
        let call = cell
            .call(entry, QUOTE)
            .header(headers::BUDGET_MS, 60_000)
            .header(headers::RUN_MS, 1);
        // The client times out long before the deadline.
        let answer = cell.send(call).await;
        assert_eq!(answer.status, 502, "{}", answer.text());
        assert!(!answer.header("retry-after").is_empty());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_owner_over_its_rate_is_refused_at_once() {
    let cell = Cell::start(shape(1, 1, 2)).await;
    let mut refused = 0;
    for _ in 0..6 {
        let call = figscale_standin::client::Call::post(cell.entries[0].caller, QUOTE)
            .header(headers::OWNER, "slowlane");
        let answer = cell.send(call).await;
        if answer.status == 429 {
            refused += 1;
            assert!(!answer.header("retry-after").is_empty());
            assert_eq!(answer.header(headers::VERDICT), "not-run");
        }
    }
    assert!(
        refused >= 1,
        "6 requests at once passed a limit of 2 per second"
    );
}

/// A non-idempotent request that is repeated through every entry instance, also
/// after a change of its home, runs once.
#[rstest]
#[case::same_home(false, false)]
#[case::home_lost(true, false)]
#[case::home_handed_over(true, true)]
#[tokio::test(flavor = "multi_thread")]
async fn a_repeat_runs_nothing(#[case] moved: bool, #[case] drained: bool) {
    let cell = Cell::start(shape(3, 2, 4)).await;
    // Wait out the time in which a new home refuses every id.
    tokio::time::sleep(ms(40)).await;
    let id = new_id();
    let ask = |entry: usize| {
        cell.call(entry, QUOTE)
            .header(headers::REQUEST_ID, id)
            .header(headers::RUN_MS, 1)
    };
    let first = cell.send(ask(0)).await;
    assert_eq!(first.status, 200, "{}", first.text());
    if moved {
        let home = figscale_core::request::dedup::home_of(id).unwrap();
        let from = cell.holder(&home);
        if drained {
            let kernel = &cell.entries[from].context.kernel;
            assert_eq!(kernel.drain(home.clone()).await, kernel::Drained::Clean);
        }
        cell.assign(home, (from + 1) % 3, drained);
        cell.publish();
    }
    for entry in [1, 2, 0] {
        let repeat = cell.send(ask(entry)).await;
        assert_eq!(repeat.status, 409, "{}", repeat.text());
        assert_ne!(repeat.header(headers::VERDICT), "not-run");
    }
    assert_eq!(cell.ledger.runs(&id.to_string()), 1);
}

/// Guards against a wrong `not-run`: a refused repeat must not be reported as not
/// run if its request ran, whatever the reason of the refusal.
#[rstest]
#[case::no_such_entry("/v1/run/hullrate/nothing")]
#[case::too_large("/v1/run/hullrate/private")]
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_repeat_is_not_reported_as_not_run(#[case] path: &str) {
    let cell = Cell::start(shape(2, 1, 2)).await;
    tokio::time::sleep(ms(40)).await;
    let id = new_id();
    let ask = |path: &str| cell.call(0, path).header(headers::REQUEST_ID, id);
    let body = vec![0; 2_000];
    let never = cell.send(ask(path).body(body.clone())).await;
    assert_eq!(
        never.header(headers::VERDICT),
        "not-run",
        "{}",
        never.text()
    );
    let ran = cell.send(ask(QUOTE)).await;
    assert_eq!(ran.status, 200, "{}", ran.text());
    let refused = cell.send(ask(path).body(body)).await;
    // The home may not have received the end of the first one yet.
    let error: serde_json::Value = refused.json().unwrap();
    assert_ne!(error["verdict"], "not-run", "{error}");
    let verdict = refused.header(headers::VERDICT);
    assert_eq!(error["verdict"].as_str(), Some(verdict));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_id_from_the_future_is_refused_and_not_run() {
    let cell = Cell::start(shape(1, 1, 2)).await;
    let ahead = time::SystemTime::now() + ms(60_000);
    let since = ahead.duration_since(time::UNIX_EPOCH).unwrap();
    let stamp = uuid::Timestamp::from_unix(uuid::NoContext, since.as_secs(), 0);
    let id = ids::RequestId(uuid::Uuid::new_v7(stamp));
    let answer = cell
        .send(cell.call(0, QUOTE).header(headers::REQUEST_ID, id))
        .await;
    assert_eq!(answer.status, 400, "{}", answer.text());
    assert_eq!(answer.header(headers::VERDICT), "not-run");
    assert!(cell.ledger.requests().is_empty());
}

/// A drain is clean once the last request of the shard has ended, and the new
/// holder may use every slot at once.
#[tokio::test(flavor = "multi_thread")]
async fn a_hand_over_needs_no_quarantine() {
    let cell = Cell::start(shape(2, 1, 2)).await;
    let running = spawn(&cell, 0, 400);
    wait_busy(&cell, 1).await;
    let shard = requests_cell::shard(0);
    let drained = cell.entries[0].context.kernel.drain(shard.clone()).await;
    assert_eq!(drained, kernel::Drained::Clean);
    assert_eq!(
        cell.runners[0].handle.busy(),
        0,
        "drained while a request ran"
    );
    cell.assign(shard, 1, true);
    cell.publish();
    assert_eq!(running.await.unwrap().unwrap().status, 200);
    let answer = spawn(&cell, 0, 1).await.unwrap().unwrap();
    assert_eq!(answer.status, 200, "{}", answer.text());
    let counts = &dump(&cell, 1).await["runners"][0];
    assert_eq!(counts["kept_back"], 0, "{counts}");
}

/// The number of connections to a runner is limited, and all are closed once the
/// shard has moved.
#[tokio::test(flavor = "multi_thread")]
async fn connections_stay_within_the_limit_and_go_with_the_shard() {
    let cell = Cell::start(shape(3, 1, 8)).await;
    let calls: Vec<_> = (0..60).map(|n| spawn(&cell, n % 3, 20)).collect();
    for call in calls {
        assert_eq!(call.await.unwrap().unwrap().status, 200);
    }
    let runner: &runner::Handle = &cell.runners[0].handle;
    assert!(cell.ledger.connections(runner.id()) <= 12);
    let from = cell.holder(&requests_cell::shard(0));
    cell.assign(requests_cell::shard(0), (from + 1) % 3, true);
    cell.publish();
    requests_cell::wait_for("closed connections", || async {
        cell.ledger.connections(runner.id()) == 0
    })
    .await;
    assert_eq!(cell.ledger.violations(), []);
}

/// A runner that fails every request is ejected, so that it fails only a few, and is
/// used again once it recovers.
#[tokio::test(flavor = "multi_thread")]
async fn a_runner_that_fails_everything_is_ejected() {
    let cell = Cell::start(shape(1, 4, 2)).await;
    cell.runners[0]
        .handle
        .change_faults(|faults| faults.fail = true);
    let mut failed = 0;
    for _ in 0..100 {
        let answer = spawn(&cell, 0, 1).await.unwrap().unwrap();
        failed += u32::from(answer.status == 500);
    }
    assert!(failed <= 8, "{failed} of 100 failed");
    cell.runners[0]
        .handle
        .change_faults(|faults| faults.fail = false);
    requests_cell::wait_for("the runner's return", || async {
        let answer = cell
            .send(cell.call(0, QUOTE).header(headers::IDEMPOTENT, true))
            .await;
        answer.header(headers::RUNNER) == "runner-0"
    })
    .await;
}

/// Retries follow the verdict: an idempotent request is retried at another runner;
/// one that is not gets an error with the known verdict.
#[rstest]
#[case::idempotent(true, 200)]
#[case::not_idempotent(false, 502)]
#[tokio::test(flavor = "multi_thread")]
async fn a_broken_answer_is_retried_only_where_it_may(
    #[case] idempotent: bool,
    #[case] status: u16,
) {
    let cell = Cell::start(shape(2, 2, 2)).await;
    cell.runners[0]
        .handle
        .change_faults(|faults| faults.cut_answer = true);
    let mut seen = Vec::new();
    for _ in 0..4 {
        let call = cell.call(0, QUOTE).header(headers::IDEMPOTENT, idempotent);
        let answer = cell.send(call).await;
        seen.push(answer.status.as_u16());
        let verdict: Verdict = answer.header(headers::VERDICT).parse().unwrap();
        assert_ne!(verdict, Verdict::NotRun);
    }
    assert!(seen.contains(&status), "{seen:?}");
    if idempotent {
        assert!(!seen.contains(&502), "{seen:?}");
    }
}

/// Shards of request ids are spread over the entry instances.
#[test]
fn every_id_has_a_home() {
    let mut homes = std::collections::BTreeSet::new();
    for _ in 0..1_000 {
        homes.insert(figscale_core::request::dedup::home_of(new_id()).unwrap());
    }
    assert_eq!(homes.len(), claims::ID_SHARDS as usize);
}
