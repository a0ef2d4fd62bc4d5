//! A caller or operator that talks HTTP to an entry, one connection a call.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// What a caller got back.
#[derive(Clone, Debug)]
pub struct CallerResponse {
    /// The HTTP status.
    pub status: StatusCode,
    /// The headers as name and value.
    pub headers: Vec<(String, String)>,
    /// The whole body.
    pub body: Bytes,
}

impl CallerResponse {
    /// The first header with this lower-case name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// The value of the header `yuccatack-outcome`.
    pub fn outcome(&self) -> Option<&str> {
        self.header("yuccatack-outcome")
    }

    /// The body as JSON, or null.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or(serde_json::Value::Null)
    }
}

/// Sends calls to one entry.
#[derive(Clone, Debug)]
pub struct CallerStandIn {
    entry_address: SocketAddr,
    timeout: Duration,
}

impl CallerStandIn {
    /// A caller of the entry at this address that waits at most 10 s for an answer.
    pub fn new(entry_address: SocketAddr) -> Self {
        Self { entry_address, timeout: Duration::from_secs(10) }
    }

    /// Changes how long a call may take.
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Reads a resource.
    pub async fn get(&self, path: &str) -> io::Result<CallerResponse> {
        self.send(Method::GET, path, &[], Bytes::new()).await
    }

    /// Submits, changes or withdraws a record; `operation` is `submit`, `change` or `withdraw`.
    pub async fn change(
        &self,
        change_id: &str,
        operation: &str,
        replaces_generation: u64,
        record: serde_json::Value,
    ) -> io::Result<CallerResponse> {
        let document = serde_json::json!({
            "change_id": change_id,
            "operation": operation,
            "replaces_generation": replaces_generation,
            "record": record,
        });
        let headers = [("content-type", "application/json")];
        self.send(Method::POST, "/v1/changes", &headers, document.to_string().into()).await
    }

    /// Sends an idempotent request to a service.
    pub async fn request(
        &self,
        organisation: &str,
        service: &str,
        body: Bytes,
    ) -> io::Result<CallerResponse> {
        let headers = [("yuccatack-organisation", organisation), ("yuccatack-idempotent", "true")];
        self.send(Method::POST, &format!("/v1/requests/{service}"), &headers, body).await
    }

    /// Sends a non-idempotent request with a caller key.
    pub async fn request_with_key(
        &self,
        organisation: &str,
        service: &str,
        key: &str,
        body: Bytes,
    ) -> io::Result<CallerResponse> {
        let headers = [
            ("yuccatack-organisation", organisation),
            ("yuccatack-idempotent", "false"),
            ("yuccatack-key", key),
        ];
        self.send(Method::POST, &format!("/v1/requests/{service}"), &headers, body).await
    }

    /// Sends any call and waits for its whole answer.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> io::Result<CallerResponse> {
        tokio::time::timeout(self.timeout, self.exchange(method, path, headers, body))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
    }

    async fn exchange(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> io::Result<CallerResponse> {
        let stream = TcpStream::connect(self.entry_address).await?;
        stream.set_nodelay(true)?;
        let (mut sender, connection) =
            hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.map_err(to_io)?;
        let driver = tokio::spawn(connection);
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", self.entry_address.to_string());
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body)).map_err(io::Error::other)?;
        let response = sender.send_request(request).await.map_err(to_io)?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.map_err(to_io)?.to_bytes();
        drop(sender);
        driver.abort();
        let headers = head
            .headers
            .iter()
            .map(|(name, value)| {
                (name.as_str().to_owned(), String::from_utf8_lossy(value.as_bytes()).into_owned())
            })
            .collect();
        Ok(CallerResponse { status: head.status, headers, body })
    }
}

fn to_io(error: hyper::Error) -> io::Error {
    io::Error::other(error)
}
