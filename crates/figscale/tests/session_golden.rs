//! A whole session of users, recorded as a transcript and compared with a golden
//! file: a stand-in platform, two runners, two workers and two entry instances, all
//! of them separate processes.

#![expect(clippy::unwrap_used, reason = "A test may panic.")]

mod harness;
mod session;

use std::collections::BTreeSet;
use std::time;

use figscale_standin::client;
use figscale_standin::runner;
use figscale_types::claims;
use figscale_types::headers;
use figscale_types::ids;
use figscale_types::jobs;
use session::Session;

const EXAMPLES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");
const EXAMPLE: &str = include_str!("../../../examples/fraser-reach.jsonc");
const CHANGE: &str = "019b0000-0000-7000-8000-000000000001";
const OTHER_CHANGE: &str = "019b0000-0000-7000-8000-000000000002";
/// Further changes: an edit, one based on an old revision, a rollback.
const EDIT: &str = "019b0000-0000-7000-8000-000000000003";
const STALE: &str = "019b0000-0000-7000-8000-000000000004";
const ROLLBACK: &str = "019b0000-0000-7000-8000-000000000005";
/// Shard of both runners.
const RUNNERS: &str = "runner/hullrate/lm-2/rack-1";
const JOB: &str = "repricing-1";
const EXAMPLE_JOB: &str = "first-job";
const JOB_SPEC: &str = r#"{
  // Two tasks that run long enough to be seen running.
  "entry": "fleet-repricing",
  "owner": "port-shippers",
  "tasks": 2,
  "task": { "cpu_millis": 4000, "memory_bytes": 4294967296 },
  "run_ms": 5000,
  "idempotent": true
}"#;

#[tokio::test(flavor = "multi_thread")]
async fn a_whole_session() {
    let mut session = Session::start();
    settings(&mut session);
    catalogue(&mut session).await;
    edit_catalogue(&mut session).await;
    requests(&mut session).await;
    refused_requests(&mut session).await;
    job(&mut session).await;
    example_job(&mut session).await;
    session.heading("Planned stop");
    session.stop().await;
    insta::assert_snapshot!(session.transcript());
}

fn settings(session: &mut Session) {
    session.heading("Settings");
    let good = session.settings_file(0);
    session.figscale(0, &["settings", "check", &good]);
    let text = std::fs::read_to_string(&good).unwrap();
    let bad = text.replace("\"shutdown_ms\":10000", "\"shutdown_ms\":\"10 s\"");
    let kind = session.file("wrong-type.json", &bad);
    let bad = text.replace("\"shutdown_ms\":10000", "\"shutdown_ms\":1");
    let bound = session.file("out-of-bounds.json", &bad);
    for file in [&kind, &bound] {
        session.figscale(0, &["settings", "check", file]);
        session.figscale(0, &["serve", "--settings", file]);
    }
}

async fn catalogue(session: &mut Session) {
    for index in [0, 1] {
        let operator = session.operator(index);
        harness::wait_until("two members", || async {
            let status = operator.status().await;
            status.is_ok_and(|status| status.in_force.len() == 2)
        })
        .await;
    }
    session.heading("Catalogue");
    let file = session.file("catalogue.jsonc", EXAMPLE);
    let wrong = EXAMPLE.replace(
        "\"weight\": 4, \"rate_per_s\"",
        "\"weight\": 0, \"rate_per_s\"",
    );
    let wrong = session.file("wrong.jsonc", &wrong);
    session.figscale(0, &["catalogue", "check", &wrong]);
    session.figscale(0, &["catalogue", "check", &file]);
    let apply = |change, author| {
        let words = ["catalogue", "apply", &file, "--base", "0"];
        let who = ["--author", author, "--note", "first", "--change", change];
        [words.as_slice(), who.as_slice()].concat()
    };
    session.figscale(0, &apply(CHANGE, "alice"));
    session.figscale(1, &apply(CHANGE, "alice"));
    session.figscale(1, &apply(OTHER_CHANGE, "bob"));
    wait_for_revision(session, 1).await;
    session.figscale(1, &["catalogue", "status"]);
    let lines = session.operator(0).history().await.unwrap();
    session.redact(lines[0].accepted_unix_ms.to_string(), "TIME");
    session.figscale(0, &["catalogue", "history"]);
}

