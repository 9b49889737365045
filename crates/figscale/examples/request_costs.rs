//! Measures the latency of the paths of a request over loopback, one call at a time.
//!
//! The kinds of call alternate within a run, so that all are measured under the
//! same machine load. The cell of the tests is used: entry instances and runners in
//! this process, with a proxy before each runner and each peer address.
//!
//! `cargo run --release -p figscale --example request_costs`

use std::time;

use figscale::store;
use figscale_standin::client;
use figscale_standin::load;
use figscale_standin::platform;
use figscale_standin::runner;
use figscale_types::headers;
use figscale_types::ids;
use requests_cell::Cell;
use requests_cell::QUOTE;
use requests_cell::Shape;

#[path = "../tests/requests_cell/mod.rs"]
mod requests_cell;

const ROUNDS: usize = 40;
const CALLS: usize = 50;

/// Kinds of call.
const KINDS: [&str; 5] = [
    "own slot",
    "one hop, body with the head",
    "one hop, body after the grant",
    "own slot, id remembered at its home",
    "a store write alone",
];

#[tokio::main]
async fn main() {
    let shape = Shape {
        runners: 1,
        run_time: runner::RunTime::Fixed(time::Duration::ZERO),
        ..Shape::default()
    };
    let cell = Cell::start(shape).await;
    let config = platform::Config {
        writes_per_s: 1e9,
        ..platform::Config::default()
    };
    let platform = platform::start(config).await.expect("a platform");
    let store = store::Store::new(
        platform.address(),
        &Default::default(),
        std::sync::Arc::new(figscale_types::clock::SystemClock),
    );
    // Wait out the time in which new homes refuse every id.
    tokio::time::sleep(time::Duration::from_secs(3)).await;
    let mut times = KINDS.map(|_| Vec::new());
    for _ in 0..ROUNDS {
        for (kind, times) in times.iter_mut().enumerate() {
            for _ in 0..CALLS {
                let began = time::Instant::now();
                one(&cell, &store, kind).await;
                times.push(began.elapsed());
            }
        }
    }
    println!("{} calls of each kind, in turns", ROUNDS * CALLS);
    println!("| kind | p50 ms | p99 ms |");
    println!("| --- | --- | --- |");
    for (kind, times) in KINDS.iter().zip(times) {
        let quantiles = load::Quantiles::of(times);
        println!(
            "| {kind} | {:.2} | {:.2} |",
            quantiles.p50_ms, quantiles.p99_ms
        );
    }
}

async fn one(cell: &Cell, store: &store::Store, kind: usize) {
    let id = ids::RequestId(uuid::Uuid::now_v7());
    let at = |entry: usize| cell.call(entry, QUOTE).body("a request");
    let call: client::Call = match kind {
        0 => at(0).header(headers::IDEMPOTENT, true),
        1 => at(1).header(headers::IDEMPOTENT, true),
        2 => at(1),
        3 => at(0).header(headers::REQUEST_ID, id),
        _ => {
            let key = format!("id/{id}");
            let written = store.put(&key, ids::Revision(0), Vec::new(), None).await;
            written.expect("a write");
            return;
        }
    };
    let answer = cell.send(call).await;
    assert_eq!(answer.status, 200, "{}", answer.text());
}
