//! Compares the figures of a new run with those that the page states.

use std::fmt;

use crate::figure::Figure;
use crate::quantity::{Direction, Kind};
use crate::stated::{Run, Stated};
use crate::table::number;

/// A difference between a new figure and the stated one.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The value is worse than the stated one by more than the stated bound.
    Missed {
        /// Id of the quantity.
        id: &'static str,
        /// Value on the page.
        stated: f64,
        /// Value of the new run at the planned size.
        fresh: f64,
        /// How much worse the value may be, as a fraction of the stated value.
        bound: f64,
    },
    /// The stated value is within the budget, and the new one exceeds it.
    BudgetExceeded {
        /// Id of the quantity.
        id: &'static str,
        /// Budget of the quantity.
        budget: f64,
        /// Value of the new run at the planned size.
        fresh: f64,
    },
    /// The value is better than the stated one by more than the bound, so the page should be updated.
    Better {
        /// Id of the quantity.
        id: &'static str,
        /// Value on the page.
        stated: f64,
        /// Value of the new run at the planned size.
        fresh: f64,
    },
    /// The new run has a figure for a quantity that the page does not state.
    NotOnPage {
        /// Id of the quantity.
        id: &'static str,
    },
}

impl Verdict {
    /// Whether this difference makes the run fail.
    pub fn fails(&self) -> bool {
        matches!(
            self,
            Verdict::Missed { .. } | Verdict::BudgetExceeded { .. }
        )
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
                    "MISSED: {id}: {fresh}, stated {stated}; worse by more than {percent}%"
                )
            }
            Verdict::BudgetExceeded { id, budget, fresh } => {
                write!(
                    f,
                    "BUDGET LOST: {id}: {}, budget {}",
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
            Verdict::NotOnPage { id } => write!(f, "not on the page: {id}"),
        }
    }
}

/// Compares new figures with those of the page. In a quick run, only counts and bytes are compared.
pub fn compare(run: Run, figures: &[Figure], stated: &[Stated]) -> Vec<Verdict> {
    let compared = figures
        .iter()
        .filter(|figure| run == Run::Full || figure.quantity.kind == Kind::CountOrBytes);
    compared
        .flat_map(|figure| verdicts(figure, stated))
        .collect()
}

fn verdicts(figure: &Figure, stated: &[Stated]) -> Vec<Verdict> {
    let id = figure.quantity.id;
    let Some(stated) = stated.iter().find(|stated| stated.quantity.id == id) else {
        return vec![Verdict::NotOnPage { id }];
    };
    let fresh = figure.planned();
    let mut verdicts = Vec::new();
    let margin = stated.planned.abs() * stated.bound;
    let excess = match figure.quantity.direction {
        Direction::Cost => fresh - stated.planned,
        Direction::Benefit => stated.planned - fresh,
    };
    if excess > margin {
        verdicts.push(Verdict::Missed {
            id,
            stated: stated.planned,
            fresh,
            bound: stated.bound,
        });
    } else if excess < -margin {
        verdicts.push(Verdict::Better {
            id,
            stated: stated.planned,
            fresh,
        });
    }
    if let (Some(true), Some(false), Some(budget)) = (stated.holds, figure.holds(), figure.budget())
    {
        verdicts.push(Verdict::BudgetExceeded { id, budget, fresh });
    }
    verdicts
}
