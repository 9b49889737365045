//! Tracks over the attempts of a request whether it may have run.

use std::sync;

use figscale_types::mutex;
use figscale_types::verdict::Verdict;

/// Whether a request may have run, while attempts are made.
#[derive(Debug, Default)]
pub(super) struct Progress {
    state: sync::Mutex<ProgressState>,
}

#[derive(Clone, Copy, Debug, Default)]
struct ProgressState {
    /// An earlier attempt may have run.
    earlier: bool,
    /// The current attempt may have run.
    present: bool,
}

impl Progress {
    /// Records that the current attempt may run from now on.
    pub(super) fn sent(&self) {
        self.lock().present = true;
    }

    /// Records that the current attempt has ended.
    pub(super) fn ended(&self, verdict: Verdict) {
        let mut state = self.lock();
        state.present = false;
        state.earlier |= verdict != Verdict::NotRun;
    }

    /// Whether any attempt may have run.
    pub(super) fn verdict(&self) -> Verdict {
        let state = self.lock();
        match state.earlier || state.present {
            true => Verdict::MayHaveRun,
            false => Verdict::NotRun,
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, ProgressState> {
        mutex::lock(&self.state)
    }
}
