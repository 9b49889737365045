//! A straight line through measured points, by least squares.

use serde::Serialize;

/// A measured figure at a size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Point {
    /// Size.
    pub size: f64,
    /// Figure.
    pub value: f64,
}

/// A line: figure = at rest + slope x size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Figure at size 0.
    pub at_rest: f64,
    /// Growth of the figure by one unit of size.
    pub slope: f64,
    /// Root of the mean square of the distances between points and line.
    pub residual: f64,
}

impl Line {
    /// The line through these points; `None` below two different sizes.
    pub fn through(points: &[Point]) -> Option<Self> {
        let count = points.len() as f64;
        let mean = |of: fn(&Point) -> f64| points.iter().map(of).sum::<f64>() / count;
        let (size, value) = (mean(|p| p.size), mean(|p| p.value));
        let spread: f64 = points.iter().map(|p| (p.size - size).powi(2)).sum();
        if points.len() < 2 || spread == 0.0 {
            return None;
        }
        let together: f64 = points
            .iter()
            .map(|p| (p.size - size) * (p.value - value))
            .sum();
        let slope = together / spread;
        let at_rest = value - slope * size;
        let distance = |p: &Point| (p.value - at_rest - slope * p.size).powi(2);
        let residual = (points.iter().map(distance).sum::<f64>() / count).sqrt();
        Some(Self {
            at_rest,
            slope,
            residual,
        })
    }

    /// The figure at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.at_rest + self.slope * size
    }
}
