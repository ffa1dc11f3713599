//! Errors of the parsers.

/// Why bytes from a sender are not a valid request.
#[derive(Debug, thiserror::Error)]
pub(crate) enum WireError {
    /// The head is not HTTP/1.1.
    #[error("not an HTTP request: {0}")]
    Http(#[from] httparse::Error),
    /// The head is longer than the limit.
    #[error("the head does not end within {limit} bytes")]
    HeadTooLong {
        /// Bytes that a head may have.
        limit: usize,
    },
    /// The value of `Content-Length` is not a number of bytes.
    #[error("Content-Length is not a number: {value}")]
    ContentLength {
        /// The header's value.
        value: String,
    },
    /// The body is longer than the limit.
    #[error("a body of {length} bytes is longer than {limit}")]
    BodyTooLong {
        /// Bytes by `Content-Length`.
        length: usize,
        /// Bytes that a body may have.
        limit: usize,
    },
    /// A body or a line of it is not JSON.
    #[error("not JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// A required header or field is missing, or has another type.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// The body of one message of a batch is not Base64.
    #[error("the body of {id} is not Base64: {source}")]
    Base64 {
        /// The message.
        id: String,
        /// Where the decoder stopped.
        source: base64::DecodeError,
    },
    /// A batch contains one message twice.
    #[error("{0} is in a batch twice")]
    RepeatedId(String),
    /// A batch contains no message.
    #[error("an empty batch")]
    EmptyBatch,
    /// No destination has this path.
    #[error("no such path: {0}")]
    UnknownPath(String),
    /// A final report has a state that the platform does not define.
    #[error("a final report with the state {0:?}")]
    ReportState(Option<String>),
}
