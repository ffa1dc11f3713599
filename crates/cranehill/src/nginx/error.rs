//! Errors on an nginx configuration.

use crate::configuration::DaemonError;

/// Why an nginx configuration can't be imported. Lines count from 1.
#[derive(Debug, thiserror::Error)]
pub enum NginxError {
    /// A quoted string has no closing quotation mark.
    #[error("line {line}: unterminated quoted string")]
    OpenQuote {
        /// Line on which the string begins.
        line: usize,
    },
    /// A closing brace outside of any block.
    #[error("line {line}: '}}' without an open block")]
    UnmatchedClose {
        /// Line of the brace.
        line: usize,
    },
    /// An opening brace without a directive before it.
    #[error("line {line}: '{{' without a directive before it")]
    BlockWithoutDirective {
        /// Line of the brace.
        line: usize,
    },
    /// A block has no closing brace.
    #[error("line {line}: the block has no closing '}}'")]
    OpenBlock {
        /// Line of the opening brace.
        line: usize,
    },
    /// Blocks are nested more deeply than the parser allows.
    #[error("line {line}: blocks are nested too deeply")]
    TooDeep {
        /// Line of the opening brace of the block that is too deep.
        line: usize,
    },
    /// A directive without its semicolon.
    #[error("line {line}: expected ';' after '{directive}'")]
    NoSemicolon {
        /// Line on which the directive begins.
        line: usize,
        /// Name and arguments of the directive.
        directive: String,
    },
    /// An upstream without a name or a block.
    #[error("line {line}: upstream: expected a name and a block")]
    IncompleteUpstream {
        /// Line of the directive.
        line: usize,
    },
    /// Two upstreams have the same name.
    #[error("line {line}: duplicate upstream '{name}'")]
    DuplicateUpstream {
        /// Line of the second one.
        line: usize,
        /// The name that both have.
        name: String,
    },
    /// A location without a block.
    #[error("line {line}: location: expected a block")]
    LocationWithoutBlock {
        /// Line of the directive.
        line: usize,
    },
    /// A location without a path.
    #[error("line {line}: location: expected a path")]
    LocationWithoutPath {
        /// Line of the directive.
        line: usize,
    },
    /// A `proxy_pass` without an address, or with several.
    #[error("line {line}: proxy_pass: expected one address")]
    ProxyPass {
        /// Line of the directive.
        line: usize,
    },
    /// The resulting Web Push file is invalid.
    #[error("{0}")]
    Unusable(#[source] DaemonError),
}
