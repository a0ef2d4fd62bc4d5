//! `run`: runs the process role that a settings file describes.

use std::path::PathBuf;

use clap::ArgMatches;
use log::LevelFilter;

use super::{invalid_options, text};
use crate::error::{CliError, ExitStatus};
use crate::run::{LogOptions, run_process};

pub(super) fn run(matches: &ArgMatches) -> Result<ExitStatus, CliError> {
    let Some(file) = matches.get_one::<PathBuf>("file") else {
        return invalid_options("no settings file; see `yuccatack run --help`".to_owned());
    };
    let level = match text(matches, "log-level") {
        Some("error") => LevelFilter::Error,
        Some("warn") => LevelFilter::Warn,
        Some("debug") => LevelFilter::Debug,
        _ => LevelFilter::Info,
    };
    let log_file = text(matches, "log-file").map(PathBuf::from);
    run_process(file, LogOptions { level, file: log_file })?;
    Ok(ExitStatus::Done)
}
