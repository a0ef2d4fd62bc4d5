//! An HTTP exchange with the minion: sends the request of an attempt and reads the response.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, Uri};
use tokio::time::{Instant, timeout_at};
use yuccatack_core::prelude::*;
use yuccatack_requests::answer_check::BodyCollector;
use yuccatack_requests::prelude::*;
use yuccatack_view::ViewHandle;

use crate::connection::MinionConnection;

/// Name of the header that holds the attempt id. A minion that echoes it lets the agent detect
/// responses that were swapped between connections.
pub const ATTEMPT_HEADER: &str = "yuccatack-attempt";
/// Name of the header that holds the organisation; checked like [`ATTEMPT_HEADER`] if echoed.
pub const ORGANISATION_HEADER: &str = "yuccatack-organisation";

/// Headers that apply to a single connection and are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

/// Inputs of [`run_exchange`].
#[derive(Debug)]
pub struct Exchange {
    /// Id that is sent in [`ATTEMPT_HEADER`].
    pub attempt: AttemptId,
    /// Request to send.
    pub content: RequestContent,
    /// Address of the minion.
    pub minion_address: SocketAddr,
    /// Time at which the caller stops waiting, computed when the attempt arrived.
    pub deadline: Instant,
    /// View of the records; the request is sent only while it is fresh.
    pub view: ViewHandle,
    /// Maximum size of the response body.
    pub body_limit_bytes: u64,
    /// Idle connection to reuse; `None` opens a new one.
    pub idle_connection: Option<MinionConnection>,
}

/// Result of [`run_exchange`].
#[derive(Debug)]
pub struct ExchangeResult {
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Connection, if another exchange can use it.
    pub connection: Option<MinionConnection>,
}

impl From<Outcome> for ExchangeResult {
    fn from(outcome: Outcome) -> Self {
        Self { outcome, connection: None }
    }
}

impl From<NotRun> for ExchangeResult {
    fn from(not_run: NotRun) -> Self {
        Outcome::from(not_run).into()
    }
}

fn unknown(reason: UnknownReason, detail: &str) -> ExchangeResult {
    Outcome::from(Unknown::new(reason, detail)).into()
}

fn build_request(
    attempt: AttemptId,
    content: &RequestContent,
    address: SocketAddr,
) -> Option<Request<Full<Bytes>>> {
    let method = Method::from_bytes(content.method.as_bytes()).ok()?;
    let uri: Uri = content.path.parse().ok()?;
    let mut request = Request::new(Full::new(content.body.clone()));
    *request.method_mut() = method;
    *request.uri_mut() = uri;
    let headers = request.headers_mut();
    for header in &content.headers {
        if HOP_BY_HOP_HEADERS.contains(&header.name.as_ref()) || *header.name == *"host" {
            continue;
        }
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        let value = HeaderValue::from_maybe_shared(header.value.clone()).ok()?;
        headers.append(name, value);
    }
    headers.insert("host", HeaderValue::from_str(&address.to_string()).ok()?);
    headers.insert(ATTEMPT_HEADER, HeaderValue::from_str(&attempt.to_string()).ok()?);
    let organisation = HeaderValue::from_str(content.organisation.as_str()).ok()?;
    headers.insert(ORGANISATION_HEADER, organisation);
    Some(request)
}

/// Runs an exchange to completion. Dropping the future closes the connection.
pub async fn run_exchange(exchange: Exchange) -> ExchangeResult {
    let deadline = exchange.deadline;
    let request = build_request(exchange.attempt, &exchange.content, exchange.minion_address);
    let Some(request) = request else {
        return NotRun::permanent(
            NotRunReason::Invalid,
            "the method, the path or a header is not valid HTTP",
        )
        .into();
    };
    let mut request = request;
    // The process may have been paused since the attempt was accepted.
    if let Some(refusal) = refusal_before_send(&exchange.view, deadline) {
        return refusal.into();
    }
    if let Some(connection) = exchange.idle_connection {
        match send(
            connection,
            request,
            &exchange.content,
            exchange.attempt,
            deadline,
            exchange.body_limit_bytes,
        )
        .await
        {
            SendResult::Finished(result) => return result,
            // The minion closed the idle connection before any byte of the request was written.
            SendResult::NotSent(unsent) => request = unsent,
        }
    }
    let connection =
        match timeout_at(deadline, MinionConnection::open(exchange.minion_address)).await {
            Ok(Ok(connection)) => connection,
            Ok(Err(error)) => {
                let detail = format!("the agent cannot connect to the minion: {error}");
                return NotRun::retryable(NotRunReason::MinionUnreachable, 1_000, &detail).into();
            }
            Err(_) => {
                return NotRun::retryable(
                    NotRunReason::Deadline,
                    100,
                    "the deadline passed before the minion accepted a connection",
                )
                .into();
            }
        };
    // The deadline may have passed or the view become stale while the connection was opened.
    if let Some(refusal) = refusal_before_send(&exchange.view, deadline) {
        return refusal.into();
    }
    let sent = send(
        connection,
        request,
        &exchange.content,
        exchange.attempt,
        deadline,
        exchange.body_limit_bytes,
    );
    match sent.await {
        SendResult::Finished(result) => result,
        SendResult::NotSent(_) => NotRun::retryable(
            NotRunReason::MinionUnreachable,
            1_000,
            "the minion closed the connection before the request was sent",
        )
        .into(),
    }
}

