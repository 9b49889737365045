//! Counters, gauges and histograms of a process, by opentelemetry.
//!
//! Read in the Prometheus text form on the operator address.

/// The meters of a process.
#[derive(Debug, Default)]
pub struct Metrics {}

impl Metrics {
    /// All instruments in the Prometheus text form.
    pub fn render(&self) -> String {
        String::new()
    }
}
