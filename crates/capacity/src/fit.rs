//! Least-squares fits of a value over a size: straight, quadratic, or straight with a step.
//!
//! Sizes lie decades apart, so squares are weighted by the value itself: the residual is relative, and small sizes count
//! as much as large ones.

use serde::Serialize;

use crate::sample::{Sample, SampleError, Samples};

/// Samples that a fit needs.
pub const MIN_SAMPLES: usize = 3;
/// Samples that a quadratic needs: one more than it has coefficients.
const MIN_QUADRATIC_SAMPLES: usize = 4;
/// Samples that a step needs: two more than a straight line with a step of known place has coefficients, the place being
/// a choice of its own.
const MIN_STEP_SAMPLES: usize = 5;
/// A value below this part of the largest one is weighted as if it were this large.
const WEIGHT_FLOOR: f64 = 0.01;
/// Up to this relative residual a straight line explains the samples.
const MAX_STRAIGHT_RESIDUAL: f64 = 0.05;
/// Beyond this relative residual a shape says little of other sizes.
const MAX_CLOSE_RESIDUAL: f64 = 0.15;
/// A bent shape is preferred if its residual is at most this part of the straight line's.
const MAX_BENT_RESIDUAL_SHARE: f64 = 0.5;
/// A bend or step that makes up less than this part of the largest value is taken for noise.
const MIN_BEND_SHARE: f64 = 0.1;

/// Why nothing was fitted.
pub type FitError = SampleError;

/// The shape that fits best.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(tag = "shape", rename_all = "kebab-case")]
pub enum Shape {
    /// `base + slope * size`
    Straight {
        /// Value at size 0.
        base: f64,
        /// Growth for each unit of the size.
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
    /// `base + slope * size`, and `step` more from `from` on.
    Step {
        /// Value at size 0.
        base: f64,
        /// Growth for each unit of the size.
        slope: f64,
        /// Height of the step.
        step: f64,
        /// Size of the step.
        from: f64,
    },
}

/// A shape and how far the samples lie from it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fit {
    /// The shape.
    #[serde(flatten)]
    pub shape: Shape,
    /// Root mean square of the relative distances of the samples.
    pub residual: f64,
}

impl Shape {
    /// The value at a size.
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

    /// Whether it is a straight line.
    pub fn is_straight(&self) -> bool {
        matches!(self, Shape::Straight { .. })
    }
}

impl Fit {
    /// Whether the samples lie so far off that the shape says little of other sizes.
    pub fn is_rough(&self) -> bool {
        self.residual > MAX_CLOSE_RESIDUAL
    }
}

/// Fits the simplest shape that explains the samples.
///
/// # Errors
/// There are too few samples.
pub fn fit(samples: &Samples) -> Result<Fit, FitError> {
    let given = samples.as_slice().len();
    if given < MIN_SAMPLES {
        return Err(SampleError::TooFew {
            given,
            least: MIN_SAMPLES,
        });
    }
    let weighted = Weighted::new(samples);
    let straight = weighted.straight();
    if straight.residual <= MAX_STRAIGHT_RESIDUAL {
        return Ok(straight);
    }
    let bent = [weighted.quadratic(), weighted.step()];
    let best = bent
        .into_iter()
        .flatten()
        .min_by(|a, b| a.residual.total_cmp(&b.residual));
    Ok(best
        .filter(|b| b.residual <= straight.residual * MAX_BENT_RESIDUAL_SHARE)
        .unwrap_or(straight))
}

/// Samples with the weight of each.
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
        self.judged(Shape::Straight {
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
        if square < self.largest_value * MIN_BEND_SHARE {
            return None;
        }
        let (slope, square) = (
            slope / self.largest_size,
            square / self.largest_size.powi(2),
        );
        Some(self.judged(Shape::Quadratic {
            base,
            slope,
            square,
        }))
    }

    fn step(&self) -> Option<Fit> {
        if self.samples.len() < MIN_STEP_SAMPLES {
            return None;
        }
        // A step at the first or the last sample can't be told from noise of that sample.
        let places = self.samples.get(2..self.samples.len() - 1)?;
        let fits = places.iter().filter_map(|place| self.step_from(place.size));
        fits.min_by(|a, b| a.residual.total_cmp(&b.residual))
    }

    fn step_from(&self, from: f64) -> Option<Fit> {
        let above = |s: &Sample| if s.size >= from { 1.0 } else { 0.0 };
        let [base, slope, step] = self.solve(|s| [1.0, s.size / self.largest_size, above(s)])?;
        if step.abs() < self.largest_value * MIN_BEND_SHARE {
            return None;
        }
        Some(self.judged(Shape::Step {
            base,
            slope: slope / self.largest_size,
            step,
            from,
        }))
    }

    fn mean(&self) -> f64 {
        self.samples.iter().map(|s| s.value).sum::<f64>() / self.samples.len() as f64
    }

    fn judged(&self, shape: Shape) -> Fit {
        let distance =
            |(s, weight): (&Sample, &f64)| ((shape.at(s.size) - s.value) * weight).powi(2);
        let squares: f64 = self.samples.iter().zip(&self.weights).map(distance).sum();
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

/// Gaussian elimination with partial pivoting.
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
