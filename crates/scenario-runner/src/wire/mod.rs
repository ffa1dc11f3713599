//! Parsers and encoders for the protocols of the simulated servers and clients: RESP2, Web Push, calls to destinations, and the
//! directory's requests. They do no I/O.

mod client;
mod destination;
mod directory;
mod error;
mod framed;
mod http;
mod web_push;

#[cfg(test)]
mod tests;

pub(crate) use client::{encode_put, parse_client_answer};
pub(crate) use destination::{CallReply, DestinationCall, batch_state};
pub(crate) use directory::{FinalReportLine, WatchRequest, parse_final_reports};
pub(crate) use error::WireError;
pub(crate) use framed::Framed;
pub(crate) use http::{Request, encode_response, parse_request};
pub(crate) use web_push::{encode_post, parse_post_answer, push_path};
