//! Counters, gauges and histograms of a process, by opentelemetry.
//!
//! Read in the Prometheus text form on the operator address.

/// The meters of a process.
#[derive(Debug, Default)]
pub struct Metrics {}
