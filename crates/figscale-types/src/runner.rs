//! The protocol between a holder of a runner shard and a runner.
//!
//! Requests go out as `POST /v1/run/ENTRY` over HTTP/1.1 with the headers of
//! [`crate::headers`]. A runner that answers with
//! [`REFUSED`](crate::headers::REFUSED) did not run the request. `GET
//! /v1/report` answers with [`RunnerReport`]; a runner without it is dealt with
//! by time alone.

use serde::Deserialize;
use serde::Serialize;

/// Path of a runner's report.
pub const REPORT_PATH: &str = "/v1/report";

/// What a runner is doing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerReport {
    /// Requests that it works on at the moment of the report.
    pub busy: u32,
    /// Whether it is leaving.
    #[serde(default)]
    pub leaving: bool,
}
