//! HTTP calls to an entry.

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
use crate::message::{ChangeAnswer, ChangeRequest, ChangeStatus, RecordList, StoredRecord};

/// The largest response that is read; a list of 10,000 records of 2 KB fits.
const RESPONSE_LIMIT_BYTES: usize = 64 * 1024 * 1024;

/// Resends of a change whose answer was lost. They are safe: the change id makes them one change.
const CHANGE_RESEND_COUNT: u32 = 3;

/// The pause before the first resend; each further one is twice as long.
const RESEND_PAUSE: Duration = Duration::from_millis(250);

/// Calls one entry.
#[derive(Clone, Debug)]
pub(crate) struct EntryClient {
    address: SocketAddr,
    timeout: Duration,
}

/// A response with its whole body.
struct Answer {
    status: StatusCode,
    body: Bytes,
}

/// The body of a response that refuses the call itself.
#[derive(Debug, Deserialize)]
struct CallProblem {
    kind: String,
    message: String,
}

/// The kind by which an entry tells that it sent nothing on, for example without a leader.
const NOT_SENT_KIND: &str = "not_sent";

/// Where an exchange failed.
enum ExchangeError {
    /// No connection was made, so nothing was sent.
    NotSent(String),
    /// Something may have been sent.
    Lost(String),
}

impl EntryClient {
    pub(crate) fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { address, timeout }
    }

    /// Sends a change until it is answered or the resends are used up.
    pub(crate) async fn submit(&self, change: &ChangeRequest) -> Result<ChangeAnswer, CliError> {
        let body = Bytes::from(serde_json::to_vec(change)?);
        let mut pause = RESEND_PAUSE;
        let mut lost = None;
        let mut failure = String::new();
        for attempt in 0..=CHANGE_RESEND_COUNT {
            match self.submit_once(body.clone()).await {
                Ok(answer) => return Ok(answer),
                Err(ExchangeError::NotSent(reason)) => failure = reason,
                Err(ExchangeError::Lost(reason)) => lost = Some(reason),
            }
            if attempt < CHANGE_RESEND_COUNT {
                time::sleep(pause).await;
                pause *= 2;
            }
        }
        // One lost answer is enough for doubt, whatever became of the resends.
        match lost {
            Some(reason) => {
                Err(CliError::AnswerLost { change_id: change.change_id.clone(), reason })
            }
            None => Err(self.not_reachable(failure)),
        }
    }

    async fn submit_once(&self, body: Bytes) -> Result<ChangeAnswer, ExchangeError> {
        let answer = self.exchange(Method::POST, "/v1/changes", body).await?;
        read_change_answer(&answer)
    }

    /// What is known about a change.
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

    /// One record, or `None` if it is not in force.
    pub(crate) async fn record(
        &self,
        kind: &str,
        name: &str,
    ) -> Result<Option<StoredRecord>, CliError> {
        let path = format!("/v1/records/{}/{}", encode_segment(kind), encode_segment(name));
        self.read(&path).await
    }

    /// All records of a kind.
    pub(crate) async fn records(&self, kind: &str) -> Result<RecordList, CliError> {
        let path = format!("/v1/records/{}", encode_segment(kind));
        Ok(self.read(&path).await?.unwrap_or(RecordList { records: Vec::new() }))
    }

    /// A document of the entry, or `None` if it has none at `path`.
    pub(crate) async fn read<Document>(&self, path: &str) -> Result<Option<Document>, CliError>
    where
        Document: DeserializeOwned,
    {
        let answer = match self.exchange(Method::GET, path, Bytes::new()).await {
            Ok(answer) => answer,
            Err(ExchangeError::NotSent(reason)) => return Err(self.not_reachable(reason)),
            Err(ExchangeError::Lost(reason)) => {
                return Err(CliError::NoAnswer { address: self.address, reason });
            }
        };
        if answer.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let status = answer.status.as_u16();
        if answer.status.is_server_error() {
            let (address, reason) = (self.address, answer.text());
            return Err(CliError::Unavailable { address, status, reason });
        }
        if !answer.status.is_success() {
            return Err(CliError::RefusedRead { status, reason: answer.text() });
        }
        serde_json::from_slice(&answer.body).map(Some).map_err(|error| CliError::NoAnswer {
            address: self.address,
            reason: format!("the response to {path} is not understood: {error}"),
        })
    }

    async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Answer, ExchangeError> {
        let connecting = time::timeout(self.timeout, TcpStream::connect(self.address));
        let stream = match connecting.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(ExchangeError::NotSent(error.to_string())),
            Err(_) => return Err(ExchangeError::NotSent(self.timed_out())),
        };
        match time::timeout(self.timeout, self.send(stream, method, path, body)).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(reason)) => Err(ExchangeError::Lost(reason)),
            Err(_) => Err(ExchangeError::Lost(self.timed_out())),
        }
    }

    async fn send(
        &self,
        stream: TcpStream,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Answer, String> {
        let (mut sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(|error| error.to_string())?;
        // The connection ends with the sender; its errors also reach the pending request.
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
        Ok(Answer { status, body })
    }

    fn not_reachable(&self, reason: String) -> CliError {
        CliError::NotReachable { address: self.address, reason }
    }

    fn timed_out(&self) -> String {
        format!("no response within {} s", self.timeout.as_secs())
    }
}

impl Answer {
    fn problem(&self) -> Option<CallProblem> {
        serde_json::from_slice(&self.body).ok()
    }

    /// What the entry says, for people.
    fn text(&self) -> String {
        match self.problem() {
            Some(problem) => problem.message,
            None => String::from_utf8_lossy(&self.body).trim().to_owned(),
        }
    }
}

/// Reads the response to a change; a 4xx that is no such response is a refusal all the same.
fn read_change_answer(answer: &Answer) -> Result<ChangeAnswer, ExchangeError> {
    if let Ok(answer) = serde_json::from_slice(&answer.body) {
        return Ok(answer);
    }
    let status = answer.status.as_u16();
    let problem = answer.problem();
    if problem.as_ref().is_some_and(|problem| problem.kind == NOT_SENT_KIND) {
        return Err(ExchangeError::NotSent(answer.text()));
    }
    if !answer.status.is_client_error() {
        return Err(ExchangeError::Lost(format!("HTTP status {status}: {}", answer.text())));
    }
    let kind = problem.map_or_else(|| format!("http_{status}"), |problem| problem.kind);
    Ok(ChangeAnswer::Refused { kind, message: answer.text(), current_generation: None })
}

/// Escapes everything in a path segment that is not plain.
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
