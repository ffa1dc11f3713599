//! Web Push (RFC 8030, with VAPID as in RFC 8292): as a server that accepts requests of application servers, and as a client that
//! forwards them to push services. No I/O; the reactor owns the connections.

mod file;
mod gateway;
mod responses;
mod standalone;
mod vapid;

pub use file::{File, Location, Server, Upstream, WebPushFileError, parse_file};
pub(crate) use gateway::WebPushGateway;
pub(crate) use responses::{read_response, write_answer, write_error};
pub use standalone::standalone_settings;
pub use vapid::{Vapid, VapidError, VapidFile};
