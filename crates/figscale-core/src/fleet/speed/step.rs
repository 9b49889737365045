//! How far the tasks of one step differ from their estimate together.

/// Number of runs that are remembered; more tell little more.
const MAX_RUNS: usize = 24;
/// Fewest other runs whose median tells something; one task in thirty is an outlier.
const MIN_OTHERS: usize = 3;

/// Total times of the runs of a step, beside the speed of their workers, in
/// logarithms.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepRatio {
    runs: Vec<f64>,
}

/// Median of other runs of the same step.
#[derive(Clone, Copy, Debug)]
pub(super) struct Others {
    pub(super) median: f64,
    /// Its variance, as far as the runs show it.
    pub(super) variance: f64,
    pub(super) count: f64,
}

impl StepRatio {
    /// The runs other than that at `own`; `None` if they are too few.
    pub(super) fn others(&self, own: Option<usize>) -> Option<Others> {
        let others = self.runs.iter().enumerate();
        let others = others.filter(|(index, _)| Some(*index) != own);
        let mut values: Vec<f64> = others.map(|(_, value)| *value).collect();
        if values.len() < MIN_OTHERS {
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
    pub(super) fn record(&mut self, own: &mut Option<usize>, value: f64) {
        match own {
            Some(own) => self.runs[*own] = value,
            None if self.runs.len() < MAX_RUNS => {
                *own = Some(self.runs.len());
                self.runs.push(value);
            }
            None => (),
        }
    }
}
