//! A change accepted at one entry instance comes into force at all of them, by
//! each path alone, and the revision in force never decreases.

#![expect(clippy::unwrap_used, reason = "A test may panic.")]

mod harness;

use std::time;

use figscale_types::catalogue;
use figscale_types::ids;
use figscale_types::operator;
use harness::operator::change;
use nix::sys::signal;
use serde_json::json;

/// Settings with polls too rare to occur within a test.
fn without_polls() -> serde_json::Value {
    json!({ "catalogue": { "poll_ms": 60_000, "watch_ms": 60_000 } })
}

fn with_fast_polls() -> serde_json::Value {
    json!({ "catalogue": { "poll_ms": 200, "watch_ms": 60_000 } })
}

async fn cell_with(settings: serde_json::Value) -> harness::Cell {
    let plan = harness::Plan {
        settings,
        ..harness::Plan::default()
    };
    let cell = harness::Cell::start(plan).await;
    cell.wait_for_members(&[0, 1]).await;
    cell.operator(0).apply(&change(0, 1)).await.unwrap();
    cell.wait_for_revision(&[0, 1], 1).await;
    cell
}

/// Longest time from a revision's coming into force to its line in the log, which a
/// thread of its own writes.
const LOG_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// The path by which a revision came into force at an entry instance, from its log.
async fn source(cell: &harness::Cell, index: usize, revision: u64) -> String {
    let begun = time::Instant::now();
    loop {
        let source = logged_source(cell, index, revision);
        if !source.is_empty() || begun.elapsed() > LOG_TIMEOUT {
            return source;
        }
        tokio::time::sleep(time::Duration::from_millis(10)).await;
    }
}

