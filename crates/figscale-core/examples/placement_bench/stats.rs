//! Mean and quantiles of a sample.

/// A sample, sorted when a quantile is read.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sample {
    values: Vec<f64>,
    sorted: bool,
}

impl Sample {
    pub(crate) fn add(&mut self, value: f64) {
        self.values.push(value);
        self.sorted = false;
    }

    pub(crate) fn len(&self) -> usize {
        self.values.len()
    }

    pub(crate) fn mean(&self) -> f64 {
        self.values.iter().sum::<f64>() / self.values.len().max(1) as f64
    }

    /// Quantile at this share; 0 for an empty sample.
    pub(crate) fn quantile(&mut self, share: f64) -> f64 {
        if !self.sorted {
            self.values.sort_by(f64::total_cmp);
            self.sorted = true;
        }
        let last = self.values.len().saturating_sub(1);
        let at = (last as f64 * share).round() as usize;
        self.values.get(at).copied().unwrap_or(0.0)
    }
}
