//! Mapping of outcomes to HTTP status codes and headers; no other module maps outcomes.

use std::sync::Arc;

use bytes::Bytes;

use crate::outcome::{Header, NotRun, NotRunReason, Outcome, Unknown};

/// Header that names the outcome: `completed`, `not_run` or `unknown`.
pub const OUTCOME_HEADER: &str = "yuccatack-outcome";
/// Header with the reason of an outcome other than `completed`.
pub const REASON_HEADER: &str = "yuccatack-reason";
/// Header with the scope of a refusal: `sending` for this submission only, `key` for every
/// submission with the same key so far.
pub const SCOPE_HEADER: &str = "yuccatack-not-run-scope";
/// Header with the exact retry delay in milliseconds, because `retry-after` has a resolution of one
/// second.
pub const RETRY_AFTER_MS_HEADER: &str = "yuccatack-retry-after-ms";

/// HTTP response, independent of the types of any HTTP server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HttpResponse {
    /// HTTP status code.
    pub status: u16,
    /// Headers, without `content-length`.
    pub headers: Vec<Header>,
    /// Complete response body.
    pub body: Bytes,
}

impl HttpResponse {
    /// Encodes the response as HTTP/1.1 with `connection: close`, for use outside an HTTP server.
    pub fn to_bytes(&self) -> Vec<u8> {
        let length = self.body.len();
        let mut bytes = format!(
            "HTTP/1.1 {}\r\nconnection: close\r\ncontent-length: {length}\r\n",
            self.status
        )
        .into_bytes();
        for header in &self.headers {
            bytes.extend_from_slice(header.name.as_bytes());
            bytes.extend_from_slice(b": ");
            bytes.extend_from_slice(&header.value);
            bytes.extend_from_slice(b"\r\n");
        }
        bytes.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

fn header(name: &str, value: &str) -> Header {
    Header { name: Arc::from(name), value: Bytes::copy_from_slice(value.as_bytes()) }
}

const fn not_run_status(reason: NotRunReason) -> u16 {
    match reason {
        NotRunReason::Invalid
        | NotRunReason::ReceiveTimeout
        | NotRunReason::KeyTooOld
        | NotRunReason::KeyReused => 400,
        NotRunReason::TooLarge => 413,
        NotRunReason::RateLimited | NotRunReason::ConcurrencyLimited => 429,
        NotRunReason::QueueFull
        | NotRunReason::Deadline
        | NotRunReason::NoMinion
        | NotRunReason::NoSlot
        | NotRunReason::Leaving
        | NotRunReason::MinionUnreachable
        | NotRunReason::AgentUnreachable
        | NotRunReason::WrongIncarnation
        | NotRunReason::Barred
        | NotRunReason::StaleView
        | NotRunReason::ClaimsUnavailable
        | NotRunReason::ShuttingDown => 503,
    }
}

fn text_response(status: u16, mut headers: Vec<Header>, detail: &str) -> HttpResponse {
    headers.push(header("content-type", "text/plain; charset=utf-8"));
    HttpResponse { status, headers, body: Bytes::from(format!("{detail}\n")) }
}

fn not_run_response(not_run: &NotRun) -> HttpResponse {
    let mut headers = vec![
        header(OUTCOME_HEADER, "not_run"),
        header(REASON_HEADER, not_run.reason.as_str()),
        header(SCOPE_HEADER, not_run.scope.as_str()),
    ];
    if let Some(wait_ms) = not_run.retry_after_ms {
        headers.push(header("retry-after", &wait_ms.div_ceil(1000).max(1).to_string()));
        headers.push(header(RETRY_AFTER_MS_HEADER, &wait_ms.to_string()));
    }
    text_response(not_run_status(not_run.reason), headers, &not_run.detail)
}

fn unknown_response(unknown: &Unknown) -> HttpResponse {
    let headers =
        vec![header(OUTCOME_HEADER, "unknown"), header(REASON_HEADER, unknown.reason.as_str())];
    text_response(504, headers, &unknown.detail)
}

impl From<Outcome> for HttpResponse {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Completed(answer) => {
                let mut headers = answer.headers;
                headers.retain(|header| !header.name.starts_with("yuccatack-"));
                headers.push(header(OUTCOME_HEADER, "completed"));
                Self { status: answer.status, headers, body: answer.body }
            }
            Outcome::NotRun(not_run) => not_run_response(&not_run),
            Outcome::Unknown(unknown) => unknown_response(&unknown),
        }
    }
}
