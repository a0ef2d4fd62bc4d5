//! What a command gets from the process around it.

use std::io::Write;

use crate::CliError;

/// The environment variable that holds the address of an entry.
pub const ADDRESS_VARIABLE: &str = "YUCCATACK_ADDRESS";

/// What a command gets from the process around it.
pub struct Context<'a> {
    /// The address of an entry when the arguments give none.
    pub default_address: Option<String>,
    /// Where results go.
    pub results: Box<dyn Write + 'a>,
    /// Where messages go.
    pub messages: Box<dyn Write + 'a>,
}

impl Context<'_> {
    /// Writes one line of results.
    pub(crate) fn result(&mut self, text: &str) -> Result<(), CliError> {
        writeln!(self.results, "{}", text.trim_end())?;
        Ok(())
    }

    /// Writes one line of messages.
    pub(crate) fn message(&mut self, text: &str) -> Result<(), CliError> {
        writeln!(self.messages, "{}", text.trim_end())?;
        Ok(())
    }
}
