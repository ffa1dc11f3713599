//! The text of a day's file, and errors at a place in it.

use std::fmt;
use std::ops::Range;

use toml::Spanned;

/// What is wrong with a file, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScenarioError {
    /// From 1.
    pub line: usize,
    pub why: String,
}

impl fmt::Display for ScenarioError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.why)
    }
}

/// A file's text.
#[derive(Clone, Copy, Debug)]
pub(super) struct Source<'a> {
    pub text: &'a str,
}

impl Source<'_> {
    /// An error at the place of a value.
    pub fn error<T>(&self, at: &Spanned<T>, why: impl Into<String>) -> ScenarioError {
        ScenarioError {
            line: self.line(at.span()),
            why: why.into(),
        }
    }

    /// A value from 0 to 1.
    pub fn share(&self, value: &Spanned<f64>, what: &str) -> Result<f64, ScenarioError> {
        let share = *value.get_ref();
        if (0.0..=1.0).contains(&share) {
            return Ok(share);
        }
        Err(self.error(value, format!("{what} is a share from 0 to 1, not {share}")))
    }

    /// The place of a zone among the day's zones.
    pub fn zone(&self, zones: &[String], name: &Spanned<String>) -> Result<usize, ScenarioError> {
        let found = zones.iter().position(|z| z == name.get_ref());
        found.ok_or_else(|| {
            self.error(
                name,
                format!("no partner has an endpoint in a zone '{}'", name.get_ref()),
            )
        })
    }

    /// The line, from 1, on which a span begins.
    pub fn line(&self, span: Range<usize>) -> usize {
        self.text
            .get(..span.start)
            .map_or(1, |t| t.matches('\n').count() + 1)
    }
}
