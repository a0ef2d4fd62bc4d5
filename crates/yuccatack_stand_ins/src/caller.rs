//! HTTP client of an entry in the role of a caller or operator; opens one connection per call.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// HTTP response of an entry, with its complete body.
#[derive(Clone, Debug)]
pub struct CallerResponse {
    /// HTTP status of the response.
    pub status: StatusCode,
    /// Names, in lower case, and values of the headers, in order.
    pub headers: Vec<(String, String)>,
    /// Response body; empty if there is none.
    pub body: Bytes,
}

impl CallerResponse {
    /// Returns the value of the first header with this lower-case name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// Returns the value of the header `yuccatack-outcome`.
    pub fn outcome(&self) -> Option<&str> {
        self.header("yuccatack-outcome")
    }

    /// Parses the body as JSON; returns null if it is not valid JSON.
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
    /// Creates a caller of the entry at this address, with a timeout of 10 s for each call.
    pub fn new(entry_address: SocketAddr) -> Self {
        Self { entry_address, timeout: Duration::from_secs(10) }
    }

    /// Sets the timeout of a call, from connecting to the end of the response body.
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sends a `GET` request without a body.
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

    /// Sends a non-idempotent request with an idempotency key.
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

    /// Sends a request and waits for the complete response. Fails with `TimedOut` after
    /// the timeout.
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
        let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
            .await
            .map_err(to_io_error)?;
        let connection = tokio::spawn(connection);
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", self.entry_address.to_string());
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body)).map_err(io::Error::other)?;
        let response = sender.send_request(request).await.map_err(to_io_error)?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.map_err(to_io_error)?.to_bytes();
        drop(sender);
        connection.abort();
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

fn to_io_error(error: hyper::Error) -> io::Error {
    io::Error::other(error)
}
