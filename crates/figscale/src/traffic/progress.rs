//! Whether a request may have run, as its attempts come and go.

use std::sync;

use figscale_types::mutex;
use figscale_types::verdict::Verdict;

/// What is known of a request while its attempts go on.
#[derive(Debug, Default)]
pub(super) struct Progress {
    state: sync::Mutex<ProgressState>,
}

#[derive(Clone, Copy, Debug, Default)]
struct ProgressState {
    /// An earlier attempt may have run.
    earlier: bool,
    /// The present attempt may have run.
    present: bool,
}

impl Progress {
    /// The present attempt may run from now on.
    pub(super) fn sent(&self) {
        self.lock().present = true;
    }

    /// The present attempt has ended.
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
