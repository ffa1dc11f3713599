//! Connects the scheduler to the simulator: translates between the simulator's protocol and the scheduler's events and actions.
//!
//! Each line of standard input is a batch of requests in JSON, and is answered by one line of JSON on standard output. The
//! adapter exits with code 0 at the end of input, and with code 1 and one line on standard error after an error.

mod error;
mod host;
mod wire;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use error::AdapterError;
use host::Host;

/// Answers batches until the end of input.
fn run() -> Result<(), AdapterError> {
    let (stdin, mut stdout) = (io::stdin().lock(), io::stdout().lock());
    let mut host = Host::default();
    for line in stdin.lines() {
        let line = line.map_err(AdapterError::Read)?;
        let mut reply = host.handle_batch(&line)?;
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
