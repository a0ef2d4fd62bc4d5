//! `host`: runs a role with settings from the hosting platform.

use clap::ArgMatches;
use yuccatack_platform::Role;

use super::required;
use crate::error::{CliError, ExitStatus};

pub(super) fn run(matches: &ArgMatches) -> Result<ExitStatus, CliError> {
    let role = match required(matches, "role")? {
        "entry" => Role::Entry,
        "agent" => Role::Agent,
        _ => Role::Control,
    };
    yuccatack_platform::run(role)?;
    Ok(ExitStatus::Done)
}
