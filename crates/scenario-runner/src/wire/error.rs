//! Errors of the request parsers.

/// Why bytes from a sender are not a valid request.
#[derive(Debug, thiserror::Error)]
pub(crate) enum WireError {
    /// The request line or a header is not valid HTTP/1.1.
    #[error("not an HTTP/1.1 request: {0}")]
    Http(#[from] httparse::Error),
    /// The request line and headers are longer than the limit.
    #[error("request line and headers: expected at most {limit} bytes")]
    HeadTooLong {
        /// Bytes that the request line and headers may have together.
        limit: usize,
    },
    /// The value of `Content-Length` is not a number.
    #[error("Content-Length: expected a number of bytes, got '{value}'")]
    ContentLength {
        /// The value of the header.
        value: String,
    },
    /// The body is longer than the limit.
    #[error("request body: expected at most {limit} bytes, got {length}")]
    BodyTooLong {
        /// Value of `Content-Length`, in bytes.
        length: usize,
        /// Bytes that a body may have.
        limit: usize,
    },
    /// A request body, or a line of it, is not JSON.
    #[error("request body: not valid JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// A required header or field is missing, or has another type.
    #[error("{0} is missing or has the wrong type")]
    Missing(&'static str),
    /// The body of one message of a batch is not Base64.
    #[error("message {id}: its body in the batch is not valid Base64: {source}")]
    Base64 {
        /// Id of the message.
        id: String,
        /// The decoder's error, with the position in the body.
        source: base64::DecodeError,
    },
    /// A batch contains the message with this id twice.
    #[error("message {0} occurs twice in one batch")]
    RepeatedId(String),
    /// A batch contains no message.
    #[error("batch without messages")]
    EmptyBatch,
    /// The request is neither a call nor a Web Push post that a destination accepts.
    #[error("{0}: expected /hook, /hook/batch, or /p/DESTINATION/ID with a TTL header")]
    UnknownPath(String),
    /// A final report has no state, or one that the platform does not define.
    #[error("state of a final report: expected 'returned' or 'failed', got {0:?}")]
    ReportState(Option<String>),
}
