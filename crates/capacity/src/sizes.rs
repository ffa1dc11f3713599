//! The sizes that sweeps measure: the default ones, or those of an operator's file.

use std::ops::Range;

use serde::Deserialize;
use toml::Spanned;

use crate::fit::MIN_SAMPLES;
use crate::quantity::Sweep;

/// Sizes of each sweep, ascending.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sizes {
    /// Numbers of destinations in the endpoint list.
    pub destinations: Vec<u64>,
    /// Numbers of pending messages of one sender.
    pub backlog: Vec<u64>,
    /// Numbers of members of the fleet.
    pub members: Vec<u64>,
    /// Messages per second of one sender.
    pub events: Vec<u64>,
    /// Numbers of senders that watch for changes.
    pub changes: Vec<u64>,
}

/// Why a file of sizes is not valid. Lines count from 1.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SizesError {
    /// The file is not TOML, or has an unknown key or a value of the wrong type. The text names the line.
    #[error("{0}")]
    Syntax(String),
    /// A size of 0.
    #[error("line {line}: {sweep}: the size is 0; expected at least 1")]
    Zero {
        /// Line of the size or list.
        line: usize,
        /// Name of the sweep.
        sweep: &'static str,
    },
    /// A size that is too large to measure on one machine.
    #[error("line {line}: {sweep}: the size {size} is too large; expected at most {max}")]
    TooLarge {
        /// Line of the size or list.
        line: usize,
        /// Name of the sweep.
        sweep: &'static str,
        /// The size in the file.
        size: u64,
        /// Largest valid size of the sweep.
        max: u64,
    },
    /// A size that is not larger than the previous one.
    #[error("line {line}: {sweep}: the size {size} is not larger than the previous size")]
    NotAscending {
        /// Line of the size or list.
        line: usize,
        /// Name of the sweep.
        sweep: &'static str,
        /// The size in the file.
        size: u64,
    },
    /// Too few sizes for a fit.
    #[error("line {line}: {sweep}: {given} sizes; a fit needs at least {MIN_SAMPLES}")]
    TooFew {
        /// Line of the size or list.
        line: usize,
        /// Name of the sweep.
        sweep: &'static str,
        /// Number of sizes given.
        given: usize,
    },
    /// A sweep that is to run has no sizes.
    #[error("{sweep}: no sizes")]
    Missing {
        /// Name of the sweep.
        sweep: &'static str,
    },
}

/// A file of sizes, with the position of each value in the text.
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
    /// Sizes about a factor of ten apart, up to the planned size where one machine can measure it.
    pub fn full() -> Sizes {
        Sizes {
            destinations: vec![10, 100, 1_000, 10_000, 57_000],
            backlog: vec![1_000, 10_000, 100_000, 1_000_000, 3_100_000],
            members: vec![10, 50, 200, 490],
            events: vec![30, 120, 240, 480, 960],
            changes: vec![1, 4, 16, 64],
        }
    }

    /// Small sizes, at which counts and bytes can be measured within two minutes.
    pub fn quick() -> Sizes {
        Sizes {
            destinations: vec![10, 100, 1_000, 10_000],
            backlog: vec![1_000, 3_000, 10_000, 30_000],
            members: vec![10, 20, 30, 60],
            events: Vec::new(),
            changes: vec![1, 2, 4, 8],
        }
    }

    /// The sizes of a sweep.
    pub fn of(&self, sweep: Sweep) -> &[u64] {
        match sweep {
            Sweep::Destinations => &self.destinations,
            Sweep::Backlog => &self.backlog,
            Sweep::Members => &self.members,
            Sweep::Events => &self.events,
            Sweep::Changes => &self.changes,
        }
    }

    /// Reads the text of a file of sizes. Sweeps that it does not name keep the sizes of `self`.
    ///
    /// # Errors
    /// The first fault in the file, or a sweep of `required` without sizes.
    pub fn read(self, text: &str, required: &[Sweep]) -> Result<Sizes, SizesError> {
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
        match required.iter().find(|sweep| sizes.of(**sweep).is_empty()) {
            Some(sweep) => Err(SizesError::Missing {
                sweep: sweep.name(),
            }),
            None => Ok(sizes),
        }
    }
}

/// The largest size that one machine can measure.
fn max_size(sweep: Sweep) -> u64 {
    match sweep {
        Sweep::Destinations => 200_000,
        Sweep::Backlog => 10_000_000,
        Sweep::Members => 1_000,
        Sweep::Events => 20_000,
        Sweep::Changes => 100,
    }
}

/// Checks the sizes that the file gives for a sweep; the default sizes if it gives none.
fn checked(
    text: &str,
    sweep: Sweep,
    given: Option<Spanned<Vec<Spanned<u64>>>>,
    default: Vec<u64>,
) -> Result<Vec<u64>, SizesError> {
    let Some(given) = given else {
        return Ok(default);
    };
    let first_line = line_of(text, given.span());
    let (max, sweep) = (max_size(sweep), sweep.name());
    let mut sizes: Vec<u64> = Vec::new();
    for size in given.into_inner() {
        let line = line_of(text, size.span());
        let size = size.into_inner();
        if size == 0 {
            return Err(SizesError::Zero { line, sweep });
        }
        if size > max {
            return Err(SizesError::TooLarge {
                line,
                sweep,
                size,
                max,
            });
        }
        if sizes.last().is_some_and(|before| *before >= size) {
            return Err(SizesError::NotAscending { line, sweep, size });
        }
        sizes.push(size);
    }
    match sizes.len() {
        0 => Err(SizesError::Missing { sweep }),
        given if given < MIN_SAMPLES => Err(SizesError::TooFew {
            line: first_line,
            sweep,
            given,
        }),
        _ => Ok(sizes),
    }
}

/// The line, from 1, on which a span begins.
fn line_of(text: &str, span: Range<usize>) -> usize {
    text.get(..span.start)
        .map_or(1, |before| before.matches('\n').count() + 1)
}
