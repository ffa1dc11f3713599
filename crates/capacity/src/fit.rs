//! Least-squares fits of a value as a function of a size: a straight line, a quadratic, or a straight line with a step.
//!
//! Sizes differ by orders of magnitude, so each residual is divided by the value: residuals are relative, and small sizes count as
//! much as large ones.

use serde::Serialize;

use crate::sample::{Sample, SampleError, Samples};

/// Smallest number of samples for a fit.
pub const MIN_SAMPLES: usize = 3;
/// Smallest number of samples for a quadratic: one more than its coefficients.
const MIN_QUADRATIC_SAMPLES: usize = 4;
/// Smallest number of samples for a step: two more than the coefficients of a straight line with a step at a known size, since
/// that size is chosen as well.
const MIN_STEP_SAMPLES: usize = 5;
/// Values below this fraction of the largest one are weighted as if they were this large.
const WEIGHT_FLOOR: f64 = 0.01;
/// A straight line is accepted up to this relative residual.
const MAX_STRAIGHT_RESIDUAL: f64 = 0.05;
/// Above this relative residual a fit does not predict values at other sizes well.
const MAX_GOOD_RESIDUAL: f64 = 0.15;
/// A quadratic or step is preferred if its residual is at most this fraction of the straight line's.
const MAX_ALTERNATIVE_RESIDUAL_SHARE: f64 = 0.5;
/// A quadratic term or step below this fraction of the largest value is treated as noise.
const MIN_ALTERNATIVE_SHARE: f64 = 0.1;

/// Why samples could not be fitted.
pub type FitError = SampleError;

/// The shape of a fitted function of the size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(tag = "shape", rename_all = "kebab-case")]
pub enum Shape {
    /// `base + slope * size`
    Straight {
        /// Value at size 0.
        base: f64,
        /// Increase for each unit of the size.
        slope: f64,
    },
    /// `base + slope * size + square * size^2`
    Quadratic {
        /// Value at size 0.
        base: f64,
        /// Coefficient of the size.
        slope: f64,
        /// Coefficient of the size's square.
        square: f64,
    },
    /// `base + slope * size`, plus `step` for sizes of at least `from`.
    Step {
        /// Value at size 0.
        base: f64,
        /// Increase for each unit of the size.
        slope: f64,
        /// Height of the step.
        step: f64,
        /// Size at which the step begins.
        from: f64,
    },
}

/// A fitted shape and its residual.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fit {
    /// The fitted shape.
    #[serde(flatten)]
    pub shape: Shape,
    /// Root mean square of the samples' relative deviations from the shape.
    pub residual: f64,
}

impl Shape {
    /// The value of the shape at a size.
    pub fn at(&self, size: f64) -> f64 {
        match *self {
            Shape::Straight { base, slope } => base + slope * size,
            Shape::Quadratic {
                base,
                slope,
                square,
            } => base + slope * size + square * size * size,
            Shape::Step {
                base,
                slope,
                step,
                from,
            } => base + slope * size + if size >= from { step } else { 0.0 },
        }
    }

    /// Whether the shape is a straight line.
    pub fn is_straight(&self) -> bool {
        matches!(self, Shape::Straight { .. })
    }
}

impl Fit {
    /// Whether the residual is so large that the fit does not predict values at other sizes well.
    pub fn is_rough(&self) -> bool {
        self.residual > MAX_GOOD_RESIDUAL
    }
}

/// Fits a straight line or, if its residual is large, a quadratic or step that fits clearly better.
///
/// # Errors
/// There are fewer than [`MIN_SAMPLES`] samples.
pub fn fit(samples: &Samples) -> Result<Fit, FitError> {
    let given = samples.as_slice().len();
    if given < MIN_SAMPLES {
        return Err(SampleError::TooFew {
            given,
            required: MIN_SAMPLES,
        });
    }
    let weighted = Weighted::new(samples);
    let straight = weighted.straight();
    if straight.residual <= MAX_STRAIGHT_RESIDUAL {
        return Ok(straight);
    }
    let alternatives = [weighted.quadratic(), weighted.step()];
    let best = alternatives
        .into_iter()
        .flatten()
        .min_by(|a, b| a.residual.total_cmp(&b.residual));
    Ok(best
        .filter(|alternative| {
            alternative.residual <= straight.residual * MAX_ALTERNATIVE_RESIDUAL_SHARE
        })
        .unwrap_or(straight))
}

/// Samples with their weights.
struct Weighted<'a> {
    samples: &'a [Sample],
    weights: Vec<f64>,
    largest_value: f64,
    largest_size: f64,
}

