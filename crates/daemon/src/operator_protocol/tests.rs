//! Parsing of operators' commands, and the status codes for invalid ones.

use super::{OperatorCommand, parse};
use crate::http;

fn parsed(method: &str, path: &str) -> Result<OperatorCommand, u16> {
    let text = format!("{method} {path} HTTP/1.1\r\nHost: o\r\n\r\n");
    let (request, _) = http::request(text.as_bytes())
        .expect("a valid request")
        .expect("a complete request");
    parse(&request).map_err(|response| http::early_status(&response).expect("a status"))
}

#[test]
fn commands_are_parsed_and_invalid_requests_get_an_error_status() {
    for (method, path, expected) in [
        ("GET", "/_ready", Ok(OperatorCommand::Ready)),
        ("PUT", "/_lameduck/on", Ok(OperatorCommand::Drain(true))),
        ("PUT", "/_lameduck/off", Ok(OperatorCommand::Drain(false))),
        (
            "PUT",
            "/_endpoints/detach/s-5be2",
            Ok(OperatorCommand::Detach("s-5be2".into())),
        ),
        // The id is percent-decoded and not normalized as a path.
        (
            "PUT",
            "/_endpoints/attach/a%2Fb%20%25",
            Ok(OperatorCommand::Attach("a/b %".into())),
        ),
        (
            "PUT",
            "/_endpoints/attach/../x",
            Ok(OperatorCommand::Attach("../x".into())),
        ),
        ("PUT", "/_endpoints/detach/", Err(400)),
        ("PUT", "/_endpoints/detach/%ff", Err(400)),
        ("PUT", "/_ready", Err(405)),
        ("GET", "/_lameduck/on", Err(405)),
        ("DELETE", "/_endpoints/detach/a", Err(405)),
        ("GET", "/", Err(404)),
        ("PUT", "/_endpoints/retach/a", Err(404)),
    ] {
        assert_eq!(parsed(method, path), expected, "{method} {path}");
    }
}
