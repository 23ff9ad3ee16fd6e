//! Least-squares fits of a quantity along an axis, and readings at other positions on it.

use std::fmt;

/// Minimum share of the variance that a line or a power law must explain to be accepted.
const MIN_R_SQUARED: f64 = 0.97;
/// A quantity is flat if its growth over the measured range is at most the first ratio of its mean, and its values span
/// at most the second.
const MAX_FLAT_GROWTH_AND_RANGE: (f64, f64) = (0.1, 0.3);
/// A power law is preferred to a line if its sum of squared relative errors is below this ratio of the line's, i.e. half
/// the error. R squared alone does not tell them apart: over many sizes it is high for a line through a quadratic, which
/// is far off at the small sizes.
const MAX_CURVE_ERROR_RATIO: f64 = 0.25;

/// The shape of the points.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Shape {
    /// No growth along the axis.
    Flat,
    /// Linear growth.
    Line,
    /// Growth by this power of the axis.
    PowerLaw(f64),
    /// None of these: values are interpolated between the points, but never extrapolated.
    Scattered,
}

impl fmt::Display for Shape {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Shape::Flat => f.write_str("flat"),
            Shape::Line => f.write_str("line"),
            Shape::PowerLaw(power) => write!(f, "curve, power {power:.2}"),
            Shape::Scattered => f.write_str("neither line nor curve"),
        }
    }
}

/// Points, the line fitted to them and its quality.
#[derive(Clone, Debug)]
pub struct Fit {
    /// Sorted by position on the axis; values at the same position are averaged.
    pub points: Vec<(f64, f64)>,
    /// Value of the line at 0.
    pub intercept: f64,
    /// Growth per unit of the axis.
    pub slope: f64,
    /// Share of the variance that the line explains.
    pub r_squared: f64,
    /// The shape of the points.
    pub shape: Shape,
    /// Power and factor of the power law, if the shape is one.
    power: Option<(f64, f64)>,
}

/// A reading of a fit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reading {
    /// Measured at this position.
    Measured(f64),
    /// Interpolated within the measured range.
    Interpolated(f64),
    /// Extrapolated past the measured range, by the line or the power law.
    Extrapolated(f64),
    /// Outside the measured range, and the shape does not allow extrapolation.
    None,
}

/// Intercept, slope and r squared; r squared is 1 if the values have no variance.
fn least_squares(points: &[(f64, f64)]) -> (f64, f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let sum_xx: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let sum_yy: f64 = points.iter().map(|(_, y)| (y - mean_y).powi(2)).sum();
    let sum_xy: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    if sum_xx == 0.0 {
        return (mean_y, 0.0, 0.0);
    }
    let slope = sum_xy / sum_xx;
    let r_squared = if sum_yy == 0.0 { 1.0 } else { sum_xy.powi(2) / (sum_xx * sum_yy) };
    (mean_y - slope * mean_x, slope, r_squared)
}

/// One point, the average, for each position on the axis.
fn average_by_position(points: &[(f64, f64)]) -> Vec<(f64, f64)> {
    let mut sorted: Vec<(f64, f64)> = points.iter().copied().filter(|(x, y)| (x + y).is_finite()).collect();
    sorted.sort_by(|a, b| a.0.total_cmp(&b.0));
    let groups = sorted.chunk_by(|a, b| a.0 == b.0);
    groups.map(|group| (group[0].0, group.iter().map(|(_, y)| y).sum::<f64>() / group.len() as f64)).collect()
}

/// Sum of the squared relative errors of a fit.
fn squared_relative_errors(points: &[(f64, f64)], fit: impl Fn(f64) -> f64) -> f64 {
    points.iter().map(|(x, y)| (fit(*x) / y - 1.0).powi(2)).sum()
}

fn is_flat(points: &[(f64, f64)], slope: f64) -> bool {
    let range = |coordinate: fn(&(f64, f64)) -> f64| {
        let (least, most) =
            points.iter().map(coordinate).fold((f64::MAX, f64::MIN), |(a, b), v| (a.min(v), b.max(v)));
        most - least
    };
    let mean = points.iter().map(|(_, y)| y).sum::<f64>() / points.len() as f64;
    let growth = slope * range(|(x, _)| *x);
    growth.abs() <= MAX_FLAT_GROWTH_AND_RANGE.0 * mean.abs()
        && range(|(_, y)| *y) <= MAX_FLAT_GROWTH_AND_RANGE.1 * mean.abs()
}

impl Fit {
    /// Fits the finite points; `None` if there are none.
    pub fn from_points(points: &[(f64, f64)]) -> Option<Fit> {
        let averaged = average_by_position(points);
        if averaged.is_empty() {
            return None;
        }
        // The fit uses all points, including several at one position: their spread counts in its quality.
        let all: Vec<(f64, f64)> = points.iter().copied().filter(|(x, y)| (x + y).is_finite()).collect();
        let (intercept, slope, r_squared) = least_squares(&all);
        let logs = all.iter().all(|(x, y)| *x > 0.0 && *y > 0.0);
        let logs = logs.then(|| all.iter().map(|(x, y)| (x.ln(), y.ln())).collect::<Vec<_>>());
        let curve = logs.map(|logs| least_squares(&logs)).filter(|(.., r)| *r >= MIN_R_SQUARED);
        let curve = curve.map(|(factor, power, _)| (power, factor.exp()));
        let line_errors = squared_relative_errors(&all, |x| intercept + slope * x);
        let preferred_curve = curve.filter(|(power, factor)| {
            squared_relative_errors(&all, |x| factor * x.powf(*power)) < MAX_CURVE_ERROR_RATIO * line_errors
        });
        let shape = match preferred_curve.or(curve.filter(|_| r_squared < MIN_R_SQUARED)) {
            _ if averaged.len() < 3 => Shape::Scattered,
            _ if is_flat(&all, slope) => Shape::Flat,
            Some((power, _)) => Shape::PowerLaw(power),
            None if r_squared >= MIN_R_SQUARED => Shape::Line,
            None => Shape::Scattered,
        };
        let power = curve.filter(|_| matches!(shape, Shape::PowerLaw(_)));
        Some(Fit { points: averaged, intercept, slope, r_squared, shape, power })
    }

    /// The value at a position on the axis. A power law is never extrapolated as a line.
    pub fn value_at(&self, x: f64) -> Reading {
        let (first, last) = (self.points[0].0, self.points[self.points.len() - 1].0);
        if let Some((_, y)) = self.points.iter().find(|(position, _)| *position == x) {
            return Reading::Measured(*y);
        }
        if (first..=last).contains(&x) {
            return Reading::Interpolated(self.interpolate(x));
        }
        match (self.shape, self.power) {
            (Shape::Flat, _) => {
                Reading::Extrapolated(self.points.iter().map(|(_, y)| *y).fold(f64::MIN, f64::max))
            }
            (Shape::Line, _) => Reading::Extrapolated((self.intercept + self.slope * x).max(0.0)),
            (Shape::PowerLaw(_), Some((power, factor))) => Reading::Extrapolated(factor * x.powf(power)),
            _ => Reading::None,
        }
    }

    /// Linear interpolation between the two neighbouring points.
    fn interpolate(&self, x: f64) -> f64 {
        let after = self.points.iter().position(|(position, _)| *position > x).unwrap_or(1).max(1);
        let (left, right) = (self.points[after - 1], self.points[after]);
        left.1 + (right.1 - left.1) * (x - left.0) / (right.0 - left.0)
    }
}