impl<'a> Weighted<'a> {
    fn new(samples: &'a Samples) -> Weighted<'a> {
        let (largest_value, largest_size) = (samples.largest_value(), samples.largest_size());
        let floor = largest_value * WEIGHT_FLOOR;
        let weight = |s: &Sample| {
            if floor > 0.0 {
                1.0 / s.value.abs().max(floor)
            } else {
                1.0
            }
        };
        let samples = samples.as_slice();
        Weighted {
            samples,
            weights: samples.iter().map(weight).collect(),
            largest_value,
            largest_size,
        }
    }

    fn straight(&self) -> Fit {
        let solved = self.solve(|s| [1.0, s.size / self.largest_size]);
        let [base, slope] = solved.unwrap_or([self.mean(), 0.0]);
        self.with_residual(Shape::Straight {
            base,
            slope: slope / self.largest_size,
        })
    }

    fn quadratic(&self) -> Option<Fit> {
        if self.samples.len() < MIN_QUADRATIC_SAMPLES {
            return None;
        }
        let scaled = |s: &Sample| s.size / self.largest_size;
        let [base, slope, square] = self.solve(|s| [1.0, scaled(s), scaled(s) * scaled(s)])?;
        if square < self.largest_value * MIN_ALTERNATIVE_SHARE {
            return None;
        }
        let (slope, square) = (
            slope / self.largest_size,
            square / self.largest_size.powi(2),
        );
        Some(self.with_residual(Shape::Quadratic {
            base,
            slope,
            square,
        }))
    }

    /// The best fit of a straight line with a step; `None` with too few samples or only small steps.
    fn step(&self) -> Option<Fit> {
        if self.samples.len() < MIN_STEP_SAMPLES {
            return None;
        }
        // A step that separates only one sample can't be distinguished from noise of that sample.
        let candidates = self.samples.get(2..self.samples.len() - 1)?;
        let fits = candidates
            .iter()
            .filter_map(|sample| self.step_from(sample.size));
        fits.min_by(|a, b| a.residual.total_cmp(&b.residual))
    }

    fn step_from(&self, from: f64) -> Option<Fit> {
        let above = |s: &Sample| if s.size >= from { 1.0 } else { 0.0 };
        let [base, slope, step] = self.solve(|s| [1.0, s.size / self.largest_size, above(s)])?;
        if step.abs() < self.largest_value * MIN_ALTERNATIVE_SHARE {
            return None;
        }
        Some(self.with_residual(Shape::Step {
            base,
            slope: slope / self.largest_size,
            step,
            from,
        }))
    }

    fn mean(&self) -> f64 {
        self.samples.iter().map(|s| s.value).sum::<f64>() / self.samples.len() as f64
    }

    /// Adds the residual of the samples to a shape.
    fn with_residual(&self, shape: Shape) -> Fit {
        let weighted_square =
            |(s, weight): (&Sample, &f64)| ((shape.at(s.size) - s.value) * weight).powi(2);
        let squares: f64 = self
            .samples
            .iter()
            .zip(&self.weights)
            .map(weighted_square)
            .sum();
        Fit {
            shape,
            residual: (squares / self.samples.len() as f64).sqrt(),
        }
    }

    /// The weighted least-squares coefficients of these terms; `None` where the samples do not determine them.
    fn solve<const N: usize>(&self, terms: impl Fn(&Sample) -> [f64; N]) -> Option<[f64; N]> {
        let (mut matrix, mut right) = ([[0.0; N]; N], [0.0; N]);
        for (sample, weight) in self.samples.iter().zip(&self.weights) {
            let row = terms(sample);
            for i in 0..N {
                right[i] += row[i] * sample.value * weight * weight;
                for j in 0..N {
                    matrix[i][j] += row[i] * row[j] * weight * weight;
                }
            }
        }
        eliminate(matrix, right)
    }
}

/// Solves `matrix * x = right` by Gaussian elimination with partial pivoting; `None` if the matrix is singular.
fn eliminate<const N: usize>(mut matrix: [[f64; N]; N], mut right: [f64; N]) -> Option<[f64; N]> {
    for column in 0..N {
        let pivot = (column..N)
            .max_by(|&a, &b| matrix[a][column].abs().total_cmp(&matrix[b][column].abs()))?;
        if matrix[pivot][column] == 0.0 {
            return None;
        }
        matrix.swap(column, pivot);
        right.swap(column, pivot);
        for row in column + 1..N {
            let factor = matrix[row][column] / matrix[column][column];
            let pivot_row = matrix[column];
            matrix[row]
                .iter_mut()
                .zip(pivot_row)
                .for_each(|(cell, above)| *cell -= factor * above);
            right[row] -= factor * right[column];
        }
    }
    let mut solution = [0.0; N];
    for row in (0..N).rev() {
        let known: f64 = (row + 1..N).map(|k| matrix[row][k] * solution[k]).sum();
        solution[row] = (right[row] - known) / matrix[row][row];
    }
    solution
        .iter()
        .all(|v: &f64| v.is_finite())
        .then_some(solution)
}
