//! Least-squares lines through the figures of a series, and their classification as flat, straight or curved.

use super::Row;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;

/// Maximum spread of values that count as flat, as a fraction of the largest.
const MAX_FLAT_SPREAD: f64 = 0.15;
/// Minimum r squared of a straight line, and the maximum distance of any value from it, as a fraction of the largest
/// value.
const STRAIGHT_LIMITS: (f64, f64) = (0.98, 0.1);

/// A fitted line and its classification.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Fit {
    /// What was fitted: how it was measured, the set-up, the role and the quantity.
    pub of: String,
    /// The unit of the values.
    pub unit: String,
    /// The sizes along the axis.
    pub sizes: Vec<f64>,
    /// The values there.
    pub values: Vec<f64>,
    /// Increase of the value per unit along the axis.
    pub slope: f64,
    /// Value of the line at size 0.
    pub intercept: f64,
    /// Coefficient of determination: the fraction of the variance that the line explains.
    pub r_squared: f64,
    /// Exponent of the size with which the values grow, if all sizes and values are positive.
    pub power: Option<f64>,
    /// `flat`, `straight`, or `curve`.
    pub shape: &'static str,
}

/// Slope, intercept and r squared by least squares; `None` if the sizes do not differ.
fn line(points: &[(f64, f64)]) -> Option<(f64, f64, f64)> {
    let count = points.len() as f64;
    let mean = |value: fn(&(f64, f64)) -> f64| points.iter().map(value).sum::<f64>() / count;
    let (x, y) = (mean(|point| point.0), mean(|point| point.1));
    let sum = |value: &dyn Fn(&(f64, f64)) -> f64| points.iter().map(value).sum::<f64>();
    let (xx, yy) = (sum(&|p| (p.0 - x).powi(2)), sum(&|p| (p.1 - y).powi(2)));
    let xy = sum(&|p| (p.0 - x) * (p.1 - y));
    if count < 2.0 || xx <= 0.0 {
        return None;
    }
    let (slope, explained) = (xy / xx, if yy > 0.0 { xy * xy / (xx * yy) } else { 1.0 });
    Some((slope, y - slope * x, explained))
}

/// Fits values by sizes; `None` for fewer than three points.
pub fn fit(of: String, unit: String, points: &[(f64, f64)]) -> Option<Fit> {
    if points.len() < 3 {
        return None;
    }
    let (slope, intercept, r_squared) = line(points)?;
    let logs = points.iter().map(|(x, y)| (*x > 0.0 && *y > 0.0).then(|| (x.ln(), y.ln())));
    let power = logs.collect::<Option<Vec<_>>>().and_then(|logs| line(&logs)).map(|(power, ..)| power);
    let largest = points.iter().map(|point| point.1.abs()).fold(0.0, f64::max);
    let (low, high) = points
        .iter()
        .fold((f64::INFINITY, f64::NEG_INFINITY), |(low, high), point| (low.min(point.1), high.max(point.1)));
    let max_deviation = points.iter().map(|(x, y)| (slope * x + intercept - y).abs()).fold(0.0, f64::max);
    let shape = if high - low <= MAX_FLAT_SPREAD * largest {
        "flat"
    } else if r_squared >= STRAIGHT_LIMITS.0 && max_deviation <= STRAIGHT_LIMITS.1 * largest {
        "straight"
    } else {
        "curve"
    };
    let (sizes, values) = points.iter().copied().unzip();
    Some(Fit { of, unit, sizes, values, slope, intercept, r_squared, power, shape })
}

/// The fits of all quantities measured at three or more sizes along an axis.
pub fn fits(rows: &[(f64, Row)]) -> Vec<Fit> {
    let mut groups: BTreeMap<String, (String, Vec<(f64, f64)>)> = BTreeMap::new();
    for (axis_value, row) in rows {
        let mut of = format!("{} {} {} {}", row.measured, row.setup, row.role, row.quantity);
        for (with, name) in [(row.changes_per_second > 0.0, "changes"), (row.functions > 0, "functions")] {
            if with {
                of = format!("{of}, with {name}");
            }
        }
        let group = groups.entry(of).or_insert_with(|| (row.unit.clone(), vec![]));
        group.1.push((*axis_value, row.value));
    }
    groups.into_iter().filter_map(|(of, (unit, points))| fit(of, unit, &points)).collect()
}

impl fmt::Display for Fit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: ", self.of)?;
        match self.shape {
            "flat" => {
                let mean = self.values.iter().sum::<f64>() / self.values.len() as f64;
                write!(f, "flat, {mean:.4} {}", self.unit)?;
            }
            "straight" => {
                write!(
                    f,
                    "straight, {:.4e} {} each and {:.4} besides",
                    self.slope, self.unit, self.intercept
                )?;
            }
            _ => {
                write!(f, "a curve")?;
                if let Some(power) = self.power {
                    write!(f, ", about the power {power:.2} of the size")?;
                }
                let (size, value) = (self.sizes.last().unwrap_or(&0.0), self.values.last().unwrap_or(&0.0));
                write!(f, ", {value:.4} {} at {size}", self.unit)?;
            }
        }
        write!(f, " (r squared {:.4})", self.r_squared)
    }
}
