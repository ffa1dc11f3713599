//! Errors on an nginx configuration.

use crate::configuration::DaemonError;

/// A configuration can't be imported.
#[derive(Debug, thiserror::Error)]
pub enum NginxError {
    /// A quotation mark has no counterpart.
    #[error("line {line}: a quoted text does not end")]
    OpenQuote {
        /// Where the text begins.
        line: usize,
    },
    /// A closing brace without an open block.
    #[error("line {line}: '}}' closes nothing")]
    UnmatchedClose {
        /// Where it stands.
        line: usize,
    },
    /// An opening brace without a directive before it.
    #[error("line {line}: '{{' without a directive")]
    BlockWithoutDirective {
        /// Where it stands.
        line: usize,
    },
    /// A block has no closing brace.
    #[error("line {line}: the block does not end")]
    OpenBlock {
        /// Where the block begins.
        line: usize,
    },
    /// Too many blocks inside each other.
    #[error("line {line}: blocks stand too deep in one another")]
    TooDeep {
        /// Where the block begins.
        line: usize,
    },
    /// A directive without its semicolon.
    #[error("line {line}: '{directive}' has no ';'")]
    NoSemicolon {
        /// Where the directive begins.
        line: usize,
        /// Its name and arguments.
        directive: String,
    },
    /// An upstream without a name or a block.
    #[error("line {line}: upstream needs a name and a block")]
    IncompleteUpstream {
        /// Where it stands.
        line: usize,
    },
    /// A name that a previous upstream has.
    #[error("line {line}: upstream '{name}' is named twice")]
    DuplicateUpstream {
        /// Where the second one stands.
        line: usize,
        /// The name.
        name: String,
    },
    /// A location without a block.
    #[error("line {line}: location needs a block")]
    LocationWithoutBlock {
        /// Where it stands.
        line: usize,
    },
    /// A location without a path.
    #[error("line {line}: location needs a path")]
    LocationWithoutPath {
        /// Where it stands.
        line: usize,
    },
    /// A `proxy_pass` without an address, or with several.
    #[error("line {line}: proxy_pass needs one address")]
    ProxyPass {
        /// Where it stands.
        line: usize,
    },
    /// The imported file is not one that a sender can use.
    #[error("{0}")]
    Unusable(#[source] DaemonError),
}
