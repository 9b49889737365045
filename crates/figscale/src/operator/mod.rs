//! The operators' address: catalogue, jobs, dump, metrics and readiness.

use tokio::net::TcpListener;

use crate::state;

/// Serves operators on the traffic threads.
pub fn start(_context: &state::Context, _listener: TcpListener) {}
