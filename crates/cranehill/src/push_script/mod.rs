//! Push scripts: pushes, the replies of a simulated push service and the expected outcomes, run against a sender in
//! this process over loopback sockets.

mod error;
mod player;
mod script;
mod service;

pub use error::{PlayError, ScriptError, ScriptErrorKind};
pub use player::{Report, play, push_setup};
pub use script::{Script, parse};
