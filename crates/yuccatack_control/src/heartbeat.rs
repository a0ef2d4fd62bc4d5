//! Conversion of a worker's heartbeat and the response between JSON and the scheduler's types.

use serde::Serialize;
use yuccatack_core::prelude::*;
use yuccatack_leases::wire::{HeartbeatBody, HeartbeatReplyBody};
use yuccatack_leases::{HeartbeatReply, HeartbeatReport};

use crate::message::HeartbeatResponse;

/// Body of the response to an invalid heartbeat.
#[derive(Serialize)]
struct ErrorBody {
    message: String,
}

/// Decodes a heartbeat; the error is the response that describes to the worker what is invalid.
pub fn decode(worker: &WorkerName, body_json: &[u8]) -> Result<HeartbeatReport, HeartbeatResponse> {
    let body: HeartbeatBody = serde_json::from_slice(body_json).map_err(|error| {
        bad_request(&format!("the heartbeat does not follow the worker protocol: {error}"))
    })?;
    body.into_report(worker.as_str()).map_err(|error| bad_request(&error.to_string()))
}

/// Encodes the response to a heartbeat.
pub fn encode(reply: HeartbeatReply) -> HeartbeatResponse {
    encode_body(200, &HeartbeatReplyBody::from(reply))
}

fn bad_request(message: &str) -> HeartbeatResponse {
    encode_body(400, &ErrorBody { message: message.to_owned() })
}

fn encode_body<Body>(status: u16, body: &Body) -> HeartbeatResponse
where
    Body: Serialize,
{
    match serde_json::to_vec(body) {
        Ok(body_json) => HeartbeatResponse { status, body_json: body_json.into() },
        Err(error) => {
            log::error!(
                event = "heartbeat_encoding_failed";
                "cannot encode a heartbeat response: {error}; report this as a bug"
            );
            HeartbeatResponse { status: 500, body_json: "{}".into() }
        }
    }
}
