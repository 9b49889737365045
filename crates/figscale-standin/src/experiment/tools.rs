//! Overhead of the tools themselves, which limits what they can measure.

use std::net;
use std::time;

use super::Lines;
use crate::cell;
use crate::client;
use crate::load;
use crate::platform;
use crate::proxy;
use crate::runner;

/// More slots, connections and calls per second than any load here needs.
const UNLIMITED: u32 = 100_000;
/// Duration of each measurement.
const DURATION: time::Duration = time::Duration::from_secs(5);
/// Number of concurrent clients of the platform.
const CLIENTS: usize = 16;

/// Latency of requests with a run time of zero, sent directly to a runner and
/// through the proxy.
pub(super) async fn load_tool(seed: u64) -> eyre::Result<Lines> {
    let runner = runner::start(runner::Config {
        slots: UNLIMITED,
        connections: UNLIMITED,
        ..runner::Config::default()
    })
    .await?;
    let proxy = proxy::start(proxy::Config::to(runner.address())).await?;
    let mut lines = Lines::new();
    for rate_per_s in [500.0, 2_000.0] {
        for (path, address) in [("direct", runner.address()), ("proxy", proxy.address())] {
            let report = load::run(&idle_load(address, rate_per_s, seed)?).await;
            lines.push(serde_json::json!({
                "scenario": "load-tool",
                "path": path,
                "rate_per_s": rate_per_s,
                "seed": seed,
                "requests": report.all.requests,
                "answered": report.all.own,
                "wait": report.all.wait,
            }));
        }
    }
    Ok(lines)
}

fn idle_load(address: net::SocketAddr, rate_per_s: f64, seed: u64) -> eyre::Result<load::Config> {
    let mut classes = cell::User::FraserReach.classes()?;
    for class in &mut classes {
        class.mean_run_ms = 0.0;
    }
    Ok(load::Config {
        targets: vec![load::Target {
            address,
            weight: 1.0,
        }],
        classes,
        rate_per_s,
        duration: DURATION,
        response_timeout: time::Duration::from_secs(30),
        seed,
    })
}

/// Calls per second that the stand-in platform serves without rate limits.
pub(super) async fn platform_tool() -> eyre::Result<Lines> {
    let platform = platform::start(platform::Config {
        writes_per_s: f64::from(UNLIMITED),
        reads_per_s: f64::from(UNLIMITED),
        ..platform::Config::default()
    })
    .await?;
    platform.write("k", vec![b'x'; 1_000]);
    let address = platform.address();
    let end = time::Instant::now() + DURATION;
    let mut clients = tokio::task::JoinSet::new();
    for _ in 0..CLIENTS {
        clients.spawn(async move {
            let client = client::Client::default();
            let mut calls: u64 = 0;
            while time::Instant::now() < end {
                let call = client::Call::get(address, "/v1/kv/k");
                calls += u64::from(client.send(call).await.is_ok());
            }
            calls
        });
    }
    let calls: u64 = clients.join_all().await.into_iter().sum();
    Ok(vec![serde_json::json!({
        "scenario": "platform-tool",
        "clients": CLIENTS,
        "value_bytes": 1_000,
        "reads_per_s": calls as f64 / DURATION.as_secs_f64(),
    })])
}
