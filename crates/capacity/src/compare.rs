//! Comparison of a fresh run with the figures that the page states.

use std::fmt;

use crate::figure::Figure;
use crate::quantity::{Direction, Kind};
use crate::stated::{Run, Stated};
use crate::table::number;

/// A difference between a fresh figure and a stated one.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// Worse by more than the stated bound.
    Missed {
        /// The quantity.
        id: &'static str,
        /// The value on the page.
        stated: f64,
        /// The measured value.
        fresh: f64,
        /// By how much it may be worse, as a part of the stated value.
        bound: f64,
    },
    /// The page says that the budget holds, and it does not.
    BudgetLost {
        /// The quantity.
        id: &'static str,
        /// Its budget.
        budget: f64,
        /// The measured value.
        fresh: f64,
    },
    /// Better by more than the bound: the page should be brought up to date.
    Better {
        /// The quantity.
        id: &'static str,
        /// The value on the page.
        stated: f64,
        /// The measured value.
        fresh: f64,
    },
    /// Measured and not on the page.
    Unstated {
        /// The quantity.
        id: &'static str,
    },
}

impl Verdict {
    /// Whether the run fails by it.
    pub fn fails(&self) -> bool {
        matches!(self, Verdict::Missed { .. } | Verdict::BudgetLost { .. })
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Verdict::Missed {
                id,
                stated,
                fresh,
                bound,
            } => {
                let (stated, fresh, percent) =
                    (number(*stated), number(*fresh), number(bound * 100.0));
                write!(
                    f,
                    "MISSED: {id}: {fresh}, stated {stated}, which is worse by more than {percent}%"
                )
            }
            Verdict::BudgetLost { id, budget, fresh } => {
                write!(
                    f,
                    "BUDGET LOST: {id}: {} of a budget of {}",
                    number(*fresh),
                    number(*budget)
                )
            }
            Verdict::Better { id, stated, fresh } => {
                write!(
                    f,
                    "better than stated: {id}: {}, stated {}",
                    number(*fresh),
                    number(*stated)
                )
            }
            Verdict::Unstated { id } => write!(f, "not on the page: {id}"),
        }
    }
}

/// Compares fresh figures with the page. A quick run compares only counts and bytes.
pub fn compare(run: Run, figures: &[Figure], stated: &[Stated]) -> Vec<Verdict> {
    let judged = figures
        .iter()
        .filter(|f| run == Run::Full || f.quantity.kind == Kind::CountOrBytes);
    judged.flat_map(|figure| verdicts(figure, stated)).collect()
}

fn verdicts(figure: &Figure, stated: &[Stated]) -> Vec<Verdict> {
    let id = figure.quantity.id;
    let Some(stated) = stated.iter().find(|s| s.quantity.id == id) else {
        return vec![Verdict::Unstated { id }];
    };
    let fresh = figure.planned();
    let mut all = Vec::new();
    let margin = stated.planned.abs() * stated.bound;
    let excess = match figure.quantity.direction {
        Direction::Cost => fresh - stated.planned,
        Direction::Benefit => stated.planned - fresh,
    };
    if excess > margin {
        all.push(Verdict::Missed {
            id,
            stated: stated.planned,
            fresh,
            bound: stated.bound,
        });
    } else if excess < -margin {
        all.push(Verdict::Better {
            id,
            stated: stated.planned,
            fresh,
        });
    }
    if let (Some(true), Some(false), Some(budget)) = (stated.holds, figure.holds(), figure.budget())
    {
        all.push(Verdict::BudgetLost { id, budget, fresh });
    }
    all
}