/// Waits until both entry instances have this revision in force.
async fn wait_for_revision(session: &Session, revision: u64) {
    for index in [0, 1] {
        let operator = session.operator(index);
        harness::wait_until("revision in force", || async {
            let in_force = operator.in_force().await;
            in_force.is_ok_and(|r| r == ids::Revision(revision))
        })
        .await;
    }
}

async fn edit_catalogue(session: &mut Session) {
    session.heading("Catalogue, edited and rolled back");
    session.redact(EXAMPLES, "EXAMPLES");
    let example = format!("{EXAMPLES}/fraser-reach.jsonc");
    session.figscale(0, &["catalogue", "check", &example]);
    let edited = EXAMPLE.replace("\"concurrency\": 200", "\"concurrency\": 300");
    let edited = session.file("edited.jsonc", &edited);
    session.figscale(1, &["catalogue", "diff", &edited]);
    let by_ann = |words: &[&'static str], change| {
        let who = ["--author", "ann", "--change", change];
        [words, who.as_slice()].concat()
    };
    let apply = |change| {
        let mut words = by_ann(&["catalogue", "apply", "--base", "1"], change);
        words.push(&edited);
        words
    };
    session.figscale(1, &apply(EDIT));
    wait_for_revision(session, 2).await;
    session.figscale(0, &apply(STALE));
    let rollback = ["catalogue", "rollback", "1", "--base", "2"];
    session.figscale(0, &by_ann(&rollback, ROLLBACK));
    wait_for_revision(session, 3).await;
    session.figscale(1, &["catalogue", "status"]);
    for line in session.operator(1).history().await.unwrap() {
        session.redact(line.accepted_unix_ms.to_string(), "TIME");
    }
    session.figscale(1, &["catalogue", "history"]);
    session.figscale(1, &["catalogue", "show", "--at", "9"]);
}

async fn requests(session: &mut Session) {
    session.heading("Requests: entry-1 holds both runners");
    wait_for_holder(session, "entry-1").await;
    for index in [0, 1] {
        let body = format!("hull of entry-{index}");
        let (id, answer) = quote(session, index, &body).await;
        let told: runner::RunAnswer = answer.json().unwrap();
        assert_eq!(told.request_id, id);
        assert_eq!(told.body_checksum, runner::checksum(body.as_bytes()));
        session.note("(the whole answer, to this request)");
    }
    for index in [0, 1] {
        session.redact(format!("runner-{index}"), "RUNNER");
    }
    let fields = |_: &str| vec![(headers::OWNER, "brokers".to_owned())];
    run(session, 0, "/v1/run/cover-check", fields, "hello").await;
    let holders = holders(session).await;
    session.note(&format!("\ndispatched by the holder of: {holders:?}"));
}

/// Waits until a member holds the runners' shard according to the claims document
/// in the platform's store.
async fn wait_for_holder(session: &Session, member: &str) {
    let shard: ids::ShardId = RUNNERS.parse().unwrap();
    harness::wait_until("holder of the runners", || async {
        let call = client::Call::get(session.platform_address, "/v1/kv/claims");
        let answer = session.client.send(call).await.unwrap();
        let claims: claims::Claims = answer.json().unwrap();
        let holder = claims.shards.get(&shard).and_then(|s| s.holder.as_ref());
        holder.is_some_and(|key| key.id.as_str() == member)
    })
    .await;
}

/// Sends non-idempotent requests until one is run.
async fn quote(session: &mut Session, index: usize, body: &str) -> (String, client::Answer) {
    let fields = |id: &str| {
        vec![
            (headers::OWNER, "brokers".to_owned()),
            (headers::REQUEST_ID, id.to_owned()),
            (headers::BUDGET_MS, "20000".to_owned()),
        ]
    };
    let (id, answer) = run(session, index, "/v1/run/quote", fields, body).await;
    session.redact(&id, &format!("REQUEST-{index}"));
    (id, answer)
}