/// Returns the refusal of an accepted request if its deadline has passed or the view is stale.
fn refusal_before_send(view: &ViewHandle, deadline: Instant) -> Option<NotRun> {
    let now = Instant::now();
    if now >= deadline {
        return Some(NotRun::retryable(
            NotRunReason::Deadline,
            100,
            "the deadline passed before the request was sent to the minion",
        ));
    }
    if !view.is_fresh(now.into_std()) {
        return Some(NotRun::retryable(
            NotRunReason::StaleView,
            1_000,
            "the agent had no confirmed configuration when the request was to be sent",
        ));
    }
    None
}

enum SendResult {
    Finished(ExchangeResult),
    /// No byte was written, so the request can be sent on another connection.
    NotSent(Request<Full<Bytes>>),
}

async fn send(
    mut connection: MinionConnection,
    request: Request<Full<Bytes>>,
    content: &RequestContent,
    attempt: AttemptId,
    deadline: Instant,
    body_limit_bytes: u64,
) -> SendResult {
    let response = match timeout_at(deadline, connection.sender.try_send_request(request)).await {
        Ok(Ok(response)) => response,
        Ok(Err(mut error)) => {
            if let Some(request) = error.take_message() {
                return SendResult::NotSent(request);
            }
            let detail = format!("the connection to the minion broke: {}", error.error());
            return SendResult::Finished(unknown(UnknownReason::MinionConnection, &detail));
        }
        Err(_) => {
            return SendResult::Finished(unknown(
                UnknownReason::Deadline,
                "the minion did not answer before the deadline",
            ));
        }
    };
    let read = read_response(response, content, attempt, body_limit_bytes);
    let result = match timeout_at(deadline, read).await {
        Ok(Ok(answer)) => {
            let reusable = connection.is_open();
            ExchangeResult {
                outcome: Outcome::Completed(answer),
                connection: reusable.then_some(connection),
            }
        }
        Ok(Err(unknown)) => Outcome::from(unknown).into(),
        Err(_) => unknown(
            UnknownReason::Deadline,
            "the minion's answer was not whole before the deadline",
        ),
    };
    SendResult::Finished(result)
}

fn invalid_answer(detail: &str) -> Unknown {
    Unknown::new(UnknownReason::InvalidAnswer, detail)
}

/// Returns `true` if the body has a length or is chunked, so that a truncated body is detected.
fn has_delimited_body(response: &Response<Incoming>) -> bool {
    let chunked = response.headers().get("transfer-encoding").is_some();
    chunked || response.body().is_end_stream() || response.body().size_hint().exact().is_some()
}

/// Rejects a response that echoes the id of another attempt or another organisation.
fn check_echoed_headers(
    headers: &HeaderMap,
    content: &RequestContent,
    attempt: AttemptId,
) -> Result<(), Unknown> {
    let is_absent_or_equal = |name: &str, expected: &str| {
        headers.get(name).is_none_or(|value| value.as_bytes() == expected.as_bytes())
    };
    if !is_absent_or_equal(ATTEMPT_HEADER, &attempt.to_string()) {
        return Err(invalid_answer("the minion's answer names another attempt"));
    }
    if !is_absent_or_equal(ORGANISATION_HEADER, content.organisation.as_str()) {
        return Err(invalid_answer("the minion's answer names another organisation"));
    }
    Ok(())
}

async fn read_response(
    response: Response<Incoming>,
    content: &RequestContent,
    attempt: AttemptId,
    body_limit_bytes: u64,
) -> Result<Answer, Unknown> {
    check_echoed_headers(response.headers(), content, attempt)?;
    if !has_delimited_body(&response) {
        return Err(invalid_answer(
            "the minion's answer has neither a length nor chunks, so that it may be truncated",
        ));
    }
    let status = response.status().as_u16();
    let headers = response_headers(response.headers());
    let mut body = response.into_body();
    let mut collector = BodyCollector::new(body_limit_bytes);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| {
            invalid_answer(&format!("the minion's answer was truncated: {error}"))
        })?;
        if let Ok(chunk) = frame.into_data() {
            collector.push(&chunk).map_err(|error| invalid_answer(&error.to_string()))?;
        }
    }
    Ok(Answer { status, headers, body: collector.into_body() })
}

fn response_headers(headers: &HeaderMap) -> Vec<Header> {
    let forwarded = headers.iter().filter(|(name, _)| !HOP_BY_HOP_HEADERS.contains(&name.as_str()));
    forwarded
        .map(|(name, value)| Header {
            name: Arc::from(name.as_str()),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}
