//! Conversion between typed messages and gRPC envelopes.

use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};

use crate::generated::queue_control::Envelope;
use crate::protocol::{AgentFrame, LeaderFrame, Request, Response};

/// Failure to encode or decode a message.
#[derive(Debug, Snafu)]
pub enum WireError {
    /// The message has no MessagePack encoding.
    #[snafu(display("cannot encode the message: {source}; report this as a fault"))]
    Encode {
        /// Error of the MessagePack encoder.
        source: rmp_serde::encode::Error,
    },
    /// The received bytes are not a message of the expected type.
    #[snafu(display("cannot decode the message: {source}; run compatible versions on all nodes"))]
    Decode {
        /// Error of the MessagePack decoder.
        source: rmp_serde::decode::Error,
    },
}

fn encode<Message>(message: &Message) -> Result<Envelope, WireError>
where
    Message: Serialize,
{
    let body = rmp_serde::to_vec_named(message).context(EncodeSnafu)?;
    Ok(Envelope { body: body.into() })
}

fn decode<Message>(envelope: &Envelope) -> Result<Message, WireError>
where
    Message: DeserializeOwned,
{
    rmp_serde::from_slice(&envelope.body).context(DecodeSnafu)
}

macro_rules! impl_envelope_conversions {
    ($($message:ty),* $(,)?) => {$(
        impl TryFrom<&$message> for Envelope {
            type Error = WireError;

            fn try_from(message: &$message) -> Result<Self, WireError> {
                encode(message)
            }
        }

        impl TryFrom<Envelope> for $message {
            type Error = WireError;

            fn try_from(envelope: Envelope) -> Result<Self, WireError> {
                decode(&envelope)
            }
        }
    )*};
}

impl_envelope_conversions!(Request, Response, AgentFrame, LeaderFrame);
