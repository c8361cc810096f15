//! Least-squares lines.

/// A line through measured points.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Line {
    /// Value at zero.
    pub(crate) base: f64,
    /// Growth per unit.
    pub(crate) slope: f64,
    /// Largest distance of a point from the line, as a share of the largest value.
    pub(crate) residual: f64,
}

/// The line with the least squared error.
pub(crate) fn line(points: &[(f64, f64)]) -> Line {
    let n = points.len() as f64;
    let mean = |f: fn(&(f64, f64)) -> f64| points.iter().map(f).sum::<f64>() / n;
    let (x, y) = (mean(|p| p.0), mean(|p| p.1));
    let covariance: f64 = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum();
    let variance: f64 = points.iter().map(|p| (p.0 - x).powi(2)).sum();
    let slope = if variance > 0.0 {
        covariance / variance
    } else {
        0.0
    };
    let base = y - slope * x;
    let largest = points
        .iter()
        .map(|p| p.1.abs())
        .fold(f64::MIN_POSITIVE, f64::max);
    let off = points.iter().map(|p| (p.1 - base - slope * p.0).abs());
    Line {
        base,
        slope,
        residual: off.fold(0.0, f64::max) / largest,
    }
}

/// Median of some values.
pub(crate) fn median(values: &mut [f64]) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}
