//! The stand-in platform keeps the protocol, and its faults are real ones.

use std::sync;
use std::time;

use figscale_standin::client;
use figscale_standin::platform;
use figscale_types::clock;
use figscale_types::ids;
use figscale_types::instances;
use figscale_types::platform as protocol;
use http::StatusCode;
use rstest::rstest;

const LONG: time::Duration = time::Duration::from_secs(30);
const SHORT: time::Duration = time::Duration::from_millis(100);

struct Bench {
    platform: platform::Handle,
    clock: sync::Arc<clock::ManualClock>,
    client: client::Client,
}

async fn bench(config: platform::Config) -> Bench {
    let clock = sync::Arc::new(clock::ManualClock::default());
    let config = platform::Config {
        clock: clock.clone(),
        ..config
    };
    Bench {
        platform: platform::start(config).await.expect("it listens"),
        clock,
        client: client::Client::default(),
    }
}

impl Bench {
    async fn send(&self, call: client::Call) -> client::Answer {
        self.client
            .send_within(LONG, call)
            .await
            .expect("a whole answer")
    }

    fn put(&self, key: &str, expected: u64, value: &str) -> client::Call {
        client::Call::put(self.platform.address(), format!("/v1/kv/{key}"))
            .header(protocol::IF_REVISION, expected)
            .body(value.to_owned())
    }

    fn get(&self, path: &str) -> client::Call {
        client::Call::get(self.platform.address(), path)
    }

    async fn grant(&self, ttl_ms: u64) -> ids::LeaseId {
        let request = protocol::LeaseRequest { ttl_ms };
        let call = client::Call::post(self.platform.address(), "/v1/leases");
        let answer = self.send(call.json(&request).expect("JSON")).await;
        answer
            .json::<protocol::LeaseAnswer>()
            .expect("a lease")
            .lease
    }

    /// Waits until a watch has come in and waits itself.
    async fn watch_waits(&self) {
        let waits = async {
            while self.platform.waiting_watches() == 0 {
                tokio::time::sleep(time::Duration::from_millis(2)).await;
            }
        };
        tokio::time::timeout(LONG, waits)
            .await
            .expect("a watch waits");
    }

    async fn renew(&self, lease: ids::LeaseId) -> StatusCode {
        let path = format!("/v1/leases/{lease}");
        let call = client::Call::put(self.platform.address(), path);
        self.send(call).await.status
    }
}

fn revision(answer: &client::Answer) -> u64 {
    answer
        .header(protocol::REVISION)
        .parse()
        .expect("a revision")
}

#[tokio::test]
async fn writes_compare_and_swap() {
    let bench = bench(platform::Config::default()).await;
    let first = bench.send(bench.put("a/b", 0, "one")).await;
    assert_eq!(first.status, StatusCode::OK);
    let at = revision(&first);

    let again = bench.send(bench.put("a/b", 0, "two")).await;
    assert_eq!(again.status, StatusCode::PRECONDITION_FAILED);
    assert_eq!(revision(&again), at);

    let second = bench.send(bench.put("a/b", at, "two")).await;
    assert!(revision(&second) > at);
    let read = bench.send(bench.get("/v1/kv/a/b")).await;
    assert_eq!(
        (read.text().as_str(), revision(&read)),
        ("two", revision(&second))
    );
}

#[tokio::test]
async fn a_key_made_again_never_shows_an_old_revision() {
    let bench = bench(platform::Config::default()).await;
    let first = revision(&bench.send(bench.put("k", 0, "one")).await);
    let delete = client::Call::delete(bench.platform.address(), "/v1/kv/k")
        .header(protocol::IF_REVISION, first);
    assert_eq!(bench.send(delete).await.status, StatusCode::OK);
    let gone = bench.send(bench.get("/v1/kv/k")).await;
    assert_eq!(gone.status, StatusCode::NOT_FOUND);
    let second = revision(&bench.send(bench.put("k", 0, "two")).await);
    assert!(revision(&gone) > first && second > revision(&gone));
}

