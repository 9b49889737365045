//! The stand-in platform implements the protocol, and its faults have the effects
//! that they declare.

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

const TEST_TIMEOUT: time::Duration = time::Duration::from_secs(30);
const CALL_TIMEOUT: time::Duration = time::Duration::from_millis(100);

struct Fixture {
    platform: platform::Handle,
    clock: sync::Arc<clock::ManualClock>,
    client: client::Client,
}

async fn fixture(config: platform::Config) -> Fixture {
    let clock = sync::Arc::new(clock::ManualClock::default());
    let config = platform::Config {
        clock: clock.clone(),
        ..config
    };
    Fixture {
        platform: platform::start(config).await.expect("it listens"),
        clock,
        client: client::Client::default(),
    }
}

impl Fixture {
    async fn send(&self, call: client::Call) -> client::Answer {
        self.client
            .send_within(TEST_TIMEOUT, call)
            .await
            .expect("a complete response")
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

    /// Waits until a watch has arrived and is waiting.
    async fn wait_for_watch(&self) {
        let waits = async {
            while self.platform.waiting_watches() == 0 {
                tokio::time::sleep(time::Duration::from_millis(2)).await;
            }
        };
        tokio::time::timeout(TEST_TIMEOUT, waits)
            .await
            .expect("a waiting watch");
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
    let fixture = fixture(platform::Config::default()).await;
    let first = fixture.send(fixture.put("a/b", 0, "one")).await;
    assert_eq!(first.status, StatusCode::OK);
    let at = revision(&first);

    let again = fixture.send(fixture.put("a/b", 0, "two")).await;
    assert_eq!(again.status, StatusCode::PRECONDITION_FAILED);
    assert_eq!(revision(&again), at);

    let second = fixture.send(fixture.put("a/b", at, "two")).await;
    assert!(revision(&second) > at);
    let read = fixture.send(fixture.get("/v1/kv/a/b")).await;
    assert_eq!(
        (read.text().as_str(), revision(&read)),
        ("two", revision(&second))
    );
}

#[tokio::test]
async fn a_recreated_key_never_has_an_old_revision() {
    let fixture = fixture(platform::Config::default()).await;
    let first = revision(&fixture.send(fixture.put("k", 0, "one")).await);
    let delete = client::Call::delete(fixture.platform.address(), "/v1/kv/k")
        .header(protocol::IF_REVISION, first);
    assert_eq!(fixture.send(delete).await.status, StatusCode::OK);
    let gone = fixture.send(fixture.get("/v1/kv/k")).await;
    assert_eq!(gone.status, StatusCode::NOT_FOUND);
    let second = revision(&fixture.send(fixture.put("k", 0, "two")).await);
    assert!(revision(&gone) > first && second > revision(&gone));
}

#[rstest]
#[case::largest(protocol::MAX_VALUE_BYTES, StatusCode::OK)]
#[case::too_large(protocol::MAX_VALUE_BYTES + 1, StatusCode::PAYLOAD_TOO_LARGE)]
#[tokio::test]
async fn values_are_bounded(#[case] len: usize, #[case] expected: StatusCode) {
    let fixture = fixture(platform::Config::default()).await;
    let answer = fixture.send(fixture.put("k", 0, &"x".repeat(len))).await;
    assert_eq!(answer.status, expected);
    assert_eq!(fixture.platform.read("k").is_some(), expected.is_success());
}

#[tokio::test]
async fn an_expired_lease_deletes_its_keys() {
    let fixture = fixture(platform::Config::default()).await;
    let lease = fixture.grant(1_000).await;
    let call = fixture
        .put("member", 0, "here")
        .header(protocol::LEASE, lease);
    let at = revision(&fixture.send(call).await);

    fixture.clock.advance(time::Duration::from_millis(900));
    assert_eq!(fixture.renew(lease).await, StatusCode::OK);
    fixture.clock.advance(time::Duration::from_millis(900));
    assert!(fixture.platform.read("member").is_some());

    fixture.clock.advance(time::Duration::from_millis(100));
    let gone = fixture.send(fixture.get("/v1/kv/member")).await;
    assert_eq!(gone.status, StatusCode::NOT_FOUND);
    assert!(revision(&gone) > at);
    assert_eq!(fixture.renew(lease).await, StatusCode::GONE);
    let late = fixture
        .put("member", 0, "here")
        .header(protocol::LEASE, lease);
    assert_eq!(fixture.send(late).await.status, StatusCode::GONE);
}

#[tokio::test]
async fn a_watch_reports_writes_and_expired_leases() {
    let fixture = fixture(platform::Config::default()).await;
    let quiet = fixture
        .send(fixture.get("/v1/watch/k?after=0&wait_ms=20"))
        .await;
    assert_eq!(quiet.status, StatusCode::NO_CONTENT);

    let watch = fixture.send(fixture.get("/v1/watch/k?after=0&wait_ms=30000"));
    let lease = fixture.grant(1_000).await;
    let put = fixture.put("k", 0, "one").header(protocol::LEASE, lease);
    let (seen, _) = tokio::join!(watch, fixture.send(put));
    assert_eq!(seen.text(), "one");

    let path = format!("/v1/watch/k?after={}&wait_ms=30000", revision(&seen));
    let watch = fixture.send(fixture.get(&path));
    let lapse = async {
        fixture.wait_for_watch().await;
        fixture.clock.advance(time::Duration::from_secs(2));
    };
    let (seen, ()) = tokio::join!(watch, lapse);
    assert_eq!(seen.status, StatusCode::NOT_FOUND);
}

#[tokio::test]
async fn an_outage_ends_watches_and_changes_nothing() {
    let fixture = fixture(platform::Config::default()).await;
    let watch = fixture.send(fixture.get("/v1/watch/k?after=0&wait_ms=30000"));
    let outage = async {
        fixture.wait_for_watch().await;
        fixture
            .platform
            .change_faults(|faults| faults.outage = true);
    };
    let (seen, ()) = tokio::join!(watch, outage);
    assert_eq!(seen.status, StatusCode::SERVICE_UNAVAILABLE);
    let put = fixture.send(fixture.put("k", 0, "one")).await;
    assert_eq!(put.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(fixture.platform.read("k").is_none());
    fixture
        .platform
        .change_faults(|faults| faults.outage = false);
    assert_eq!(
        fixture.send(fixture.put("k", 0, "one")).await.status,
        StatusCode::OK
    );
}

#[tokio::test]
async fn a_write_takes_effect_before_its_response_is_lost() {
    let fixture = fixture(platform::Config::default()).await;
    fixture
        .platform
        .change_faults(|faults| faults.lose_next_answers = 1);
    let lost = fixture.client.send(fixture.put("k", 0, "one")).await;
    assert!(lost.is_err());
    assert_eq!(fixture.platform.read("k").unwrap().bytes, b"one");
    let next = fixture.send(fixture.put("k", 0, "two")).await;
    assert_eq!(next.status, StatusCode::PRECONDITION_FAILED);
}

#[tokio::test]
async fn a_hanging_platform_does_not_respond() {
    let fixture = fixture(platform::Config::default()).await;
    fixture.platform.change_faults(|faults| faults.hang = true);
    let hung = fixture
        .client
        .send_within(CALL_TIMEOUT, fixture.put("k", 0, "one"));
    assert!(hung.await.is_err());
    assert!(fixture.platform.read("k").is_none());
}

#[rstest]
#[case::writes(true)]
#[case::reads(false)]
#[tokio::test]
async fn reads_and_writes_have_separate_rate_limits(#[case] write: bool) {
    let config = platform::Config {
        writes_per_s: 3.0,
        reads_per_s: 3.0,
        ..platform::Config::default()
    };
    let fixture = fixture(config).await;
    let call = |number: u32| match write {
        true => fixture.put(&format!("k{number}"), 0, "v"),
        false => fixture.get("/v1/keys?prefix=k"),
    };
    for number in 0..3 {
        assert_eq!(fixture.send(call(number)).await.status, StatusCode::OK);
    }
    assert_eq!(
        fixture.send(call(3)).await.status,
        StatusCode::TOO_MANY_REQUESTS
    );
    let other = match write {
        true => fixture.get("/v1/keys?prefix=k"),
        false => fixture.put("k", 0, "v"),
    };
    assert_eq!(fixture.send(other).await.status, StatusCode::OK);
    fixture.clock.advance(time::Duration::from_secs(1));
    assert_eq!(fixture.send(call(3)).await.status, StatusCode::OK);
    assert_eq!(fixture.platform.total().over_rate, 1);
}

#[tokio::test]
async fn calls_and_bytes_are_counted_by_client() {
    let fixture = fixture(platform::Config::default()).await;
    fixture
        .send(fixture.put("k", 0, "four").header(protocol::CLIENT, "a"))
        .await;
    fixture
        .send(fixture.get("/v1/kv/k").header(protocol::CLIENT, "b"))
        .await;
    let counts = fixture.platform.counts();
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
    let fixture = fixture(config).await;
    let read = async || -> instances::InstanceList {
        fixture
            .send(fixture.get("/v1/instances"))
            .await
            .json()
            .unwrap()
    };
    let before = read().await;
    fixture
        .platform
        .change_instances(|list| list.push(runner()));
    fixture.clock.advance(time::Duration::from_millis(499));
    assert_eq!(read().await, before);
    fixture.clock.advance(time::Duration::from_millis(1));
    let after = read().await;
    assert_eq!(after.instances, vec![runner()]);
    assert!(after.revision > before.revision);
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