fn logged_source(cell: &harness::Cell, index: usize, revision: u64) -> String {
    let wanted = revision.to_string();
    let log = cell.log(index);
    let mut lines = log.lines().filter_map(|line| {
        let line: serde_json::Value = serde_json::from_str(line).ok()?;
        let matches = line["event"] == 3001 && line["revision"] == wanted.as_str();
        matches.then(|| line["source"].as_str().unwrap().to_owned())
    });
    lines.next_back().unwrap_or_default()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_comes_into_force_at_two_entry_instances() {
    let cell = cell_with(json!({})).await;
    let conflict = cell.operator(1).apply(&change(0, 2)).await.unwrap_err();
    assert_eq!(conflict.kind, operator::ErrorKind::Conflict);
    cell.operator(1).apply(&change(1, 2)).await.unwrap();
    cell.wait_for_revision(&[0, 1], 2).await;
    let status = cell.operator(0).status().await.unwrap();
    let everywhere = Some(ids::Revision(2));
    assert!(
        status.in_force.values().all(|r| *r == everywhere),
        "{status:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn the_watch_alone_is_enough() {
    let cell = cell_with(without_polls()).await;
    cell.cut_peers(0, 1, true);
    cell.operator(0).apply(&change(1, 2)).await.unwrap();
    cell.wait_for_revision(&[1], 2).await;
    assert_eq!(source(&cell, 1, 2).await, "watch");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_push_of_a_peer_alone_is_enough() {
    let cell = cell_with(without_polls()).await;
    cell.cut_store(1, true);
    cell.operator(0).apply(&change(1, 2)).await.unwrap();
    cell.wait_for_revision(&[1], 2).await;
    assert_eq!(source(&cell, 1, 2).await, "peer");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_poll_of_the_store_alone_is_enough() {
    let cell = cell_with(with_fast_polls()).await;
    cell.cut_peers(0, 1, true);
    cell.platform
        .change_faults(|faults| faults.deaf_watches = true);
    cell.operator(0).apply(&change(1, 2)).await.unwrap();
    cell.wait_for_revision(&[1], 2).await;
    assert_eq!(source(&cell, 1, 2).await, "poll");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_poll_of_a_peer_alone_is_enough() {
    let cell = cell_with(with_fast_polls()).await;
    cell.cut_store(1, true);
    // Calls that entry-0 makes do not reach entry-1; only entry-1 can call.
    let push = cell.peer_path(0, 1);
    push.change_faults(|faults| faults.to_target.cut = true);
    cell.operator(0).apply(&change(1, 2)).await.unwrap();
    cell.wait_for_revision(&[1], 2).await;
    assert_eq!(source(&cell, 1, 2).await, "peer");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_store_that_was_set_back_changes_nothing_and_is_repaired() {
    let cell = cell_with(with_fast_polls()).await;
    let older = cell.platform.read(catalogue::KEY).unwrap().bytes;
    for base in 1..4 {
        cell.operator(0).apply(&change(base, 9)).await.unwrap();
    }
    cell.wait_for_revision(&[0, 1], 4).await;
    for set_back in [true, false] {
        match set_back {
            true => drop(cell.platform.write(catalogue::KEY, older.clone())),
            false => cell.platform.delete(catalogue::KEY),
        }
        harness::wait_until("repair of the store", || async {
            for index in [0, 1] {
                let revision = cell.operator(index).in_force().await.unwrap();
                assert_eq!(revision, ids::Revision(4));
            }
            stored_revision(&cell) == Some(ids::Revision(4))
        })
        .await;
    }
    let lines = cell.operator(0).history().await.unwrap();
    let revisions: Vec<u64> = lines.iter().map(|line| line.revision.0).collect();
    assert_eq!(revisions, [4, 3, 2, 1]);
}

fn stored_revision(cell: &harness::Cell) -> Option<ids::Revision> {
    let value = cell.platform.read(catalogue::KEY)?;
    let document: catalogue::Document = serde_json::from_slice(&value.bytes).unwrap();
    Some(document.accepted.revision)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_value_that_is_no_catalogue_changes_nothing() {
    let cell = cell_with(with_fast_polls()).await;
    cell.platform.write(catalogue::KEY, b"{".to_vec());
    harness::wait_until("log of the unreadable value", || async {
        [0, 1]
            .iter()
            .all(|index| cell.log(*index).contains("CATALOGUE_UNREADABLE"))
    })
    .await;
    for index in [0, 1] {
        let revision = cell.operator(index).in_force().await.unwrap();
        assert_eq!(revision, ids::Revision(1));
    }
    let error = cell.operator(0).apply(&change(1, 2)).await.unwrap_err();
    assert_eq!(error.kind, operator::ErrorKind::Unavailable);
    assert_eq!(cell.platform.read(catalogue::KEY).unwrap().bytes, b"{");
    // Once the value is deleted, the catalogue in force is written back.
    cell.platform.delete(catalogue::KEY);
    harness::wait_until("repair of the store", || async {
        stored_revision(&cell) == Some(ids::Revision(1))
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_entry_instance_catches_up_and_brings_nothing_back() {
    let cell = cell_with(with_fast_polls()).await;
    cell.signal(1, signal::Signal::SIGSTOP);
    cell.operator(0).apply(&change(1, 2)).await.unwrap();
    cell.operator(0).apply(&change(2, 3)).await.unwrap();
    cell.signal(1, signal::Signal::SIGCONT);
    cell.wait_for_revision(&[1], 3).await;
    assert_eq!(cell.operator(0).in_force().await.unwrap(), ids::Revision(3));
    assert_eq!(stored_revision(&cell), Some(ids::Revision(3)));
}

#[tokio::test(flavor = "multi_thread")]
async fn the_catalogue_stays_while_all_are_replaced_one_by_one() {
    let mut cell = cell_with(with_fast_polls()).await;
    let older = cell.platform.read(catalogue::KEY).unwrap().bytes;
    cell.operator(0).apply(&change(1, 2)).await.unwrap();
    cell.wait_for_revision(&[0, 1], 2).await;
    for index in [0, 1] {
        // While the instance is down, the store is set back too.
        cell.kill(index).await;
        cell.platform.write(catalogue::KEY, older.clone());
        harness::wait_until("repair of the store", || async {
            stored_revision(&cell) == Some(ids::Revision(2))
        })
        .await;
        cell.launch(index);
        cell.wait_until_live(index).await;
        cell.wait_for_revision(&[index], 2).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_catalogue_stays_when_all_are_replaced_at_once_in_an_outage() {
    let mut cell = cell_with(with_fast_polls()).await;
    cell.operator(0).apply(&change(1, 2)).await.unwrap();
    cell.platform.change_faults(|faults| faults.outage = true);
    for index in [0, 1] {
        cell.kill(index).await;
    }
    for index in [0, 1] {
        cell.launch(index);
        cell.wait_until_live(index).await;
        // No catalogue is known, so no lower revision may be reported.
        let status = cell.operator(index).status().await.unwrap();
        assert!(status.in_force.values().all(Option::is_none), "{status:?}");
        let error = cell.operator(index).in_force().await.unwrap_err();
        assert_eq!(error.kind, operator::ErrorKind::Unavailable);
        let error = cell.operator(index).history().await.unwrap_err();
        assert_eq!(error.kind, operator::ErrorKind::Unavailable);
    }
    cell.platform.change_faults(|faults| faults.outage = false);
    cell.wait_for_revision(&[0, 1], 2).await;
    let lines = cell.operator(1).history().await.unwrap();
    assert_eq!(lines.len(), 2);
}
