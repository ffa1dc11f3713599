//! The adapter between the simulator's protocol and the scheduler: translation only.
//!
//! Each line of standard input is a batch of requests; each line of standard output is the reply to one.

mod error;
mod host;
mod wire;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use error::AdapterError;
use host::Host;

fn run() -> Result<(), AdapterError> {
    let (stdin, mut stdout) = (io::stdin().lock(), io::stdout().lock());
    let mut host = Host::default();
    for line in stdin.lines() {
        let line = line.map_err(AdapterError::Read)?;
        let mut reply = host.answer(&line)?;
        reply.push('\n');
        stdout
            .write_all(reply.as_bytes())
            .and_then(|()| stdout.flush())
            .map_err(AdapterError::Write)?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let text = error.to_string().replace('\n', " ");
            eprintln!("cranehill-simulator-adapter: {text}");
            ExitCode::FAILURE
        }
    }
}
