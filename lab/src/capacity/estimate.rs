//! Figures with their provenance, and their formatting.

use super::fit::Reading;
use std::ops::{Add, Div, Mul, Sub};

/// Provenance of a figure, in order of decreasing confidence: a figure computed from several has the weakest of theirs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Basis {
    /// Computed from targets, assumptions and the codec that the daemon uses.
    Computed,
    /// Measured at exactly this size.
    Measured,
    /// Interpolated between measured sizes.
    Interpolated,
    /// Extrapolated past the measured sizes, by a line or a power law.
    Extrapolated,
    /// The maximum over all sizes that were run, or the average of a measure without an axis, regardless of the target
    /// size.
    AllSizes,
    /// No run measures it.
    Missing,
}

impl Basis {
    /// The name used in tables.
    pub fn name(self) -> &'static str {
        match self {
            Basis::Computed => "worked out",
            Basis::Measured => "measured",
            Basis::Interpolated => "between sizes",
            Basis::Extrapolated => "beyond sizes",
            Basis::AllSizes => "most of the runs",
            Basis::Missing => "not measured",
        }
    }
}

/// A figure and its provenance. A missing figure is NaN, and so is every figure computed from it.
#[derive(Clone, Copy, Debug)]
pub struct Estimate {
    /// The figure.
    pub value: f64,
    /// Its provenance.
    pub basis: Basis,
}

impl Estimate {
    /// A figure that no run has measured.
    pub const MISSING: Estimate = Estimate { value: f64::NAN, basis: Basis::Missing };

    /// The figure of a reading of a fit.
    pub fn from_reading(reading: Reading) -> Estimate {
        let (value, basis) = match reading {
            Reading::Measured(value) => (value, Basis::Measured),
            Reading::Interpolated(value) => (value, Basis::Interpolated),
            Reading::Extrapolated(value) => (value, Basis::Extrapolated),
            Reading::None => return Estimate::MISSING,
        };
        Estimate { value, basis }
    }

    /// Whether there is a figure.
    pub fn is_known(self) -> bool {
        self.value.is_finite()
    }

    /// The figure with its unit, or `not measured`.
    pub fn show(self, unit: &str) -> String {
        if self.is_known() { format_with_unit(self.value, unit) } else { "not measured".to_owned() }
    }

    /// Compares with a budget: whether the figure is within it, and by which factor it exceeds it otherwise.
    pub fn against_budget(self, budget: f64) -> String {
        match self.value / budget {
            ratio if !ratio.is_finite() => "not measured".to_owned(),
            ratio if ratio <= 1.0 => format!("holds ({} of it)", format_percent(ratio)),
            // With three significant digits a small excess would be shown as 1.
            ratio if ratio < 1.01 => format!("**over {ratio:.4} times**"),
            ratio => format!("**over {} times**", format_figure(ratio)),
        }
    }

    fn combine(self, other: Estimate, value: f64) -> Estimate {
        Estimate { value, basis: self.basis.max(other.basis) }
    }
}

impl From<f64> for Estimate {
    fn from(value: f64) -> Estimate {
        Estimate { value, basis: Basis::Computed }
    }
}

macro_rules! arithmetic {
    ($($operation:ident, $method:ident;)*) => {$(
        impl<T: Into<Estimate>> $operation<T> for Estimate {
            type Output = Estimate;
            fn $method(self, other: T) -> Estimate {
                let other = other.into();
                self.combine(other, self.value.$method(other.value))
            }
        }
    )*};
}

arithmetic! {
    Add, add;
    Sub, sub;
    Mul, mul;
    Div, div;
}

/// Formats a figure with three significant digits and thousands separators.
pub fn format_figure(value: f64) -> String {
    if !value.is_finite() {
        return "none".to_owned();
    }
    if value == 0.0 {
        return "0".to_owned();
    }
    let digits = 2 - value.abs().log10().floor() as i32;
    if digits <= 0 {
        let step = 10_f64.powi(-digits);
        return with_separators(((value / step).round() * step) as i64);
    }
    if value.abs() < 1e-4 {
        return format!("{value:.2e}");
    }
    let text = format!("{value:.*}", digits as usize);
    if text.contains('.') { text.trim_end_matches('0').trim_end_matches('.').to_owned() } else { text }
}

/// Formats a count as an integer with thousands separators.
pub fn format_count(value: f64) -> String {
    with_separators(value.round() as i64)
}

fn with_separators(value: i64) -> String {
    let digits = value.unsigned_abs().to_string();
    let mut out = String::new();
    for (place, digit) in digits.chars().enumerate() {
        if place > 0 && (digits.len() - place).is_multiple_of(3) {
            out.push(',');
        }
        out.push(digit);
    }
    if value < 0 { format!("-{out}") } else { out }
}

fn format_percent(ratio: f64) -> String {
    format!("{}%", format_figure(ratio * 100.0))
}

/// Formats a figure with its unit; bytes and seconds are scaled to a readable unit.
fn format_with_unit(value: f64, unit: &str) -> String {
    let scaled = |steps: &[(f64, &str)], base_unit: &str| {
        let step = steps.iter().find(|(threshold, _)| value.abs() >= *threshold);
        match step {
            Some((size, name)) => format!("{} {name}", format_figure(value / size)),
            None => format!("{} {base_unit}", format_figure(value)),
        }
    };
    match unit {
        "B" => scaled(&[(1e9, "GB"), (1e6, "MB"), (1e3, "KB")], "B"),
        "B/s" => scaled(&[(1e9, "GB/s"), (1e6, "MB/s"), (1e3, "KB/s")], "B/s"),
        "s" if value != 0.0 && value.abs() < 0.1 => format!("{} ms", format_figure(value * 1e3)),
        "s" if value >= 172_800.0 => format!("{} days", format_figure(value / 86_400.0)),
        "s" if value >= 7_200.0 => format!("{} h", format_figure(value / 3_600.0)),
        "s" if value >= 600.0 => format!("{} min", format_figure(value / 60.0)),
        "s" => format!("{} s", format_figure(value)),
        "%" => format!("{}%", format_figure(value)),
        "" => format_figure(value),
        _ => format!("{} {unit}", format_figure(value)),
    }
}
