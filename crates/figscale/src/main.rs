//! The `figscale` program.

use std::process;

fn main() -> process::ExitCode {
    let code = figscale::cli::run();
    u8::try_from(code).map_or(process::ExitCode::FAILURE, process::ExitCode::from)
}
