//! One exchange with the minion.

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

/// The header that names the attempt to the minion. A minion that echoes it lets the agent detect
/// answers that were mixed up between connections.
pub const ATTEMPT_HEADER: &str = "yuccatack-attempt";
/// The header that names the organisation to the minion.
pub const ORGANISATION_HEADER: &str = "yuccatack-organisation";

/// Headers that concern one connection and are not passed on.
const CONNECTION_HEADERS: [&str; 9] = [
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

/// What an exchange needs.
#[derive(Debug)]
pub struct Exchange {
    /// The attempt.
    pub attempt: AttemptId,
    /// The request.
    pub content: RequestContent,
    /// Where the minion answers.
    pub minion_address: SocketAddr,
    /// When the answer is no longer wanted, counted from the arrival of the attempt.
    pub deadline: Instant,
    /// Tells whether new work may still start when the request is sent.
    pub view: ViewHandle,
    /// The largest answer.
    pub body_limit_bytes: u64,
    /// An idle connection, if there is one.
    pub idle: Option<MinionConnection>,
}

/// What an exchange leaves.
#[derive(Debug)]
pub struct ExchangeEnd {
    /// What became of the request.
    pub outcome: Outcome,
    /// The connection, if another exchange may use it.
    pub connection: Option<MinionConnection>,
}

impl From<Outcome> for ExchangeEnd {
    fn from(outcome: Outcome) -> Self {
        Self { outcome, connection: None }
    }
}

impl From<NotRun> for ExchangeEnd {
    fn from(not_run: NotRun) -> Self {
        Outcome::from(not_run).into()
    }
}

fn unknown(reason: UnknownReason, detail: &str) -> ExchangeEnd {
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
        if CONNECTION_HEADERS.contains(&header.name.as_ref()) || *header.name == *"host" {
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

/// Runs an exchange to its end. Dropping the future closes the connection.
pub async fn run_exchange(exchange: Exchange) -> ExchangeEnd {
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
    if let Some(refusal) = late_refusal(&exchange.view, deadline) {
        return refusal.into();
    }
    if let Some(connection) = exchange.idle {
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
            SendEnd::Ended(end) => return end,
            // The minion closed the idle connection; not a byte of the request was written.
            SendEnd::NotSent(returned) => request = returned,
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
    // Opening the connection may have taken longer than the view stays fresh.
    if let Some(refusal) = late_refusal(&exchange.view, deadline) {
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
        SendEnd::Ended(end) => end,
        SendEnd::NotSent(_) => NotRun::retryable(
            NotRunReason::MinionUnreachable,
            1_000,
            "the minion closed the connection before the request was sent",
        )
        .into(),
    }
}

/// Why a request that was accepted may not be sent any more.
fn late_refusal(view: &ViewHandle, deadline: Instant) -> Option<NotRun> {
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

enum SendEnd {
    Ended(ExchangeEnd),
    NotSent(Request<Full<Bytes>>),
}

async fn send(
    mut connection: MinionConnection,
    request: Request<Full<Bytes>>,
    content: &RequestContent,
    attempt: AttemptId,
    deadline: Instant,
    body_limit_bytes: u64,
) -> SendEnd {
    let response = match timeout_at(deadline, connection.sender.try_send_request(request)).await {
        Ok(Ok(response)) => response,
        Ok(Err(mut error)) => {
            if let Some(request) = error.take_message() {
                return SendEnd::NotSent(request);
            }
            let detail = format!("the connection to the minion broke: {}", error.error());
            return SendEnd::Ended(unknown(UnknownReason::MinionConnection, &detail));
        }
        Err(_) => {
            return SendEnd::Ended(unknown(
                UnknownReason::Deadline,
                "the minion did not answer before the deadline",
            ));
        }
    };
    let read = read_answer(response, content, attempt, body_limit_bytes);
    let end = match timeout_at(deadline, read).await {
        Ok(Ok(answer)) => {
            let reusable = connection.is_open();
            ExchangeEnd {
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
    SendEnd::Ended(end)
}

fn invalid_answer(detail: &str) -> Unknown {
    Unknown::new(UnknownReason::InvalidAnswer, detail)
}

/// Whether the end of the body is marked, so that a truncated body can be told from a whole one.
fn has_marked_end(response: &Response<Incoming>) -> bool {
    let chunked = response.headers().get("transfer-encoding").is_some();
    chunked || response.body().is_end_stream() || response.body().size_hint().exact().is_some()
}

fn check_echo(
    headers: &HeaderMap,
    content: &RequestContent,
    attempt: AttemptId,
) -> Result<(), Unknown> {
    let same = |name: &str, expected: &str| {
        headers.get(name).is_none_or(|value| value.as_bytes() == expected.as_bytes())
    };
    if !same(ATTEMPT_HEADER, &attempt.to_string()) {
        return Err(invalid_answer("the minion's answer names another attempt"));
    }
    if !same(ORGANISATION_HEADER, content.organisation.as_str()) {
        return Err(invalid_answer("the minion's answer names another organisation"));
    }
    Ok(())
}

async fn read_answer(
    response: Response<Incoming>,
    content: &RequestContent,
    attempt: AttemptId,
    body_limit_bytes: u64,
) -> Result<Answer, Unknown> {
    check_echo(response.headers(), content, attempt)?;
    if !has_marked_end(&response) {
        return Err(invalid_answer(
            "the minion's answer has neither a length nor chunks, so that it may be truncated",
        ));
    }
    let status = response.status().as_u16();
    let headers = answer_headers(response.headers());
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

fn answer_headers(headers: &HeaderMap) -> Vec<Header> {
    let passed_on = headers.iter().filter(|(name, _)| !CONNECTION_HEADERS.contains(&name.as_str()));
    passed_on
        .map(|(name, value)| Header {
            name: Arc::from(name.as_str()),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}
