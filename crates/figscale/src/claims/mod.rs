//! The claims service: membership, heartbeat, and which shards this process holds.
//!
//! Publishes [`crate::state::ClaimsView`] and the authority.

use crate::peer;
use crate::state;

/// Name of the service.
pub const NAME: &str = "claims";

/// Registers the service and what it answers to peers, then runs it on the
/// control thread.
pub fn start(_context: &state::Context, _handlers: &mut peer::Handlers) {}

/// Gives up all shards in order and leaves; bounded by the caller.
pub async fn leave(_context: &state::Context) {}
