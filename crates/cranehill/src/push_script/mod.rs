//! Push scripts: pushes and the answers of a push service, played against a real sender over loopback sockets.

mod error;
mod player;
mod script;
mod service;

pub use error::{PlayError, ScriptError, ScriptErrorKind};
pub use player::{Report, play, push_setup};
pub use script::{Script, parse};
