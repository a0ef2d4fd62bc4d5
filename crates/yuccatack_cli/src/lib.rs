//! The command line.

use std::ffi::OsString;
use std::process::ExitCode;

/// Parses the arguments, runs the command and returns its exit status.
pub fn run<I>(_arguments: I) -> ExitCode
where
    I: IntoIterator<Item = OsString>,
{
    ExitCode::FAILURE
}
