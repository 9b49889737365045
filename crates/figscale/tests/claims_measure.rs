//! Measurements of claims, for docs/design/claims.md. Run by hand, in release:
//! `cargo test --release -p figscale --test claims_measure -- --ignored
//! --nocapture --test-threads=1`. Asserts nothing about speed.

mod claims_support;
mod harness;

use std::net;
use std::sync;
use std::time;

use claims_support::Cell;
use claims_support::Shape;
use figscale::settings;
use figscale::store;
use figscale_types::clock;
use figscale_types::ids;
use nix::sys::signal;
use rstest::rstest;

/// The lease of the default settings.
const DEFAULT_LEASE_MS: u64 = 6_000;
/// Time over which calls of an idle cell are counted.
const REST: time::Duration = time::Duration::from_secs(10);

/// How an entry instance ends.
#[derive(Clone, Copy, Debug)]
enum End {
    Kill,
    Freeze,
    PlannedStop,
}

/// Time from the end of entry 0 until all its shards are in use elsewhere.
async fn gap(end: End) -> time::Duration {
    let shape = Shape {
        entries: 4,
        racks: 8,
        lease_ms: DEFAULT_LEASE_MS,
    };
    let mut cell = Cell::of(shape).await;
    cell.start_all().await;
    cell.wait_for_witnesses().await;
    let began = time::Instant::now();
    match end {
        End::Kill => cell.kill(0).await,
        End::Freeze => cell.signal(0, signal::Signal::SIGSTOP),
        End::PlannedStop => cell.signal(0, signal::Signal::SIGTERM),
    }
    cell.wait_for_holders(&[1, 2, 3]).await;
    began.elapsed()
}

#[rstest]
#[case(End::Kill, 5)]
#[case(End::Freeze, 5)]
#[case(End::PlannedStop, 5)]
#[tokio::test(flavor = "multi_thread")]
#[ignore = "a measurement"]
async fn time_without_a_holder(#[case] end: End, #[case] rounds: usize) {
    let mut gaps = Vec::new();
    for _ in 0..rounds {
        gaps.push(gap(end).await);
    }
    gaps.sort();
    let (median, worst) = (gaps[rounds / 2].as_millis(), gaps[rounds - 1].as_millis());
    println!("RESULT {end:?}: n {rounds}, median {median} ms, worst {worst} ms");
}

fn print_counts(what: &str, cell: &Cell, elapsed: time::Duration) {
    let seconds = elapsed.as_secs_f64();
    let total = cell.platform.total();
    let bytes = total.received_bytes + total.sent_bytes;
    println!(
        "RESULT {what}: {} calls, {:.1} calls/s, {:.0} bytes/s over {seconds:.1} s",
        total.calls,
        total.calls as f64 / seconds,
        bytes as f64 / seconds
    );
    let mut by_kind = indexmap::IndexMap::new();
    for (kind, counts) in cell.platform.counts().into_values().flatten() {
        *by_kind.entry(format!("{kind:?}")).or_insert(0) += counts.calls;
    }
    println!("RESULT   by kind: {by_kind:?}");
}

#[rstest]
#[case(2, 8)]
#[case(4, 8)]
#[case(8, 8)]
#[case(16, 8)]
#[case(8, 160)]
#[tokio::test(flavor = "multi_thread")]
#[ignore = "a measurement"]
async fn store_calls(#[case] entries: usize, #[case] racks: usize) {
    let shape = Shape {
        entries,
        racks,
        lease_ms: DEFAULT_LEASE_MS,
    };
    let mut cell = Cell::of(shape).await;
    cell.start_all().await;
    cell.wait_for_witnesses().await;
    let what = format!("{entries} entries, {racks} racks");
    cell.platform.reset_counts();
    tokio::time::sleep(REST).await;
    print_counts(&format!("{what}, at rest"), &cell, REST);

    cell.platform.reset_counts();
    let began = time::Instant::now();
    cell.signal(0, signal::Signal::SIGTERM);
    let others: Vec<_> = (1..entries).collect();
    cell.wait_for_holders(&others).await;
    print_counts(&format!("{what}, one stops"), &cell, began.elapsed());
}

fn client(platform: net::SocketAddr) -> store::Store {
    let settings = settings::StoreSettings::default();
    store::Store::new(platform, &settings, sync::Arc::new(clock::SystemClock))
}

/// The baseline scheme: one key per instance under its holder's lease, listed at
/// every heartbeat, and written again when a holder stops.
#[rstest]
#[case(2, 100)]
#[case(4, 100)]
#[case(8, 100)]
#[case(16, 100)]
#[tokio::test(flavor = "multi_thread")]
#[ignore = "a measurement"]
async fn baseline_of_a_key_per_instance(#[case] entries: usize, #[case] instances: usize) {
    let shape = Shape {
        entries: 0,
        racks: 0,
        lease_ms: DEFAULT_LEASE_MS,
    };
    let cell = Cell::of(shape).await;
    let heartbeat = time::Duration::from_millis(DEFAULT_LEASE_MS / 4);
    let ttl = time::Duration::from_millis(DEFAULT_LEASE_MS);
    let mut members = Vec::new();
    for _ in 0..entries {
        let store = client(cell.platform.address());
        let lease = store.grant(ttl).await.unwrap();
        members.push((store, lease));
    }
    for instance in 0..instances {
        let (store, lease) = &members[instance % entries];
        let key = format!("holder/instance-{instance}");
        let value = format!("entry-{}", instance % entries).into_bytes();
        store
            .put(&key, ids::Revision(0), value, Some(*lease))
            .await
            .unwrap();
    }
    cell.platform.reset_counts();
    let began = time::Instant::now();
    let mut heartbeat_tick = tokio::time::interval(heartbeat);
    while began.elapsed() < REST {
        heartbeat_tick.tick().await;
        for (store, lease) in &members {
            store.renew(*lease).await.unwrap();
            store.keys("holder/").await.unwrap();
        }
    }
    let what = format!("baseline, {entries} entries, {instances} instances");
    print_counts(&format!("{what}, at rest"), &cell, began.elapsed());

    cell.platform.reset_counts();
    let began = time::Instant::now();
    let (store, lease) = &members[0];
    store.revoke(*lease).await.unwrap();
    for instance in (0..instances).step_by(entries) {
        let (store, lease) = &members[1 + instance % (entries - 1)];
        let key = format!("holder/instance-{instance}");
        let value = b"entry-x".to_vec();
        let absent = ids::Revision(0);
        store.put(&key, absent, value, Some(*lease)).await.unwrap();
    }
    print_counts(&format!("{what}, one stops"), &cell, began.elapsed());
}
