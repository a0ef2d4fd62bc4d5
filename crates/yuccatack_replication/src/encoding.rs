//! Encoding of logged commands and snapshots, used by the state machines on top of the log.

use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu, ensure};

/// First byte of every command and snapshot; each incompatible format has its own number.
const FORMAT_VERSION: u8 = 1;

/// Error of encoding or decoding a command or snapshot.
#[derive(Debug, Snafu)]
pub enum EncodingError {
    /// The value has no MessagePack representation.
    #[snafu(display("cannot encode a command: {source}; report this as a bug"))]
    Encode {
        /// Error of the MessagePack encoder.
        source: rmp_serde::encode::Error,
    },
    /// The bytes are not a valid encoding of the expected type.
    #[snafu(display(
        "cannot decode a logged command: {source}; restore the replica from another one"
    ))]
    Decode {
        /// Error of the MessagePack decoder.
        source: rmp_serde::decode::Error,
    },
    /// The format byte names a format that this version does not support.
    #[snafu(display(
        "the log holds format {found}, this version reads {FORMAT_VERSION}; install the newer \
         version"
    ))]
    NewerFormat {
        /// Format byte of the input.
        found: u8,
    },
    /// The input is empty, so it has no format byte.
    #[snafu(display("a logged command is empty; restore the replica from another one"))]
    Empty,
}

/// Encodes the format byte and `value` as MessagePack with field names.
pub fn encode<Value>(value: &Value) -> Result<Vec<u8>, EncodingError>
where
    Value: Serialize,
{
    let mut bytes = vec![FORMAT_VERSION];
    let mut serializer = rmp_serde::Serializer::new(&mut bytes).with_struct_map();
    value.serialize(&mut serializer).context(EncodeSnafu)?;
    Ok(bytes)
}

/// Decodes a value that [`encode`] encoded.
pub fn decode<Value>(bytes: &[u8]) -> Result<Value, EncodingError>
where
    Value: DeserializeOwned,
{
    let (&format, rest) = bytes.split_first().ok_or(EncodingError::Empty)?;
    ensure!(format == FORMAT_VERSION, NewerFormatSnafu { found: format });
    rmp_serde::from_slice(rest).context(DecodeSnafu)
}
