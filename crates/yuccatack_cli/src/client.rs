//! HTTP client of an entry.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::time;

use crate::CliError;
use crate::message::{ChangeRequest, ChangeResponse, ChangeStatus, RecordList, StoredRecord};

/// Maximum size of a response body. A list of 10,000 records of 2 KB each fits.
const RESPONSE_LIMIT_BYTES: usize = 64 * 1024 * 1024;

/// Maximum number of times that a change without a response is resent. Resending is safe, because
/// the system applies a change id only once.
const CHANGE_RESEND_COUNT: u32 = 3;

/// Delay before the first resend of a change; it doubles with each further one.
const INITIAL_RESEND_DELAY: Duration = Duration::from_millis(250);

/// HTTP client of one entry that opens a connection for each request.
#[derive(Clone, Debug)]
pub(crate) struct EntryClient {
    address: SocketAddr,
    timeout: Duration,
}

/// HTTP response with its complete body.
struct EntryResponse {
    status: StatusCode,
    body: Bytes,
}

/// Body of an error response to a request that the entry did not process.
#[derive(Debug, Deserialize)]
struct ErrorBody {
    kind: String,
    message: String,
}

/// Body of a control replica's refusal of an order.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct OrderErrorBody {
    error: String,
}

/// Error kind of an entry that forwarded nothing, for example because no leader is known.
const NOT_SENT_KIND: &str = "not_sent";

/// Failure of an exchange, by its effect on the request.
enum ExchangeError {
    /// The request was not sent, or the entry did not forward it; it has no effect.
    NotSent(String),
    /// The request may have been sent and may have taken effect.
    Lost(String),
}

impl EntryClient {
    pub(crate) fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { address, timeout }
    }

    /// Sends a change, and resends it until a response arrives or the resends are used up.
    pub(crate) async fn submit(&self, change: &ChangeRequest) -> Result<ChangeResponse, CliError> {
        let body = Bytes::from(serde_json::to_vec(change)?);
        let mut delay = INITIAL_RESEND_DELAY;
        let mut lost = None;
        let mut failure = String::new();
        for attempt in 0..=CHANGE_RESEND_COUNT {
            match self.submit_once(body.clone()).await {
                Ok(response) => return Ok(response),
                Err(ExchangeError::NotSent(reason)) => failure = reason,
                Err(ExchangeError::Lost(reason)) => lost = Some(reason),
            }
            if attempt < CHANGE_RESEND_COUNT {
                time::sleep(delay).await;
                delay *= 2;
            }
        }
        // After one lost response the change may have taken effect, even if no resend was sent.
        match lost {
            Some(reason) => {
                Err(CliError::ResponseLost { change_id: change.change_id.clone(), reason })
            }
            None => Err(self.not_reachable_error(failure)),
        }
    }

    async fn submit_once(&self, body: Bytes) -> Result<ChangeResponse, ExchangeError> {
        let response = self.exchange(Method::POST, "/v1/changes", body).await?;
        parse_change_response(&response)
    }

    /// Returns the status of a change; `known` is false if the entry has no information about it.
    pub(crate) async fn change_status(&self, change_id: &str) -> Result<ChangeStatus, CliError> {
        let path = format!("/v1/changes/{}", encode_segment(change_id));
        match self.read(&path).await? {
            Some(status) => Ok(status),
            None => Ok(ChangeStatus {
                known: false,
                answer: None,
                in_force_everywhere: false,
                missing_nodes: Vec::new(),
            }),
        }
    }

    /// Returns a record, or `None` if it is not in force.
    pub(crate) async fn record(
        &self,
        kind: &str,
        name: &str,
    ) -> Result<Option<StoredRecord>, CliError> {
        let path = format!("/v1/records/{}/{}", encode_segment(kind), encode_segment(name));
        self.read(&path).await
    }

    /// Returns all records of a kind.
    pub(crate) async fn records(&self, kind: &str) -> Result<RecordList, CliError> {
        let path = format!("/v1/records/{}", encode_segment(kind));
        Ok(self.read(&path).await?.unwrap_or(RecordList { records: Vec::new() }))
    }

    /// Reads the document at `path`, or returns `None` if the entry responds with status 404.
    pub(crate) async fn read<Document>(&self, path: &str) -> Result<Option<Document>, CliError>
    where
        Document: DeserializeOwned,
    {
        let response = match self.exchange(Method::GET, path, Bytes::new()).await {
            Ok(response) => response,
            Err(ExchangeError::NotSent(reason)) => return Err(self.not_reachable_error(reason)),
            Err(ExchangeError::Lost(reason)) => {
                return Err(CliError::UnusableResponse { address: self.address, reason });
            }
        };
        if response.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let status = response.status.as_u16();
        if response.status.is_server_error() {
            let (address, reason) = (self.address, response.text());
            return Err(CliError::Unavailable { address, status, reason });
        }
        if !response.status.is_success() {
            return Err(CliError::ReadRefused { status, reason: response.text() });
        }
        serde_json::from_slice(&response.body).map(Some).map_err(|error| {
            CliError::UnusableResponse {
                address: self.address,
                reason: format!("cannot parse the response to {path}: {error}"),
            }
        })
    }

    /// Sends an order without a body, and resends it until it is acknowledged or refused or the resends
    /// are used up. Resending is safe, because a repeated order has the effect of a single one.
    pub(crate) async fn order(&self, method: Method, path: &str) -> Result<(), CliError> {
        let address = self.address;
        let mut delay = INITIAL_RESEND_DELAY;
        let mut attempt = 0;
        let mut may_have_taken_effect = false;
        loop {
            let failure = match self.exchange(method.clone(), path, Bytes::new()).await {
                Ok(response) => match order_outcome(address, &response) {
                    Ok(()) => return Ok(()),
                    Err(error @ CliError::OrderRefused { .. }) => return Err(error),
                    Err(error) => error,
                },
                Err(ExchangeError::NotSent(reason)) => self.not_reachable_error(reason),
                Err(ExchangeError::Lost(reason)) => CliError::OrderLost { address, reason },
            };
            may_have_taken_effect |= matches!(failure, CliError::OrderLost { .. });
            if attempt == CHANGE_RESEND_COUNT {
                return Err(match failure {
                    CliError::OrderLost { .. } => failure,
                    _ if may_have_taken_effect => {
                        CliError::OrderLost { address, reason: failure.to_string() }
                    }
                    _ => failure,
                });
            }
            attempt += 1;
            time::sleep(delay).await;
            delay *= 2;
        }
    }

    async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<EntryResponse, ExchangeError> {
        let connecting = time::timeout(self.timeout, TcpStream::connect(self.address));
        let stream = match connecting.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(ExchangeError::NotSent(error.to_string())),
            Err(_) => return Err(ExchangeError::NotSent(self.timeout_message())),
        };
        match time::timeout(self.timeout, self.send(stream, method, path, body)).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(reason)) => Err(ExchangeError::Lost(reason)),
            Err(_) => Err(ExchangeError::Lost(self.timeout_message())),
        }
    }

    async fn send(
        &self,
        stream: TcpStream,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<EntryResponse, String> {
        let (mut sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(|error| error.to_string())?;
        // The connection task ends when the sender is dropped. The pending request also returns the
        // errors of the connection, so the result of the task is not needed.
        tokio::spawn(connection);
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, self.address.to_string())
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| error.to_string())?;
        let response = sender.send_request(request).await.map_err(|error| error.to_string())?;
        let status = response.status();
        let body = Limited::new(response.into_body(), RESPONSE_LIMIT_BYTES);
        let body = body.collect().await.map_err(|error| error.to_string())?.to_bytes();
        Ok(EntryResponse { status, body })
    }

    fn not_reachable_error(&self, reason: String) -> CliError {
        CliError::NotReachable { address: self.address, reason }
    }

    fn timeout_message(&self) -> String {
        format!("no response within {} s", self.timeout.as_secs())
    }
}

