//! Identifies the customer of a call by its key.
//!
//! A key is valid only while the configuration that lists it is proven to be in
//! force. Without that proof the key may have been revoked, so the call is refused
//! at once, without effect.

use figscale_types::fleet;

use super::call;
use crate::fleet::Context;
use crate::fleet::config_watch;

/// Why a call is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Refusal {
    /// It carries no key, or one that belongs to no customer.
    UnknownKey,
    /// The configuration is not proven, so the key may have been revoked.
    Unproven,
}

/// The customer that makes a call for a queue; `None` where no key is required.
pub(super) fn customer(
    context: &Context,
    table: &fleet::QueueTable,
    queue: &fleet::Queue,
    call: &call::Call,
) -> Result<Option<fleet::CustomerName>, Refusal> {
    let Some(customers) = table.customers.as_ref().filter(|_| table.needs_key(queue)) else {
        return Ok(None);
    };
    let owner = call.key.and_then(|key| customers.customer_of(&key));
    let owner = owner.ok_or(Refusal::UnknownKey)?;
    match config_watch::is_proven(context) {
        true => Ok(Some(owner.clone())),
        false => Err(Refusal::Unproven),
    }
}