#[rstest]
#[case::largest(protocol::MAX_VALUE_BYTES, StatusCode::OK)]
#[case::too_large(protocol::MAX_VALUE_BYTES + 1, StatusCode::PAYLOAD_TOO_LARGE)]
#[tokio::test]
async fn values_are_bounded(#[case] len: usize, #[case] expected: StatusCode) {
    let bench = bench(platform::Config::default()).await;
    let answer = bench.send(bench.put("k", 0, &"x".repeat(len))).await;
    assert_eq!(answer.status, expected);
    assert_eq!(bench.platform.read("k").is_some(), expected.is_success());
}

#[tokio::test]
async fn a_lapsed_lease_takes_its_keys_along() {
    let bench = bench(platform::Config::default()).await;
    let lease = bench.grant(1_000).await;
    let call = bench
        .put("member", 0, "here")
        .header(protocol::LEASE, lease);
    let at = revision(&bench.send(call).await);

    bench.clock.advance(time::Duration::from_millis(900));
    assert_eq!(bench.renew(lease).await, StatusCode::OK);
    bench.clock.advance(time::Duration::from_millis(900));
    assert!(bench.platform.read("member").is_some());

    bench.clock.advance(time::Duration::from_millis(100));
    let gone = bench.send(bench.get("/v1/kv/member")).await;
    assert_eq!(gone.status, StatusCode::NOT_FOUND);
    assert!(revision(&gone) > at);
    assert_eq!(bench.renew(lease).await, StatusCode::GONE);
    let late = bench
        .put("member", 0, "here")
        .header(protocol::LEASE, lease);
    assert_eq!(bench.send(late).await.status, StatusCode::GONE);
}

#[tokio::test]
async fn a_watch_sees_writes_and_lapsed_leases() {
    let bench = bench(platform::Config::default()).await;
    let quiet = bench
        .send(bench.get("/v1/watch/k?after=0&wait_ms=20"))
        .await;
    assert_eq!(quiet.status, StatusCode::NO_CONTENT);

    let watch = bench.send(bench.get("/v1/watch/k?after=0&wait_ms=30000"));
    let lease = bench.grant(1_000).await;
    let put = bench.put("k", 0, "one").header(protocol::LEASE, lease);
    let (seen, _) = tokio::join!(watch, bench.send(put));
    assert_eq!(seen.text(), "one");

    let path = format!("/v1/watch/k?after={}&wait_ms=30000", revision(&seen));
    let watch = bench.send(bench.get(&path));
    let lapse = async {
        bench.watch_waits().await;
        bench.clock.advance(time::Duration::from_secs(2));
    };
    let (seen, ()) = tokio::join!(watch, lapse);
    assert_eq!(seen.status, StatusCode::NOT_FOUND);
}

