//! Choice of the relay that forwards the calls of a worker.
//!
//! A leader that falls behind processes the responses of its relays late. Its
//! own hedged calls are then answered first, and one relay after another
//! appears to be slow. If the workers of such relays were called directly, the
//! leader would make more calls the further it fell behind, and never catch up.
//! So in a large fleet the workers of an ejected relay move to the next relay,
//! and hedged calls have a budget.

/// A relay that could forward the calls of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayCandidate {
    /// It is in the worker's failure domain.
    pub in_failure_domain: bool,
    /// It was recently slow or unresponsive.
    pub ejected: bool,
    /// Hash of the names of relay and worker; spreads workers over relays.
    pub hash: u64,
}

/// Position of the relay that forwards the calls of a worker; `None` if there
/// is none. An ejected relay is chosen only if all are ejected.
pub fn choose_relay(candidates: impl IntoIterator<Item = RelayCandidate>) -> Option<usize> {
    let candidates = candidates.into_iter().enumerate();
    let best = candidates.max_by_key(|(_, candidate)| {
        (
            !candidate.ejected,
            candidate.in_failure_domain,
            candidate.hash,
        )
    });
    best.map(|(position, _)| position)
}
