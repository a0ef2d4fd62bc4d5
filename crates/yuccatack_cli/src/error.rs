//! Why a command did not do what it was asked, and its exit code.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use snafu::Snafu;

use crate::run::RunError;

/// The exit codes of the program.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitStatus {
    /// 0: the command did what it was asked.
    Done,
    /// 1: the system, a check or a process refused; nothing is in doubt.
    Refused,
    /// 2: the arguments or input files are wrong; nothing was sent.
    Usage,
    /// 3: the entry could not be reached; nothing was sent.
    NotReachable,
    /// 4: the response was lost; whether the change took effect is not known.
    Unknown,
}

impl ExitStatus {
    /// The exit code.
    pub const fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Refused => 1,
            Self::Usage => 2,
            Self::NotReachable => 3,
            Self::Unknown => 4,
        }
    }
}

/// Why a command did not do what it was asked.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CliError {
    /// No address of an entry was given.
    #[snafu(display(
        "no address of an entry; give `--address IP:PORT` or set {}",
        crate::ADDRESS_VARIABLE
    ))]
    NoAddress,
    /// The address is not one.
    #[snafu(display("`{text}` is not an address; give `IP:PORT`, for example `10.1.0.5:7400`"))]
    InvalidAddress {
        /// What was given.
        text: String,
    },
    /// An input file could not be read.
    #[snafu(display("cannot read {}: {source}; check the path and its permissions", path.display()))]
    ReadFile {
        /// The file.
        path: PathBuf,
        /// What the operating system said.
        source: io::Error,
    },
    /// An output file could not be written.
    #[snafu(display("cannot write {}: {source}; check the folder and its permissions", path.display()))]
    WriteFile {
        /// The file.
        path: PathBuf,
        /// What the operating system said.
        source: io::Error,
    },
    /// An input file is not what the command needs.
    #[snafu(display("{}: {problem}", path.display()))]
    InvalidFile {
        /// The file.
        path: PathBuf,
        /// What is wrong and the remedy.
        problem: String,
    },
    /// An option does not go with the rest.
    #[snafu(display("{problem}"))]
    Options {
        /// What is wrong and the remedy.
        problem: String,
    },
    /// The entry could not be reached.
    #[snafu(display(
        "cannot reach the entry at {address}: {reason}; check the address and that the entry runs"
    ))]
    NotReachable {
        /// Where it was expected.
        address: SocketAddr,
        /// What went wrong.
        reason: String,
    },
    /// The entry answered but cannot serve now.
    #[snafu(display("the entry at {address} cannot answer now ({status}): {reason}; try again"))]
    Unavailable {
        /// The entry.
        address: SocketAddr,
        /// The HTTP status.
        status: u16,
        /// What the entry said.
        reason: String,
    },
    /// The response to a read was lost or unreadable.
    #[snafu(display("no usable answer from the entry at {address}: {reason}; try again"))]
    NoAnswer {
        /// The entry.
        address: SocketAddr,
        /// What went wrong.
        reason: String,
    },
    /// The response to a change was lost.
    #[snafu(display(
        "the answer to change {change_id} was lost ({reason}); whether it took effect is not \
         known; repeat the command with `--change-id {change_id}` to get the first answer"
    ))]
    AnswerLost {
        /// The change.
        change_id: String,
        /// What went wrong.
        reason: String,
    },
    /// The entry refused a read.
    #[snafu(display("refused ({status}): {reason}"))]
    RefusedRead {
        /// The HTTP status.
        status: u16,
        /// What the entry said.
        reason: String,
    },
    /// A process role did not start or failed.
    #[snafu(transparent)]
    Run {
        /// What went wrong.
        source: RunError,
    },
    /// A role on the hosting platform did not start or failed.
    #[snafu(transparent)]
    Host {
        /// Why.
        source: yuccatack_platform::PlatformError,
    },
    /// The output could not be written.
    #[snafu(display("cannot write the output: {source}; check the disk or the reading program"))]
    #[snafu(context(false))]
    Output {
        /// What the operating system said.
        source: io::Error,
    },
    /// A value could not be written as JSON.
    #[snafu(display("cannot write JSON: {source}; report this as a fault"))]
    #[snafu(context(false))]
    Encode {
        /// What the library said.
        source: serde_json::Error,
    },
}

impl CliError {
    /// The exit status that goes with the error.
    pub const fn exit_status(&self) -> ExitStatus {
        match self {
            Self::NoAddress
            | Self::InvalidAddress { .. }
            | Self::ReadFile { .. }
            | Self::InvalidFile { .. }
            | Self::Options { .. } => ExitStatus::Usage,
            Self::NotReachable { .. } | Self::Unavailable { .. } => ExitStatus::NotReachable,
            Self::NoAnswer { .. } | Self::AnswerLost { .. } => ExitStatus::Unknown,
            Self::RefusedRead { .. }
            | Self::Run { .. }
            | Self::Host { .. }
            | Self::WriteFile { .. }
            | Self::Output { .. }
            | Self::Encode { .. } => ExitStatus::Refused,
        }
    }
}