#[tokio::test]
async fn an_outage_ends_watches_and_changes_nothing() {
    let bench = bench(platform::Config::default()).await;
    let watch = bench.send(bench.get("/v1/watch/k?after=0&wait_ms=30000"));
    let outage = async {
        bench.watch_waits().await;
        bench.platform.change_faults(|faults| faults.outage = true);
    };
    let (seen, ()) = tokio::join!(watch, outage);
    assert_eq!(seen.status, StatusCode::SERVICE_UNAVAILABLE);
    let put = bench.send(bench.put("k", 0, "one")).await;
    assert_eq!(put.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(bench.platform.read("k").is_none());
    bench.platform.change_faults(|faults| faults.outage = false);
    assert_eq!(
        bench.send(bench.put("k", 0, "one")).await.status,
        StatusCode::OK
    );
}

#[tokio::test]
async fn a_lost_answer_comes_after_the_effect() {
    let bench = bench(platform::Config::default()).await;
    bench
        .platform
        .change_faults(|faults| faults.lose_next_answers = 1);
    let lost = bench.client.send(bench.put("k", 0, "one")).await;
    assert!(lost.is_err());
    assert_eq!(bench.platform.read("k").unwrap().bytes, b"one");
    let next = bench.send(bench.put("k", 0, "two")).await;
    assert_eq!(next.status, StatusCode::PRECONDITION_FAILED);
}

#[tokio::test]
async fn a_hanging_platform_answers_nobody() {
    let bench = bench(platform::Config::default()).await;
    bench.platform.change_faults(|faults| faults.hang = true);
    let hung = bench.client.send_within(SHORT, bench.put("k", 0, "one"));
    assert!(hung.await.is_err());
    assert!(bench.platform.read("k").is_none());
}

#[rstest]
#[case::writes(true)]
#[case::reads(false)]
#[tokio::test]
async fn rates_are_limited_apart(#[case] write: bool) {
    let config = platform::Config {
        writes_per_s: 3.0,
        reads_per_s: 3.0,
        ..platform::Config::default()
    };
    let bench = bench(config).await;
    let call = |number: u32| match write {
        true => bench.put(&format!("k{number}"), 0, "v"),
        false => bench.get("/v1/keys?prefix=k"),
    };
    for number in 0..3 {
        assert_eq!(bench.send(call(number)).await.status, StatusCode::OK);
    }
    assert_eq!(
        bench.send(call(3)).await.status,
        StatusCode::TOO_MANY_REQUESTS
    );
    let other = match write {
        true => bench.get("/v1/keys?prefix=k"),
        false => bench.put("k", 0, "v"),
    };
    assert_eq!(bench.send(other).await.status, StatusCode::OK);
    bench.clock.advance(time::Duration::from_secs(1));
    assert_eq!(bench.send(call(3)).await.status, StatusCode::OK);
    assert_eq!(bench.platform.total().over_rate, 1);
}

#[tokio::test]
async fn calls_and_bytes_are_counted_by_client() {
    let bench = bench(platform::Config::default()).await;
    bench
        .send(bench.put("k", 0, "four").header(protocol::CLIENT, "a"))
        .await;
    bench
        .send(bench.get("/v1/kv/k").header(protocol::CLIENT, "b"))
        .await;
    let counts = bench.platform.counts();
    let put = counts["a"][&platform::CallKind::Put];
    let get = counts["b"][&platform::CallKind::Get];
    assert_eq!((put.calls, put.received_bytes), (1, 4));
    assert_eq!((get.calls, get.sent_bytes), (1, 4));
}

#[tokio::test]
async fn the_instance_list_lags() {
    let config = platform::Config {
        instance_lag: time::Duration::from_millis(500),
        ..platform::Config::default()
    };
    let bench = bench(config).await;
    let read = async || -> instances::InstanceList {
        bench.send(bench.get("/v1/instances")).await.json().unwrap()
    };
    let before = read().await;
    bench.platform.change_instances(|list| list.push(runner()));
    bench.clock.advance(time::Duration::from_millis(499));
    assert_eq!(read().await, before);
    bench.clock.advance(time::Duration::from_millis(1));
    let after = read().await;
    assert_eq!(after.instances, vec![runner()]);
    assert!(after.revision > before.revision);
}

#[tokio::test]
async fn an_unchanged_instance_list_is_not_sent_again() {
    let bench = bench(platform::Config::default()).await;
    let read = async |known: ids::Revision| {
        let path = format!("/v1/instances?known={known}");
        bench.send(bench.get(&path)).await
    };
    let list = |answer: client::Answer| -> instances::InstanceList { answer.json().unwrap() };
    let whole = list(read(ids::Revision(0)).await);
    let unchanged = read(whole.revision).await;
    assert_eq!(unchanged.status, StatusCode::NO_CONTENT);
    assert!(unchanged.body.is_empty());

    bench.platform.change_instances(|list| list.push(runner()));
    let changed = list(read(whole.revision).await);
    assert_eq!(changed.instances, vec![runner()]);
    bench
        .platform
        .set_instance_lag(time::Duration::from_millis(700));
    assert_eq!(list(read(changed.revision).await).lag_ms, 700);
}

fn runner() -> instances::Instance {
    instances::Instance {
        id: "runner-1".parse().expect("legal"),
        role: instances::Role::Runner,
        address: "127.0.0.1:1".parse().expect("legal"),
        failure_domain: "fd-a".parse().expect("legal"),
        rack: "rack-1".parse().expect("legal"),
        service: Some("hullrate".parse().expect("legal")),
        capacity: figscale_types::sizes::Resources::default(),
        slots: 8,
        connections: 60,
        life: instances::Life::Live,
    }
}