impl EntryResponse {
    fn error_body(&self) -> Option<ErrorBody> {
        serde_json::from_slice(&self.body).ok()
    }

    /// Returns the message of the error body, or else the body as text.
    fn text(&self) -> String {
        match self.error_body() {
            Some(error_body) => error_body.message,
            None => String::from_utf8_lossy(&self.body).trim().to_owned(),
        }
    }
}

/// Returns the outcome of an order by the status of its response. Nothing was stored if the replica
/// cannot answer now, while a gateway timeout leaves the outcome open.
fn order_outcome(address: SocketAddr, response: &EntryResponse) -> Result<(), CliError> {
    let status = response.status.as_u16();
    match response.status {
        success if success.is_success() => Ok(()),
        StatusCode::SERVICE_UNAVAILABLE => {
            let reason = "no leader answers, and nothing was stored".to_owned();
            Err(CliError::Unavailable { address, status, reason })
        }
        StatusCode::NOT_FOUND => {
            let reason =
                "the deployment has no evacuations; set an evacuation time for it".to_owned();
            Err(CliError::OrderRefused { status, reason })
        }
        error if error.is_client_error() => {
            let body = serde_json::from_slice::<OrderErrorBody>(&response.body);
            let reason = body.map_or_else(|_| response.text(), |body| body.error);
            Err(CliError::OrderRefused { status, reason })
        }
        _ => Err(CliError::OrderLost { address, reason: format!("HTTP status {status}") }),
    }
}

/// Parses the response to a change. A status 4xx with any other body also counts as a refusal.
fn parse_change_response(response: &EntryResponse) -> Result<ChangeResponse, ExchangeError> {
    if let Ok(response) = serde_json::from_slice(&response.body) {
        return Ok(response);
    }
    let status = response.status.as_u16();
    let error_body = response.error_body();
    if error_body.as_ref().is_some_and(|error_body| error_body.kind == NOT_SENT_KIND) {
        return Err(ExchangeError::NotSent(response.text()));
    }
    if !response.status.is_client_error() {
        return Err(ExchangeError::Lost(format!("HTTP status {status}: {}", response.text())));
    }
    let kind = error_body.map_or_else(|| format!("http_{status}"), |error_body| error_body.kind);
    Ok(ChangeResponse::Refused { kind, message: response.text(), current_generation: None })
}

/// Percent-encodes a path segment: all bytes except the unreserved characters of RFC 3986.
pub(crate) fn encode_segment(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'.' | b'~' => {
                encoded.push(byte.into());
            }
            _ => encoded.push_str(&format!("%{byte:02X}")),
        }
    }
    encoded
}