/// Sends requests with new ids until one is run, and returns its id. Just after the
/// start, shards have no holder, and homes of request ids refuse ids that may be
/// older than themselves, so only the request that is run is recorded.
async fn run(
    session: &mut Session,
    index: usize,
    path: &str,
    fields: impl Fn(&str) -> Vec<(&'static str, String)>,
    body: &str,
) -> (String, client::Answer) {
    let began = time::Instant::now();
    loop {
        let before = session.mark();
        let id = uuid::Uuid::now_v7().to_string();
        let fields = fields(&id);
        let fields: Vec<_> = fields.iter().map(|(name, v)| (*name, v.as_str())).collect();
        let answer = session.request(index, path, &fields, body).await;
        if answer.status.is_success() {
            return (id, answer);
        }
        assert!(
            began.elapsed() < harness::CONDITION_TIMEOUT,
            "{}",
            answer.text()
        );
        session.truncate(before);
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
}

/// The shards whose holders sent requests to the runners.
async fn holders(session: &Session) -> BTreeSet<String> {
    let mut holders = BTreeSet::new();
    for runner in &session.runners {
        let call = client::Call::get(runner.address, "/control/requests");
        let answer = session.client.send(call).await.unwrap();
        let seen: Vec<runner::SeenRequest> = answer.json().unwrap();
        let shards = seen.iter().filter_map(|one| one.holder.as_ref());
        holders.extend(shards.map(|holder| holder.shard.to_string()));
    }
    holders
}

async fn refused_requests(session: &mut Session) {
    session.heading("Requests that are refused");
    let owner = (headers::OWNER, "brokers");
    let large = "x".repeat(16_385);
    session
        .request(0, "/v1/run/no-such-entry", &[owner], "")
        .await;
    session
        .request(0, "/v1/run/cover-check", &[owner], &large)
        .await;
    let malformed = (headers::BUDGET_MS, "soon");
    session
        .request(0, "/v1/run/quote", &[owner, malformed], "")
        .await;
    session.request(0, "/v1/run/quote", &[], "").await;
    let stranger = (headers::OWNER, "nobody");
    session.request(0, "/v1/run/quote", &[stranger], "").await;
    session
        .request(0, "/v1/run/accumulation-run", &[owner], "")
        .await;
}

async fn job(session: &mut Session) {
    session.heading("A job");
    let file = session.file("job.json", JOB_SPEC);
    for index in [0, 1] {
        session.redact(format!("worker-{index}"), "WORKER");
    }
    session.figscale(0, &["job", "submit", &file, "--id", JOB]);
    session.figscale(1, &["job", "submit", &file, "--id", JOB]);
    wait_for_job(session, JOB, |job| {
        let running = |task: &jobs::TaskStatus| task.state == jobs::JobState::Running;
        job.tasks.len() == 2 && job.tasks.iter().all(running)
    })
    .await;
    session.figscale(1, &["job", "status", JOB]);
    wait_for_job(session, JOB, |job| job.state == jobs::JobState::Done).await;
    session.figscale(1, &["job", "status", JOB]);
    session.figscale(0, &["job", "list"]);
    let unknown = JOB_SPEC.replace("fleet-repricing", "no-such-entry");
    let unknown = session.file("unknown-job.json", &unknown);
    session.figscale(0, &["job", "submit", &unknown, "--id", "unknown-1"]);
}

/// Runs the job of the examples and repeats its submission after its end.
async fn example_job(session: &mut Session) {
    session.heading("The job of the examples");
    let file = format!("{EXAMPLES}/jobs/fleet-repricing.jsonc");
    let submit = ["job", "submit", &file, "--id", EXAMPLE_JOB];
    session.figscale(0, &submit);
    wait_for_job(session, EXAMPLE_JOB, |job| {
        job.state == jobs::JobState::Done
    })
    .await;
    session.figscale(1, &["job", "status", EXAMPLE_JOB]);
    session.figscale(0, &submit);
    session.figscale(0, &["job", "cancel", "no-such-job"]);
    session.figscale(1, &["job", "list"]);
}

async fn wait_for_job(session: &Session, job: &str, done: impl Fn(&jobs::JobStatus) -> bool) {
    let operator = session.operator(0);
    let id: ids::JobId = job.parse().unwrap();
    harness::wait_until("state of the job", || async {
        operator.job(&id).await.is_ok_and(|job| done(&job))
    })
    .await;
}
