//! How far the tasks of one step differ from their estimate together.

/// Number of runs that are remembered; more tell little more.
const MAX_RUNS: usize = 24;
/// Fewest other runs, and their workers, whose median tells something; one task in
/// thirty is an outlier, and a worker may have become slow.
const MIN_OTHERS: usize = 3;
const MIN_WORKERS: usize = 2;

/// Total times of the runs of a step, beside the speed of their workers, in
/// logarithms.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepRatio {
    /// Each with the serial number of its worker.
    runs: Vec<(u32, f64)>,
}

/// Median of the runs of a step on other workers.
#[derive(Clone, Copy, Debug)]
pub(super) struct Others {
    pub(super) median: f64,
    /// Its variance, as far as the workers show it.
    pub(super) variance: f64,
    /// Number of workers.
    pub(super) count: f64,
}

impl StepRatio {
    /// The runs on workers other than this; `None` if they are too few. Each worker
    /// counts once, since its runs have its speed in common.
    pub(super) fn others(&self, worker: u32) -> Option<Others> {
        let others = self.runs.iter().filter(|(other, _)| *other != worker);
        let mut others: Vec<(u32, f64)> = others.copied().collect();
        if others.len() < MIN_OTHERS {
            return None;
        }
        others.sort_by_key(|(worker, _)| *worker);
        let of_worker = |runs: &[(u32, f64)]| {
            let mut values: Vec<f64> = runs.iter().map(|(_, value)| *value).collect();
            super::median(&mut values)
        };
        let workers = others.chunk_by(|a, b| a.0 == b.0);
        let mut values: Vec<f64> = workers.map(of_worker).collect();
        if values.len() < MIN_WORKERS {
            return None;
        }
        let median = super::median(&mut values);
        let mut deviations: Vec<f64> = values.iter().map(|v| (v - median).abs()).collect();
        let deviation = super::DEVIATION_OF_MEDIAN * super::median(&mut deviations);
        let count = values.len() as f64;
        Some(Others {
            median,
            variance: deviation * deviation / count,
            count,
        })
    }

    /// Records what a run says, in place of what it said before.
    pub(super) fn record(&mut self, own: &mut Option<usize>, worker: u32, value: f64) {
        match own {
            // Not there if its job was submitted again meanwhile.
            Some(own) => {
                if let Some(run) = self.runs.get_mut(*own) {
                    *run = (worker, value);
                }
            }
            None if self.runs.len() < MAX_RUNS => {
                *own = Some(self.runs.len());
                self.runs.push((worker, value));
            }
            None => (),
        }
    }
}
