//! The program `cranehill`. Its code is in the library of the same name.

use std::process::ExitCode;

fn main() -> ExitCode {
    cranehill::cli::main()
}
