//! Parsing of operators' TOML files, with errors that name the line.

use serde::de::DeserializeOwned;

/// Why a text is not valid TOML, or does not have the expected keys and values.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: {message}")]
pub struct TomlError {
    /// Line number, counted from 1.
    pub line: usize,
    /// The parser's message, on one line.
    pub message: String,
}

/// Parses a file's text. An error without a position is reported for line 1.
pub(crate) fn parse<T: DeserializeOwned>(text: &str) -> Result<T, TomlError> {
    toml::from_str(text).map_err(|e| TomlError {
        line: e.span().map_or(1, |span| line_at(text, span.start)),
        message: e.message().replace('\n', " "),
    })
}

fn line_at(text: &str, offset: usize) -> usize {
    text[..offset.min(text.len())].matches('\n').count() + 1
}
