//! A load of three times the capacity of the runners.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod requests_cell;

use std::time;

use figscale_standin::load;
use figscale_standin::runner;
use requests_cell::Cell;
use requests_cell::Shape;

const SECONDS: u64 = 6;
const RUN_MS: f64 = 100.0;
const SLOTS: u32 = 16;

fn class(entry: &str, weight: f64, budget_ms: u64) -> load::Class {
    load::Class {
        entry: entry.parse().unwrap(),
        owner: "brokers".parse().unwrap(),
        weight,
        mean_run_ms: RUN_MS,
        idempotent: true,
        budget_ms: Some(budget_ms),
        body_bytes: load::DEFAULT_BODY_BYTES,
        answer_bytes: load::DEFAULT_ANSWER_BYTES,
    }
}

/// Under overload goodput stays near capacity, the wait of interactive requests
/// stays short, and refusals are sent at once, with a time to retry.
#[tokio::test(flavor = "multi_thread")]
async fn three_times_capacity() {
    let cell = Cell::start(Shape {
        run_time: runner::RunTime::Fixed(time::Duration::from_millis(100)),
        ..Shape::default()
    })
    .await;
    let capacity_per_s = f64::from(SLOTS) * 1_000.0 / RUN_MS;
    let config = load::Config {
        // Most callers use one entry instance.
        targets: vec![
            load::Target {
                address: cell.entries[0].caller,
                weight: 5.0,
            },
            load::Target {
                address: cell.entries[1].caller,
                weight: 1.0,
            },
        ],
        classes: vec![
            class("hullrate/cover", 0.2, 3_000),
            class("hullrate/quote", 0.8, 2_000),
            class("hullrate/voyages", 2.0, 2_000),
        ],
        rate_per_s: 3.0 * capacity_per_s,
        duration: time::Duration::from_secs(SECONDS),
        response_timeout: requests_cell::LONG,
        seed: 5,
    };
    let report = load::run(&config).await;
    println!("{report}");
    let mut own = 0;
    for class in report.classes.values() {
        own += class.own;
        assert_eq!(class.wrong, 0);
        assert_eq!(class.no_answer, 0);
        let failed: u64 = class.failed.values().sum();
        assert_eq!(class.retry_after, failed, "{:?}", class.failed);
        // Refused at once, not at the deadline of 2,000 ms or later.
        assert!(
            class.failed_latency.p50_ms < 1_000.0,
            "{:?}",
            class.failed_latency
        );
    }
    let possible = capacity_per_s * SECONDS as f64;
    assert!(own as f64 > 0.6 * possible, "{own} of {possible}");
    let cover = &report.classes["hullrate/cover"];
    assert_eq!(cover.own, cover.requests, "{:?}", cover.failed);
    assert!(cover.wait.p99_ms < 1_000.0, "{:?}", cover.wait);
    assert_eq!(cell.ledger.violations(), []);
}
