//! The text of a scenario file, for errors that name a line.

use std::ops::Range;

use toml::Spanned;

use super::error::{ScenarioError, ScenarioProblem};

/// The text of a scenario file.
#[derive(Clone, Copy, Debug)]
pub(super) struct Source<'a> {
    pub(super) text: &'a str,
}

impl Source<'_> {
    /// Creates an error at the line of a value.
    pub(super) fn error<T>(&self, value: &Spanned<T>, problem: ScenarioProblem) -> ScenarioError {
        ScenarioError {
            line: self.line(value.span()),
            problem,
        }
    }

    /// Checks that the value of `key` is a share from 0 to 1.
    pub(super) fn share(
        &self,
        value: &Spanned<f64>,
        key: &'static str,
    ) -> Result<f64, ScenarioError> {
        let share = *value.get_ref();
        if (0.0..=1.0).contains(&share) {
            return Ok(share);
        }
        Err(self.error(value, ScenarioProblem::Share { key, share }))
    }

    /// Finds the index of a zone by its name.
    pub(super) fn zone(
        &self,
        zones: &[String],
        name: &Spanned<String>,
    ) -> Result<usize, ScenarioError> {
        let index = zones.iter().position(|zone| zone == name.get_ref());
        index.ok_or_else(|| {
            let name_text = name.get_ref().clone();
            self.error(name, ScenarioProblem::UnknownZone { name: name_text })
        })
    }

    /// The line, from 1, on which a span begins.
    pub(super) fn line(&self, span: Range<usize>) -> usize {
        let before = self.text.get(..span.start);
        before.map_or(1, |before| before.matches('\n').count() + 1)
    }
}
