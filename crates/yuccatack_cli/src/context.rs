//! Environment and outputs of a command.

use std::io::Write;

use crate::CliError;

/// Environment variable with the entry address to use if `--address` is absent.
pub const ADDRESS_VARIABLE: &str = "YUCCATACK_ADDRESS";

/// Environment and outputs of a command, which a test can replace.
pub struct Context<'a> {
    /// Entry address to use if the arguments contain none, usually from [`ADDRESS_VARIABLE`].
    pub default_address: Option<String>,
    /// Output for results, usually standard output.
    pub results: Box<dyn Write + 'a>,
    /// Output for messages, usually standard error.
    pub messages: Box<dyn Write + 'a>,
}

impl Context<'_> {
    /// Writes a text to the results, with a single newline at its end.
    pub(crate) fn result(&mut self, text: &str) -> Result<(), CliError> {
        writeln!(self.results, "{}", text.trim_end())?;
        Ok(())
    }

    /// Writes a text to the messages, with a single newline at its end.
    pub(crate) fn message(&mut self, text: &str) -> Result<(), CliError> {
        writeln!(self.messages, "{}", text.trim_end())?;
        Ok(())
    }
}
