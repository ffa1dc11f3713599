//! A quantity with its samples, and the value that follows from them at the planned size.

use serde::Serialize;

use crate::fit::{Fit, FitError, fit};
use crate::quantity::{Direction, Quantity};
use crate::sample::{Sample, Samples};

/// Steps of a bisection, after which the interval is smaller than the precision of `f64`.
const BISECTION_STEPS: u32 = 64;

/// The result that a quantity's samples lead to.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(tag = "finding", rename_all = "kebab-case")]
pub enum Finding {
    /// A fitted function of the size.
    Fitted(Fit),
    /// The largest size up to which something works.
    Limit {
        /// Largest size that works.
        holds: f64,
        /// Smallest size that fails; `None` if none was found.
        fails: Option<f64>,
    },
}

/// A quantity's samples and their evaluation: one row of the page.
#[derive(Clone, Debug, PartialEq)]
pub struct Figure {
    /// The quantity that was measured.
    pub quantity: &'static Quantity,
    /// The measured values, in ascending order of size.
    pub samples: Samples,
    /// The fit to the samples, or the limit that they show.
    pub finding: Finding,
    /// Remark on the measurement, such as on sizes that were skipped.
    pub remark: Option<String>,
}

impl Figure {
    /// A figure whose samples are fitted as a function of the size.
    ///
    /// # Errors
    /// There are too few samples for a fit.
    pub fn fitted(quantity: &'static Quantity, samples: Samples) -> Result<Figure, FitError> {
        let finding = Finding::Fitted(fit(&samples)?);
        Ok(Figure {
            quantity,
            samples,
            finding,
            remark: None,
        })
    }

    /// A figure of the largest size up to which something works.
    pub fn limit(
        quantity: &'static Quantity,
        samples: Samples,
        holds: f64,
        fails: Option<f64>,
    ) -> Figure {
        Figure {
            quantity,
            samples,
            finding: Finding::Limit { holds, fails },
            remark: None,
        }
    }

    /// The value at the planned size. For a limit it is the largest size that works; otherwise it is the sample at the planned
    /// size or, without one, the value of the fit, capped at the quantity's largest possible value.
    pub fn planned(&self) -> f64 {
        let planned = self.quantity.axis.planned();
        match self.finding {
            Finding::Limit { holds, .. } => holds,
            Finding::Fitted(fit) => match self.planned_sample() {
                Some(sample) => sample.value,
                None => fit.shape.at(planned).min(self.quantity.max_value),
            },
        }
    }

    /// Whether a sample at the planned size exists.
    pub fn is_measured(&self) -> bool {
        self.planned_sample().is_some()
    }

    /// The sample at the planned size, rounded to a whole number.
    fn planned_sample(&self) -> Option<&Sample> {
        let planned = self.quantity.axis.planned();
        let mut samples = self.samples.as_slice().iter();
        samples.find(|s| (s.size - planned).abs() < 0.5)
    }

    /// The budget of the value; for a limit it is the planned size.
    pub fn budget(&self) -> Option<f64> {
        match self.finding {
            Finding::Limit { .. } => Some(self.quantity.axis.planned()),
            Finding::Fitted(_) => self.quantity.budget.map(|budget| budget.max),
        }
    }

    /// Whether the value at the planned size is within the budget; `None` without a budget.
    pub fn holds(&self) -> Option<bool> {
        Some(match self.quantity.direction {
            Direction::Cost => self.planned() <= self.budget()?,
            Direction::Benefit => self.planned() >= self.budget()?,
        })
    }

    /// The budget divided by the planned cost (for a benefit, the inverse); below 1 the budget is exceeded. `None` without a
    /// budget.
    pub fn factor_left(&self) -> Option<f64> {
        let (planned, budget) = (self.planned(), self.budget()?);
        Some(match self.quantity.direction {
            Direction::Cost if planned <= 0.0 => f64::INFINITY,
            Direction::Cost => budget / planned,
            Direction::Benefit => planned / budget,
        })
    }

    /// The smallest size at which the budget is exceeded, by measurement or fit, as a fraction of the planned size; `None` if it is
    /// not exceeded at the planned size, or there is no budget.
    pub fn fails_at(&self) -> Option<f64> {
        if self.holds()? {
            return None;
        }
        let planned = self.quantity.axis.planned();
        match self.finding {
            Finding::Limit { holds, .. } => Some(holds / planned),
            Finding::Fitted(fit) => Some(self.crossing(&fit)? / planned),
        }
    }

    /// The size at which the cost exceeds its budget. Between the two samples where it does, the size is found by the fit if the fit
    /// crosses the budget there, and by linear interpolation if not. Beyond the last sample it is found by the fit.
    fn crossing(&self, fit: &Fit) -> Option<f64> {
        let budget = self.budget()?;
        let samples = self.samples.as_slice();
        let over = samples.iter().position(|s| s.value > budget);
        let (below, above) = match over {
            Some(0) => return samples.first().map(|s| s.size),
            Some(index) => (samples[index - 1].size, samples[index].size),
            None => (self.samples.largest_size(), self.quantity.axis.planned()),
        };
        let fitted = fit.shape.at(below) <= budget && fit.shape.at(above) > budget;
        match over {
            Some(index) if !fitted => {
                let pair = &samples[index - 1..=index];
                let fraction = (budget - pair[0].value) / (pair[1].value - pair[0].value);
                Some(below + fraction * (above - below))
            }
            _ => Some(bisect(below, above, |size| fit.shape.at(size) > budget)),
        }
    }
}

/// The size between `below` and `above` from which on `over` is true, by bisection.
fn bisect(mut below: f64, mut above: f64, over: impl Fn(f64) -> bool) -> f64 {
    for _ in 0..BISECTION_STEPS {
        let middle = (below + above) / 2.0;
        if over(middle) {
            above = middle;
        } else {
            below = middle;
        }
    }
    above
}
