//! Whose call it is, by its key.
//!
//! A key counts only while the configuration that names it is proven to be in
//! force. Without that proof nobody can tell whether the key was taken away, so
//! the call is refused at once and has done nothing.

use figscale_types::fleet;

use super::call;
use crate::fleet::Context;
use crate::fleet::follow;

/// Why a call is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Refusal {
    /// It carries no key, or one that belongs to nobody.
    UnknownKey,
    /// Whether its key still holds cannot be told.
    Unproven,
}

/// The customer of a call for a queue; none where calls need no key.
pub(super) fn customer(
    context: &Context,
    table: &fleet::QueueTable,
    queue: &fleet::Queue,
    call: &call::Call,
) -> Result<Option<fleet::CustomerName>, Refusal> {
    let Some(customers) = table.customers.as_ref().filter(|_| table.needs_key(queue)) else {
        return Ok(None);
    };
    let owner = call.key.and_then(|key| customers.owner_of(&key));
    let owner = owner.ok_or(Refusal::UnknownKey)?;
    match follow::is_proven(context) {
        true => Ok(Some(owner.clone())),
        false => Err(Refusal::Unproven),
    }
}
