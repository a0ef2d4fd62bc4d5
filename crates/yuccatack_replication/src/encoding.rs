//! Encoding of logged commands and snapshots, for the users of the log.

use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu, ensure};

/// The first byte of every command and snapshot; a later format gets another number.
const FORMAT: u8 = 1;

/// Bytes that this version cannot read or write.
#[derive(Debug, Snafu)]
pub enum EncodingError {
    /// The value cannot be written.
    #[snafu(display("cannot encode a command: {source}; report this as a defect"))]
    Encode {
        /// Why.
        source: rmp_serde::encode::Error,
    },
    /// The bytes are not what this format says.
    #[snafu(display(
        "cannot decode a logged command: {source}; restore the replica from another one"
    ))]
    Decode {
        /// Why.
        source: rmp_serde::decode::Error,
    },
    /// A newer version wrote the bytes.
    #[snafu(display(
        "the log holds format {found}, this version reads {FORMAT}; install the newer version"
    ))]
    NewerFormat {
        /// The format byte found.
        found: u8,
    },
    /// There is no format byte.
    #[snafu(display("a logged command is empty; restore the replica from another one"))]
    Empty,
}

/// Writes the format byte and the value with field names.
pub fn encode<Value>(value: &Value) -> Result<Vec<u8>, EncodingError>
where
    Value: Serialize,
{
    let mut bytes = vec![FORMAT];
    let mut serializer = rmp_serde::Serializer::new(&mut bytes).with_struct_map();
    value.serialize(&mut serializer).context(EncodeSnafu)?;
    Ok(bytes)
}

/// Reads what [`encode`] wrote.
pub fn decode<Value>(bytes: &[u8]) -> Result<Value, EncodingError>
where
    Value: DeserializeOwned,
{
    let (&format, rest) = bytes.split_first().ok_or(EncodingError::Empty)?;
    ensure!(format == FORMAT, NewerFormatSnafu { found: format });
    rmp_serde::from_slice(rest).context(DecodeSnafu)
}
