//! The sizes that sweeps play: the usual ones, or those of an operator's file.

use std::ops::Range;

use serde::Deserialize;
use toml::Spanned;

use crate::catalog::Sweep;
use crate::fit::STRAIGHT_LEAST;

/// Sizes of each sweep, ascending.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sizes {
    pub destinations: Vec<u64>,
    pub backlog: Vec<u64>,
    pub members: Vec<u64>,
    pub events: Vec<u64>,
    pub changes: Vec<u64>,
}

/// Why a file of sizes can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SizesError {
    #[error("{0}")]
    Syntax(String),
    #[error("line {line}: {sweep}: the size 0 measures nothing")]
    Zero { line: usize, sweep: &'static str },
    #[error("line {line}: {sweep}: the size {size} is absurd; at most {most}")]
    Absurd {
        line: usize,
        sweep: &'static str,
        size: u64,
        most: u64,
    },
    #[error("line {line}: {sweep}: {size} is not above the size before it")]
    NotAscending {
        line: usize,
        sweep: &'static str,
        size: u64,
    },
    #[error("line {line}: {sweep}: {given} sizes; a fit needs at least {STRAIGHT_LEAST}")]
    TooFew {
        line: usize,
        sweep: &'static str,
        given: usize,
    },
    #[error("{sweep}: no sizes")]
    Missing { sweep: &'static str },
}

/// A file of sizes, with the place of each value.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    destinations: Option<Spanned<Vec<Spanned<u64>>>>,
    backlog: Option<Spanned<Vec<Spanned<u64>>>>,
    members: Option<Spanned<Vec<Spanned<u64>>>>,
    events: Option<Spanned<Vec<Spanned<u64>>>>,
    changes: Option<Spanned<Vec<Spanned<u64>>>>,
}

impl Sizes {
    /// A decade apart, up to the planned size where the machine allows.
    pub fn full() -> Sizes {
        Sizes {
            destinations: vec![10, 100, 1_000, 10_000, 57_000],
            backlog: vec![1_000, 10_000, 100_000, 1_000_000, 3_100_000],
            members: vec![10, 50, 200, 490],
            events: vec![30, 120, 240, 480, 960],
            changes: vec![1, 4, 16, 64],
        }
    }

    /// Sizes whose counts and bytes are known within two minutes.
    pub fn quick() -> Sizes {
        Sizes {
            destinations: vec![10, 100, 1_000, 10_000],
            backlog: vec![1_000, 3_000, 10_000, 30_000],
            members: vec![10, 20, 30, 60],
            events: Vec::new(),
            changes: vec![1, 2, 4, 8],
        }
    }

    pub fn of(&self, sweep: Sweep) -> &[u64] {
        match sweep {
            Sweep::Destinations => &self.destinations,
            Sweep::Backlog => &self.backlog,
            Sweep::Members => &self.members,
            Sweep::Events => &self.events,
            Sweep::Changes => &self.changes,
        }
    }

    /// Reads a file that gives the sizes of each sweep in `played`; those that it does not name stay as they are here.
    pub fn read(self, text: &str, played: &[Sweep]) -> Result<Sizes, SizesError> {
        let syntax = |e: toml::de::Error| {
            let line = e.span().map_or(1, |span| line_of(text, span));
            SizesError::Syntax(format!("line {line}: {}", e.message()))
        };
        let file: File = toml::from_str(text).map_err(syntax)?;
        let sizes = Sizes {
            destinations: checked(
                text,
                Sweep::Destinations,
                file.destinations,
                self.destinations,
            )?,
            backlog: checked(text, Sweep::Backlog, file.backlog, self.backlog)?,
            members: checked(text, Sweep::Members, file.members, self.members)?,
            events: checked(text, Sweep::Events, file.events, self.events)?,
            changes: checked(text, Sweep::Changes, file.changes, self.changes)?,
        };
        match played.iter().find(|s| sizes.of(**s).is_empty()) {
            Some(sweep) => Err(SizesError::Missing {
                sweep: sweep.name(),
            }),
            None => Ok(sizes),
        }
    }
}

/// Sizes beyond these are not played on one machine.
fn most(sweep: Sweep) -> u64 {
    match sweep {
        Sweep::Destinations => 200_000,
        Sweep::Backlog => 10_000_000,
        Sweep::Members => 1_000,
        Sweep::Events => 20_000,
        Sweep::Changes => 100,
    }
}

fn checked(
    text: &str,
    sweep: Sweep,
    given: Option<Spanned<Vec<Spanned<u64>>>>,
    usual: Vec<u64>,
) -> Result<Vec<u64>, SizesError> {
    let Some(given) = given else { return Ok(usual) };
    let (all, most, sweep) = (line_of(text, given.span()), most(sweep), sweep.name());
    let mut sizes: Vec<u64> = Vec::new();
    for place in given.into_inner() {
        let line = line_of(text, place.span());
        let size = place.into_inner();
        if size == 0 {
            return Err(SizesError::Zero { line, sweep });
        }
        if size > most {
            return Err(SizesError::Absurd {
                line,
                sweep,
                size,
                most,
            });
        }
        if sizes.last().is_some_and(|before| *before >= size) {
            return Err(SizesError::NotAscending { line, sweep, size });
        }
        sizes.push(size);
    }
    match sizes.len() {
        0 => Err(SizesError::Missing { sweep }),
        given if given < STRAIGHT_LEAST => Err(SizesError::TooFew {
            line: all,
            sweep,
            given,
        }),
        _ => Ok(sizes),
    }
}

fn line_of(text: &str, span: Range<usize>) -> usize {
    text.get(..span.start)
        .map_or(1, |before| before.matches('\n').count() + 1)
}
