//! Encoding of the typed messages.

use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};

use crate::generated::queue_control::Envelope;
use crate::protocol::{AgentFrame, LeaderFrame, Request, Response};

/// A message that has no wire form, or bytes that are no message.
#[derive(Debug, Snafu)]
pub enum WireError {
    /// Encoding failed.
    #[snafu(display("cannot encode the message: {source}; report this as a fault"))]
    Encode {
        /// What the encoder said.
        source: rmp_serde::encode::Error,
    },
    /// Decoding failed.
    #[snafu(display("cannot decode the message: {source}; run compatible versions on all nodes"))]
    Decode {
        /// What the decoder said.
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

macro_rules! wire_form {
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

wire_form!(Request, Response, AgentFrame, LeaderFrame);
