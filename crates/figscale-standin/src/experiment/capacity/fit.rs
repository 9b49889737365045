//! Linear regression by least squares through measured points.

use serde::Serialize;

/// A measured value at a size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Point {
    /// Size.
    pub size: f64,
    /// Value.
    pub value: f64,
}

/// A line: value = at rest + slope x size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Value at size 0.
    pub at_rest: f64,
    /// Increase of the value per unit of size.
    pub slope: f64,
    /// Root mean square of the vertical distances between points and line.
    pub residual: f64,
}

impl Line {
    /// The line through these points; `None` if there are fewer than two different
    /// sizes.
    pub fn through(points: &[Point]) -> Option<Self> {
        let count = points.len() as f64;
        let mean = |of: fn(&Point) -> f64| points.iter().map(of).sum::<f64>() / count;
        let (size, value) = (mean(|p| p.size), mean(|p| p.value));
        let sxx: f64 = points.iter().map(|p| (p.size - size).powi(2)).sum();
        if points.len() < 2 || sxx == 0.0 {
            return None;
        }
        let sxy: f64 = points
            .iter()
            .map(|p| (p.size - size) * (p.value - value))
            .sum();
        let slope = sxy / sxx;
        let at_rest = value - slope * size;
        let distance = |p: &Point| (p.value - at_rest - slope * p.size).powi(2);
        let residual = (points.iter().map(distance).sum::<f64>() / count).sqrt();
        Some(Self {
            at_rest,
            slope,
            residual,
        })
    }

    /// The value at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.at_rest + self.slope * size
    }
}
