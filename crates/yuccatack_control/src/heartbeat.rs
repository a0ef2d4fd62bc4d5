//! Conversion of a worker's heartbeat and its answer between JSON and the scheduler's types.

use serde::Serialize;
use yuccatack_core::prelude::*;
use yuccatack_leases::wire::{HeartbeatBody, HeartbeatReplyBody};
use yuccatack_leases::{HeartbeatReply, HeartbeatReport};

use crate::message::HeartbeatAnswer;

/// The body of a refused heartbeat.
#[derive(Serialize)]
struct Problem {
    message: String,
}

/// Reads a heartbeat; the error is the answer that tells the worker what is wrong.
pub fn decode(worker: &WorkerName, body_json: &[u8]) -> Result<HeartbeatReport, HeartbeatAnswer> {
    let body: HeartbeatBody = serde_json::from_slice(body_json).map_err(|error| {
        refusal(&format!("the heartbeat does not follow the worker protocol: {error}"))
    })?;
    body.into_report(worker.as_str()).map_err(|error| refusal(&error.to_string()))
}

/// Writes the answer to a heartbeat.
pub fn encode(reply: HeartbeatReply) -> HeartbeatAnswer {
    answer(200, &HeartbeatReplyBody::from(reply))
}

fn refusal(message: &str) -> HeartbeatAnswer {
    answer(400, &Problem { message: message.to_owned() })
}

fn answer<Body>(status: u16, body: &Body) -> HeartbeatAnswer
where
    Body: Serialize,
{
    match serde_json::to_vec(body) {
        Ok(body_json) => HeartbeatAnswer { status, body_json: body_json.into() },
        Err(error) => {
            log::error!(event = "heartbeat_encoding_failed"; "{error}; report this as a defect");
            HeartbeatAnswer { status: 500, body_json: "{}".into() }
        }
    }
}
