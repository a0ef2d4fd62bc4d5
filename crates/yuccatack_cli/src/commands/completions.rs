//! `completions`: prints the completion script of a shell.

use clap::ArgMatches;
use clap_complete::Shell;

use super::invalid_options;
use crate::arguments;
use crate::context::Context;
use crate::error::{CliError, ExitStatus};

pub(super) fn run(matches: &ArgMatches, context: &mut Context<'_>) -> Result<ExitStatus, CliError> {
    let Some(shell) = matches.get_one::<Shell>("shell").copied() else {
        return invalid_options("no shell; see `yuccatack completions --help`".to_owned());
    };
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut arguments::command(), "yuccatack", &mut script);
    context.results.write_all(&script)?;
    Ok(ExitStatus::Done)
}
