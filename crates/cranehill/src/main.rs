#![forbid(unsafe_code)]

fn main() -> std::process::ExitCode {
    cranehill::cli::main()
}
