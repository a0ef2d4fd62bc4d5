//! The `yuccatack` binary: every process role and the operators' commands.

use std::process::ExitCode;

fn main() -> ExitCode {
    yuccatack_cli::run(std::env::args_os())
}
