//! A quantity with its samples, and what follows from them at the planned size.

use serde::Serialize;

use crate::fit::{Fit, FitError, fit};
use crate::quantity::{Direction, Quantity};
use crate::sample::{Sample, Samples};

/// Halvings after which an interval of sizes is below the precision of its ends.
const BISECTION_STEPS: u32 = 64;

/// What follows from the samples of a quantity.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(tag = "finding", rename_all = "kebab-case")]
pub enum Finding {
    /// A cost that grows with the size.
    Fitted(Fit),
    /// It works up to this size, and fails at `fails` where that was reached.
    Limit {
        /// The largest size that works.
        holds: f64,
        /// The smallest size that fails.
        fails: Option<f64>,
    },
}

/// One row of the page.
#[derive(Clone, Debug, PartialEq)]
pub struct Figure {
    /// What it is a figure of.
    pub quantity: &'static Quantity,
    /// What was measured.
    pub samples: Samples,
    /// What follows from that.
    pub finding: Finding,
    /// What a reader must know of the measurement: sizes that were not played, or not as they should have been.
    pub remark: Option<String>,
}

impl Figure {
    /// A figure whose value at the planned size is read off a fit.
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

    /// A figure of the size up to which something works.
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

    /// The value at the planned size: of a limit, the largest size that works; otherwise the sample at that size, or
    /// else the fit.
    pub fn planned(&self) -> f64 {
        let planned = self.quantity.axis.planned();
        match self.finding {
            Finding::Limit { holds, .. } => holds,
            Finding::Fitted(fit) => match self.planned_sample() {
                Some(sample) => sample.value,
                None => fit.shape.at(planned).min(self.quantity.ceiling),
            },
        }
    }

    /// Whether the value at the planned size was measured there.
    pub fn is_measured(&self) -> bool {
        self.planned_sample().is_some()
    }

    /// The sample at the planned size, to the nearest whole number.
    fn planned_sample(&self) -> Option<&Sample> {
        let planned = self.quantity.axis.planned();
        let mut samples = self.samples.as_slice().iter();
        samples.find(|s| (s.size - planned).abs() < 0.5)
    }

    /// The budget; for a limit, the planned size.
    pub fn budget(&self) -> Option<f64> {
        match self.finding {
            Finding::Limit { .. } => Some(self.quantity.axis.planned()),
            Finding::Fitted(_) => self.quantity.budget.map(|b| b.max),
        }
    }

    /// Whether the budget holds at the planned size; `None` without a budget.
    pub fn holds(&self) -> Option<bool> {
        Some(match self.quantity.direction {
            Direction::Cost => self.planned() <= self.budget()?,
            Direction::Benefit => self.planned() >= self.budget()?,
        })
    }

    /// How many times the planned cost fits into the budget; below 1 it does not.
    pub fn factor_left(&self) -> Option<f64> {
        let (planned, budget) = (self.planned(), self.budget()?);
        Some(match self.quantity.direction {
            Direction::Cost if planned <= 0.0 => f64::INFINITY,
            Direction::Cost => budget / planned,
            Direction::Benefit => planned / budget,
        })
    }

    /// The smallest measured or fitted part of the planned size at which the budget no longer holds; `None` if it holds
    /// at the planned size.
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

    /// Where the cost passes its budget: between the two samples where it does, by the fit if that agrees and else by a
    /// line; or beyond the last one, by the fit.
    fn crossing(&self, fit: &Fit) -> Option<f64> {
        let budget = self.budget()?;
        let samples = self.samples.as_slice();
        let over = samples.iter().position(|s| s.value > budget);
        let (below, above) = match over {
            Some(0) => return samples.first().map(|s| s.size),
            Some(place) => (samples[place - 1].size, samples[place].size),
            None => (self.samples.largest_size(), self.quantity.axis.planned()),
        };
        let fitted = fit.shape.at(below) <= budget && fit.shape.at(above) > budget;
        match over {
            Some(place) if !fitted => {
                let pair = &samples[place - 1..=place];
                let part = (budget - pair[0].value) / (pair[1].value - pair[0].value);
                Some(below + part * (above - below))
            }
            _ => Some(bisect(below, above, |size| fit.shape.at(size) > budget)),
        }
    }
}

/// The size between these two from which on `over` holds, by bisection.
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
