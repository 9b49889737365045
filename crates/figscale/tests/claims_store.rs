//! The store client against a small server with scripted responses.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use std::net;
use std::sync;
use std::time;

use axum::extract;
use axum::response::IntoResponse as _;
use figscale::settings;
use figscale::store;
use figscale::store::StoreErrorKind;
use figscale_standin::platform;
use figscale_types::clock;
use figscale_types::ids;
use figscale_types::instances;
use figscale_types::sizes;
use figscale_types::verdict::Verdict;
use rstest::rstest;
use tokio::net::TcpListener;

type Answer = sync::Arc<dyn Fn(&str) -> axum::response::Response + Send + Sync>;

async fn serve(answer: Answer) -> net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let app = axum::Router::new().fallback(move |request: extract::Request| {
        let answer = answer.clone();
        async move {
            let line = format!("{} {}", request.method(), request.uri());
            if line.contains("/silent") {
                std::future::pending::<()>().await;
            }
            answer(&line)
        }
    });
    tokio::spawn(async move { axum::serve(listener, app).await });
    address
}

fn client(address: net::SocketAddr, timeout_ms: u64) -> store::Store {
    let settings = settings::StoreSettings {
        timeout_ms,
        ..settings::StoreSettings::default()
    };
    store::Store::new(address, &settings, sync::Arc::new(clock::SystemClock))
}

fn status(code: u16, revision: u64) -> axum::response::Response {
    let code = http::StatusCode::from_u16(code).unwrap();
    (code, [("x-revision", revision.to_string())], "value").into_response()
}

#[rstest]
#[case::other_revision(412, StoreErrorKind::Conflict(ids::Revision(9)), Verdict::NotRun)]
#[case::lease_gone(410, StoreErrorKind::LeaseGone, Verdict::NotRun)]
#[case::too_large(413, StoreErrorKind::TooLarge, Verdict::NotRun)]
#[case::over_the_rate(429, StoreErrorKind::Busy, Verdict::NotRun)]
#[case::outage(503, StoreErrorKind::Unavailable("status 503 Service Unavailable".to_owned()), Verdict::MayHaveRun)]
#[tokio::test]
async fn refused_write(#[case] code: u16, #[case] kind: StoreErrorKind, #[case] verdict: Verdict) {
    let address = serve(sync::Arc::new(move |_| status(code, 9))).await;
    let store = client(address, 5_000);
    let write = store.put("k", ids::Revision(1), b"v".to_vec(), None).await;
    assert_eq!(write, Err(store::StoreError { kind, verdict }));
}

#[tokio::test]
async fn calls_take_the_form_of_the_protocol() {
    let seen = sync::Arc::new(sync::Mutex::new(Vec::new()));
    let record = seen.clone();
    let answer = move |line: &str| {
        record.lock().unwrap().push(line.to_owned());
        match line.contains("/absent") {
            true => status(404, 0),
            false => status(200, 7),
        }
    };
    let store = client(serve(sync::Arc::new(answer)).await, 5_000);
    let wait = time::Duration::from_millis(250);

    assert_eq!(store.get("absent").await, Ok(None));
    let found = store.get("a/b").await.unwrap().unwrap();
    assert_eq!(found.revision, ids::Revision(7));
    assert_eq!(found.value, b"value");
    let written = store.put("a/b", ids::Revision(6), Vec::new(), None).await;
    assert_eq!(written, Ok(ids::Revision(7)));
    store.renew(ids::LeaseId(3)).await.unwrap();
    store.revoke(ids::LeaseId(3)).await.unwrap();
    store.delete("a/b", ids::Revision(7)).await.unwrap();
    store.watch("a/b", ids::Revision(7), wait).await.unwrap();
    assert!(store.keys("a/").await.is_err(), "no list in the answer");

    let lines = seen.lock().unwrap().clone();
    let expected = [
        "GET /v1/kv/absent",
        "GET /v1/kv/a/b",
        "PUT /v1/kv/a/b",
        "PUT /v1/leases/3",
        "DELETE /v1/leases/3",
        "DELETE /v1/kv/a/b",
        "GET /v1/watch/a/b?after=7&wait_ms=250",
        "GET /v1/keys?prefix=a/",
    ];
    assert_eq!(lines, expected);
    assert_eq!(store.counts().of(platform::CallKind::Get).calls, 2);
}

#[tokio::test]
async fn a_write_without_an_answer_may_have_run() {
    let store = client(serve(sync::Arc::new(|_| status(200, 1))).await, 50);
    let write = store.put("silent", ids::Revision(0), Vec::new(), None);
    assert_eq!(write.await.unwrap_err().verdict, Verdict::MayHaveRun);
    let read = store.get("silent").await;
    assert_eq!(read.unwrap_err().verdict, Verdict::NotRun);
}

#[tokio::test]
async fn a_write_without_a_connection_has_not_run() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let store = client(address, 5_000);
    let write = store.put("k", ids::Revision(0), Vec::new(), None).await;
    assert_eq!(write.unwrap_err().verdict, Verdict::NotRun);
}

#[test]
fn the_budget_is_shared_evenly() {
    let start = time::Instant::now();
    let second = time::Duration::from_secs(1);
    let mut budget = store::Budget::new(100, start);
    budget.share_among(4, start);
    let at_once = (0..1_000)
        .filter_map(|_| budget.reserve(start, second))
        .filter(time::Duration::is_zero)
        .count();
    assert_eq!(at_once, 25, "one second's worth of a quarter");
    assert_eq!(budget.reserve(start, second), None, "the wait is too long");
    assert!(budget.reserve(start + second, second).is_some());
}

/// Guards against an unchanged instance list being transferred again.
#[tokio::test]
async fn an_unchanged_instance_list_is_not_sent_again() {
    let worker = |number: u64| instances::Instance {
        id: format!("w-{number}").parse().unwrap(),
        role: instances::Role::Worker,
        address: "127.0.0.1:9".parse().unwrap(),
        failure_domain: "fd-1".parse().unwrap(),
        rack: "r-1".parse().unwrap(),
        service: None,
        capacity: sizes::Resources::default(),
        slots: 0,
        connections: 0,
        life: instances::Life::Live,
    };
    let config = platform::Config {
        instances: (0..100).map(worker).collect(),
        ..platform::Config::default()
    };
    let platform = platform::start(config).await.unwrap();
    let store = client(platform.address(), 30_000);
    let read_bytes = |store: &store::Store| {
        let counts = store.counts();
        let all = counts.iter().map(|(_, usage)| usage.received_bytes);
        all.sum::<u64>()
    };

    let first = store.instances().await.unwrap();
    let whole = read_bytes(&store);
    let second = store.instances().await.unwrap();
    assert!(
        sync::Arc::ptr_eq(&first, &second),
        "the whole list was read again"
    );
    assert!(
        read_bytes(&store) - whole < 200,
        "the whole list was sent again"
    );

    platform.change_instances(|all| all.truncate(50));
    let after = store.instances().await.unwrap();
    assert_eq!(after.instances.len(), 50);
    assert!(after.revision > first.revision);

    platform.set_instance_lag(time::Duration::from_millis(700));
    assert_eq!(store.instances().await.unwrap().lag_ms, 700);
}
