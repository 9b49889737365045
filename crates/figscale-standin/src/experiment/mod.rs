//! Measured scenarios, by name.
//!
//! A scenario is a function that takes a seed and returns lines of JSON. Each line
//! contains its parameters besides its figures, so that it can be quoted on its
//! own. To add one, write a module beside this one and a
//! line in [`SCENARIOS`]. A scenario measures its baseline in the same run.

pub mod capacity;
mod tools;

use std::future;
use std::pin;

/// Lines of a scenario, each a JSON object.
pub type Lines = Vec<serde_json::Value>;
type Measured = pin::Pin<Box<dyn future::Future<Output = eyre::Result<Lines>>>>;

/// A scenario.
#[derive(Clone, Copy)]
pub struct Scenario {
    /// Name on the command line.
    pub name: &'static str,
    /// What it measures and the baseline.
    pub help: &'static str,
    /// Runs it with a seed.
    pub measure: fn(u64) -> Measured,
}

/// Every scenario.
pub const SCENARIOS: &[Scenario] = &[
    Scenario {
        name: "capacity",
        help: "cost of an entry process by entries, workers, tasks and rates; under 6 minutes",
        measure: |_| Box::pin(capacity::measure(false)),
    },
    Scenario {
        name: "capacity-quick",
        help: "the same at small sizes; under 60 s",
        measure: |_| Box::pin(capacity::measure(true)),
    },
    Scenario {
        name: "load-tool",
        help: "latency that the load tool itself adds, with and without the proxy",
        measure: |seed| Box::pin(tools::load_tool(seed)),
    },
    Scenario {
        name: "platform-tool",
        help: "calls a second that the stand-in platform answers, its limits lifted",
        measure: |_| Box::pin(tools::platform_tool()),
    },
];

/// Runs the scenario with this name.
pub async fn run(name: &str, seed: u64) -> eyre::Result<Lines> {
    let found = SCENARIOS.iter().find(|scenario| scenario.name == name);
    let Some(scenario) = found else {
        let names: Vec<_> = SCENARIOS.iter().map(|scenario| scenario.name).collect();
        eyre::bail!(
            "there is no scenario {name}; there are {}",
            names.join(", ")
        );
    };
    (scenario.measure)(seed).await
}
