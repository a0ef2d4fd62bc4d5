//! What the replicated log holds.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, Snafu, ensure};
use yuccatack_core::JobName;
use yuccatack_dispatch::TableChange;
use yuccatack_queues::Configuration;
use yuccatack_runs::JobSubmission;

/// The first byte of every command and snapshot; a later format gets another number.
const FORMAT: u8 = 1;

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Command {
    Submit(Box<JobSubmission>),
    Cancel { name: JobName, now_unix_ms: u64 },
    Configure(Arc<Configuration>),
    Change { changes: Vec<TableChange>, now_unix_ms: u64 },
    Forget(Vec<JobName>),
}

/// Bytes that this version cannot read or write.
#[derive(Debug, Snafu)]
pub(crate) enum EncodingError {
    #[snafu(display("cannot encode: {source}; report this as a fault"))]
    Encode { source: rmp_serde::encode::Error },
    #[snafu(display("cannot decode a logged command: {source}; restore from another replica"))]
    Decode { source: rmp_serde::decode::Error },
    #[snafu(display("the log holds format {found}, not {FORMAT}; install the newer version"))]
    NewerFormat { found: u8 },
    #[snafu(display("a logged command is empty; restore from another replica"))]
    Empty,
}

/// Writes the format byte and the value with field names.
pub(crate) fn encode<Value>(value: &Value) -> Result<Vec<u8>, EncodingError>
where
    Value: Serialize,
{
    let mut bytes = vec![FORMAT];
    let mut serializer = rmp_serde::Serializer::new(&mut bytes).with_struct_map();
    value.serialize(&mut serializer).context(EncodeSnafu)?;
    Ok(bytes)
}

/// Reads what [`encode`] wrote.
pub(crate) fn decode<Value>(bytes: &[u8]) -> Result<Value, EncodingError>
where
    Value: for<'de> Deserialize<'de>,
{
    let (format, rest) = bytes.split_first().context(EmptySnafu)?;
    ensure!(*format == FORMAT, NewerFormatSnafu { found: *format });
    rmp_serde::from_slice(rest).context(DecodeSnafu)
}
