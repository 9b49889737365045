//! Callers' requests: admission, queue, slot choice, dispatch and answer.

use tokio::net::TcpListener;

use crate::peer;
use crate::state;

/// Name of the service.
pub const NAME: &str = "traffic";

/// Registers what it answers to peers, then serves callers on the traffic threads.
pub fn start(_context: &state::Context, _handlers: &mut peer::Handlers, _listener: TcpListener) {}

/// Stops taking requests and waits until those in progress have their answers.
pub async fn drain(_context: &state::Context) {}
