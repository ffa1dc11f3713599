//! The text of a scenario file, for errors at a place in it.

use std::ops::Range;

use toml::Spanned;

use super::error::{ScenarioError, ScenarioProblem};

/// A file's text.
#[derive(Clone, Copy, Debug)]
pub(super) struct Source<'a> {
    pub(super) text: &'a str,
}

impl Source<'_> {
    /// An error at the place of a value.
    pub(super) fn error<T>(&self, at: &Spanned<T>, problem: ScenarioProblem) -> ScenarioError {
        ScenarioError {
            line: self.line(at.span()),
            problem,
        }
    }

    /// A share from 0 to 1.
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

    /// The index of a zone.
    pub(super) fn zone(
        &self,
        zones: &[String],
        name: &Spanned<String>,
    ) -> Result<usize, ScenarioError> {
        let index = zones.iter().position(|z| z == name.get_ref());
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
