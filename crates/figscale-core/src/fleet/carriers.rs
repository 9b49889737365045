//! Which instance carries the calls of a worker.
//!
//! A leader that falls behind takes the answers of its relays in late, so that
//! its own second calls are answered first and one relay after the other seems to
//! be slow. Were their workers called directly meanwhile, the leader would make
//! more calls the later it is, and never catch up. So in a large fleet the workers
//! of a relay that is set aside go to the next one, and second calls have a budget.

/// A relay that could carry the calls of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Carrier {
    /// It stands in the worker's failure domain.
    pub near: bool,
    /// It was slow or silent a moment ago.
    pub set_aside: bool,
    /// Hash of both names, by which workers are spread.
    pub hash: u64,
}

/// Position of the relay that carries the calls of a worker; `None` if there is
/// none. One that is set aside does only where all are.
pub fn choose_carrier(carriers: impl IntoIterator<Item = Carrier>) -> Option<usize> {
    let carriers = carriers.into_iter().enumerate();
    let best = carriers.max_by_key(|(_, carrier)| (!carrier.set_aside, carrier.near, carrier.hash));
    best.map(|(position, _)| position)
}
