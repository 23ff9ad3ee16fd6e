//! Least squares over the points of a quantity along an axis, and what may be concluded from them.

use std::fmt;

/// How much of the variance a line or a curve must explain to be taken for one.
const STRAIGHT: f64 = 0.97;
/// Growth over the measured range, as a part of the mean, below which a quantity is flat, and the most by which its values
/// may differ then.
const FLAT: (f64, f64) = (0.1, 0.3);
/// A curve is one if what it leaves of the squared relative errors is less than this part of what a line leaves: half of
/// the error. A square looks straight by r squared over many sizes, and is far off at the small ones.
const CURVED: f64 = 0.25;

/// What the points look like.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Shape {
    /// It does not grow along the axis.
    Flat,
    /// It grows in proportion.
    Line,
    /// It grows by this power of the axis.
    Curve(f64),
    /// Neither: between the points one may read off, beyond them nothing is said.
    Scattered,
}

impl fmt::Display for Shape {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Shape::Flat => f.write_str("flat"),
            Shape::Line => f.write_str("line"),
            Shape::Curve(power) => write!(f, "curve, power {power:.2}"),
            Shape::Scattered => f.write_str("neither line nor curve"),
        }
    }
}

/// Points, the line through them and how straight it is.
#[derive(Clone, Debug)]
pub struct Fit {
    /// By the axis; values at one place on it are averaged.
    pub points: Vec<(f64, f64)>,
    /// Value at 0 of the line.
    pub intercept: f64,
    /// Growth for each unit of the axis.
    pub slope: f64,
    /// The part of the variance that the line explains.
    pub r_squared: f64,
    /// What the points look like.
    pub shape: Shape,
    /// Power and factor of the curve, where there is one.
    power: Option<(f64, f64)>,
}

/// A reading of a fit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reading {
    /// Measured at this place.
    Measured(f64),
    /// Between the ends of what was measured.
    Between(f64),
    /// Beyond them, by the line or the curve.
    Beyond(f64),
    /// Nothing can be said.
    None,
}

/// Intercept, slope and r squared; r squared is 1 where there is nothing to explain.
fn least_squares(points: &[(f64, f64)]) -> (f64, f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let of_x: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let of_y: f64 = points.iter().map(|(_, y)| (y - mean_y).powi(2)).sum();
    let of_both: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    if of_x == 0.0 {
        return (mean_y, 0.0, 0.0);
    }
    let slope = of_both / of_x;
    let r_squared = if of_y == 0.0 { 1.0 } else { of_both.powi(2) / (of_x * of_y) };
    (mean_y - slope * mean_x, slope, r_squared)
}

/// One point for each place on the axis.
fn averaged(points: &[(f64, f64)]) -> Vec<(f64, f64)> {
    let mut sorted: Vec<(f64, f64)> = points.iter().copied().filter(|(x, y)| (x + y).is_finite()).collect();
    sorted.sort_by(|a, b| a.0.total_cmp(&b.0));
    let groups = sorted.chunk_by(|a, b| a.0 == b.0);
    groups.map(|group| (group[0].0, group.iter().map(|(_, y)| y).sum::<f64>() / group.len() as f64)).collect()
}

/// Squared relative errors of a fit.
fn errors(points: &[(f64, f64)], fit: impl Fn(f64) -> f64) -> f64 {
    points.iter().map(|(x, y)| (fit(*x) / y - 1.0).powi(2)).sum()
}

fn is_flat(points: &[(f64, f64)], slope: f64) -> bool {
    let range = |of: fn(&(f64, f64)) -> f64| {
        let (least, most) =
            points.iter().map(of).fold((f64::MAX, f64::MIN), |(a, b), v| (a.min(v), b.max(v)));
        most - least
    };
    let mean = points.iter().map(|(_, y)| y).sum::<f64>() / points.len() as f64;
    let growth = slope * range(|(x, _)| *x);
    growth.abs() <= FLAT.0 * mean.abs() && range(|(_, y)| *y) <= FLAT.1 * mean.abs()
}

impl Fit {
    /// Of at least one finite point.
    pub fn of(points: &[(f64, f64)]) -> Option<Fit> {
        let places = averaged(points);
        if places.is_empty() {
            return None;
        }
        // All points count, also several at one place: how far those lie apart is part of how straight it is.
        let all: Vec<(f64, f64)> = points.iter().copied().filter(|(x, y)| (x + y).is_finite()).collect();
        let (intercept, slope, r_squared) = least_squares(&all);
        let logs = all.iter().all(|(x, y)| *x > 0.0 && *y > 0.0);
        let logs = logs.then(|| all.iter().map(|(x, y)| (x.ln(), y.ln())).collect::<Vec<_>>());
        let curve = logs.map(|logs| least_squares(&logs)).filter(|(.., r)| *r >= STRAIGHT);
        let curve = curve.map(|(factor, power, _)| (power, factor.exp()));
        let by_line = errors(&all, |x| intercept + slope * x);
        let curved =
            curve.filter(|(power, factor)| errors(&all, |x| factor * x.powf(*power)) < CURVED * by_line);
        let shape = match curved.or(curve.filter(|_| r_squared < STRAIGHT)) {
            _ if places.len() < 3 => Shape::Scattered,
            _ if is_flat(&all, slope) => Shape::Flat,
            Some((power, _)) => Shape::Curve(power),
            None if r_squared >= STRAIGHT => Shape::Line,
            None => Shape::Scattered,
        };
        let power = curve.filter(|_| matches!(shape, Shape::Curve(_)));
        Some(Fit { points: places, intercept, slope, r_squared, shape, power })
    }

    /// The value at a place on the axis. A curve is never taken for a line.
    pub fn at(&self, x: f64) -> Reading {
        let (first, last) = (self.points[0].0, self.points[self.points.len() - 1].0);
        if let Some((_, y)) = self.points.iter().find(|(place, _)| *place == x) {
            return Reading::Measured(*y);
        }
        if (first..=last).contains(&x) {
            return Reading::Between(self.between(x));
        }
        match (self.shape, self.power) {
            (Shape::Flat, _) => Reading::Beyond(self.points.iter().map(|(_, y)| *y).fold(f64::MIN, f64::max)),
            (Shape::Line, _) => Reading::Beyond((self.intercept + self.slope * x).max(0.0)),
            (Shape::Curve(_), Some((power, factor))) => Reading::Beyond(factor * x.powf(power)),
            _ => Reading::None,
        }
    }

    /// By the straight piece between the two points beside it.
    fn between(&self, x: f64) -> f64 {
        let after = self.points.iter().position(|(place, _)| *place > x).unwrap_or(1).max(1);
        let (left, right) = (self.points[after - 1], self.points[after]);
        left.1 + (right.1 - left.1) * (x - left.0) / (right.0 - left.0)
    }
}
