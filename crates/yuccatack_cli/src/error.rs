//! Errors of commands and their exit codes.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use snafu::Snafu;

use crate::run::RunError;

/// Exit status of the program.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitStatus {
    /// Code 0: the command succeeded.
    Done,
    /// Code 1: the request was refused, a check found problems or a process failed. The outcome is
    /// certain.
    Refused,
    /// Code 2: the arguments or input files are invalid; nothing was sent.
    Usage,
    /// Code 3: the entry is unreachable or cannot serve requests at present; the failed request had
    /// no effect.
    NotReachable,
    /// Code 4: the response was lost, so a change may or may not have taken effect.
    Unknown,
}

impl ExitStatus {
    /// Returns the exit code, from 0 to 4.
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

/// Error that ends a command.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CliError {
    /// Neither the arguments nor the environment contain the address of an entry.
    #[snafu(display(
        "no address of an entry; give `--address IP:PORT` or set {}",
        crate::ADDRESS_VARIABLE
    ))]
    NoAddress,
    /// The entry address is not an IP address with a port.
    #[snafu(display("`{text}` is not an address; give `IP:PORT`, for example `10.1.0.5:7400`"))]
    InvalidAddress {
        /// Address as it was given.
        text: String,
    },
    /// An input file could not be read.
    #[snafu(display("cannot read {}: {source}; check the path and its permissions", path.display()))]
    ReadFile {
        /// Path of the input file; `-` is standard input.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// An output file could not be written.
    #[snafu(display("cannot write {}: {source}; check the folder and its permissions", path.display()))]
    WriteFile {
        /// Path of the output file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// An input file has content that the command cannot use.
    #[snafu(display("{}: {problem}", path.display()))]
    InvalidFile {
        /// Path of the input file; `-` is standard input.
        path: PathBuf,
        /// Description of the problem, with its remedy.
        problem: String,
    },
    /// The options of the command are incomplete or exclude each other.
    #[snafu(display("{problem}"))]
    InvalidOptions {
        /// Description of the problem, with its remedy.
        problem: String,
    },
    /// The entry could not be reached, or did not forward the request.
    #[snafu(display(
        "cannot reach the entry at {address}: {reason}; check the address and that the entry runs"
    ))]
    NotReachable {
        /// Address of the entry.
        address: SocketAddr,
        /// Failure to connect, or message of the entry.
        reason: String,
    },
    /// The entry responded to a read with a 5xx status.
    #[snafu(display("the entry at {address} cannot answer now ({status}): {reason}; try again"))]
    Unavailable {
        /// Address of the entry.
        address: SocketAddr,
        /// HTTP status of the response.
        status: u16,
        /// Message in the response.
        reason: String,
    },
    /// The response to a read was lost or could not be parsed.
    #[snafu(display("no usable response from the entry at {address}: {reason}; try again"))]
    UnusableResponse {
        /// Address of the entry.
        address: SocketAddr,
        /// Failure of the connection or of the parser.
        reason: String,
    },
    /// The response to a change was lost, so the change may or may not have taken effect.
    #[snafu(display(
        "the answer to change {change_id} was lost ({reason}); whether it took effect is not \
         known; repeat the command with `--change-id {change_id}` to get the first answer"
    ))]
    ResponseLost {
        /// Id of the change, with which it can be repeated safely.
        change_id: String,
        /// Failure of the connection, or HTTP status and message of the response.
        reason: String,
    },
    /// The response to an order was lost, so the order may or may not have taken effect.
    #[snafu(display(
        "the answer of {address} to the order was lost ({reason}); whether it took effect is not \
         known; repeat the command"
    ))]
    OrderLost {
        /// Address of the control replica.
        address: SocketAddr,
        /// Failure of the connection, or HTTP status of the response.
        reason: String,
    },
    /// A control replica refused an order, which had no effect.
    #[snafu(display("the order was refused with HTTP status {status}: {reason}"))]
    OrderRefused {
        /// HTTP status of the response.
        status: u16,
        /// Message in the response, or a remedy.
        reason: String,
    },
    /// The entry refused a read, or has no document at the path.
    #[snafu(display("the entry refused the request with HTTP status {status}: {reason}"))]
    ReadRefused {
        /// HTTP status of the response.
        status: u16,
        /// Message in the response, or a remedy.
        reason: String,
    },
    /// A process of `run` did not start or failed.
    #[snafu(transparent)]
    Run {
        /// Failure of the process.
        source: RunError,
    },
    /// A role of `host` did not start or failed.
    #[snafu(transparent)]
    Host {
        /// Failure of the role.
        source: yuccatack_platform::PlatformError,
    },
    /// The results or messages could not be written.
    #[snafu(display("cannot write the output: {source}; check the disk or the reading program"))]
    #[snafu(context(false))]
    Output {
        /// Error of the operating system.
        source: io::Error,
    },
    /// A value could not be serialized as JSON.
    #[snafu(display("cannot serialize to JSON: {source}; report this as a bug"))]
    #[snafu(context(false))]
    Encode {
        /// Error of the serializer.
        source: serde_json::Error,
    },
}

impl CliError {
    /// Returns the exit status of a program that ends with this error.
    pub const fn exit_status(&self) -> ExitStatus {
        match self {
            Self::NoAddress
            | Self::InvalidAddress { .. }
            | Self::ReadFile { .. }
            | Self::InvalidFile { .. }
            | Self::InvalidOptions { .. } => ExitStatus::Usage,
            Self::NotReachable { .. } | Self::Unavailable { .. } => ExitStatus::NotReachable,
            Self::UnusableResponse { .. } | Self::ResponseLost { .. } | Self::OrderLost { .. } => {
                ExitStatus::Unknown
            }
            Self::ReadRefused { .. }
            | Self::OrderRefused { .. }
            | Self::Run { .. }
            | Self::Host { .. }
            | Self::WriteFile { .. }
            | Self::Output { .. }
            | Self::Encode { .. } => ExitStatus::Refused,
        }
    }
}
