//! Request ids under planned and unplanned changes of their home.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod requests_cell;

use std::time;

use figscale_core::request::dedup;
use figscale_types::claims;
use figscale_types::headers;
use figscale_types::ids;
use requests_cell::Cell;
use requests_cell::QUOTE;
use requests_cell::Shape;

fn new_id() -> ids::RequestId {
    ids::RequestId(uuid::Uuid::now_v7())
}

/// Sends a non-idempotent request with this id; returns its status and verdict.
async fn run(cell: &Cell, entry: usize, id: ids::RequestId) -> (u16, String) {
    let call = cell.call(entry, QUOTE).header(headers::REQUEST_ID, id);
    let answer = cell.send(call).await;
    let verdict = answer.header(headers::VERDICT).to_owned();
    (answer.status.as_u16(), verdict)
}

/// A cell with a clock tolerance so long that a new home without the memory of the
/// earlier one would refuse fresh ids for the whole test.
async fn cell() -> Cell {
    let mut shape = Shape::default();
    shape.traffic.clock_tolerance_ms = 60_000;
    Cell::start(shape).await
}

/// Moves every home of request ids to an entry instance, with a drain or without.
async fn move_homes(cell: &Cell, to: usize, in_order: bool) {
    for number in 0..claims::ID_SHARDS {
        let shard = claims::id_shard(number).unwrap();
        let from = cell.holder(&shard);
        if in_order {
            let kernel = &cell.entries[from].context.kernel;
            kernel.drain(shard.clone()).await;
        }
        cell.assign(shard, to, in_order);
    }
    cell.publish();
}

#[tokio::test(flavor = "multi_thread")]
async fn the_first_home_lets_fresh_ids_through_at_once() {
    let cell = cell().await;
    let ran = (200, "ran".to_owned());
    assert_eq!(run(&cell, 0, new_id()).await, ran);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_move_refuses_repeats_and_nothing_fresh() {
    let cell = cell().await;
    let ran = (200, "ran".to_owned());
    let ids: Vec<_> = (0..40).map(|_| new_id()).collect();
    for id in &ids {
        assert_eq!(run(&cell, 0, *id).await, ran);
    }
    for to in [0, 1, 0] {
        move_homes(&cell, to, true).await;
        for id in &ids {
            let home = dedup::home_of(*id).unwrap();
            let (status, verdict) = run(&cell, 1, *id).await;
            // The report of how it ended may arrive after the home has moved.
            let known = ["ran", "may-have-run"].contains(&verdict.as_str());
            assert!(status == 409 && known, "{home} at {to}: {status} {verdict}");
        }
        for _ in 0..40 {
            assert_eq!(run(&cell, 1, new_id()).await, ran);
        }
    }
    assert_eq!(cell.ledger.requests().len(), 40 + 3 * 40);
    assert_eq!(cell.ledger.violations(), []);
}

/// Between the release of a home and its next holder no request id is accepted,
/// neither at the earlier home nor through another entry instance.
#[tokio::test(flavor = "multi_thread")]
async fn a_released_home_accepts_no_id() {
    let cell = cell().await;
    let ran = (200, "ran".to_owned());
    assert_eq!(run(&cell, 0, new_id()).await, ran);
    for number in 0..claims::ID_SHARDS {
        let shard = claims::id_shard(number).unwrap();
        let kernel = &cell.entries[cell.holder(&shard)].context.kernel;
        kernel.drain(shard).await;
    }
    let refused_ids: Vec<_> = (0..20).map(|_| new_id()).collect();
    for (number, id) in refused_ids.iter().enumerate() {
        let call = cell.call(number % 2, QUOTE);
        let call = call.header(headers::REQUEST_ID, id);
        let answer = cell.send(call.header(headers::BUDGET_MS, 100)).await;
        assert_ne!(answer.status, 200, "{id} was accepted without a home");
    }
    assert_eq!(cell.ledger.requests().len(), 1);
    for number in 0..claims::ID_SHARDS {
        cell.assign(claims::id_shard(number).unwrap(), 1, true);
    }
    cell.publish();
    for id in refused_ids {
        assert_eq!(run(&cell, 0, id).await, ran);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_home_that_died_leaves_fresh_ids_in_doubt() {
    let cell = cell().await;
    let ran = (200, "ran".to_owned());
    let id = new_id();
    assert_eq!(run(&cell, 0, id).await, ran);
    move_homes(&cell, 1, false).await;
    let refused = (409, "may-have-run".to_owned());
    assert_eq!(run(&cell, 0, id).await, refused);
    assert_eq!(run(&cell, 0, new_id()).await, refused);
}

/// A new home does not wait indefinitely for a memory that never arrives.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_memory_refuses_as_after_a_death() {
    let cell = cell().await;
    let id = new_id();
    run(&cell, 0, id).await;
    for number in 0..claims::ID_SHARDS {
        // Clean by the claims, but no memory is handed over.
        cell.assign(claims::id_shard(number).unwrap(), 1, true);
    }
    cell.publish();
    let began = time::Instant::now();
    let refused = (409, "may-have-run".to_owned());
    assert_eq!(run(&cell, 1, id).await, refused);
    assert!(began.elapsed() < requests_cell::LONG);
}
