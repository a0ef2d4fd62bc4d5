//! The `yuccatack` binary, which runs every process role and the commands for operators.

use std::process::ExitCode;

fn main() -> ExitCode {
    yuccatack_cli::run(std::env::args_os())
}
