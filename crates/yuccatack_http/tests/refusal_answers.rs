//! Guards against refusals that a client cannot tell from a handled request, and against requests
//! within the limits that are refused or lose their connection.

#![allow(clippy::unwrap_used, missing_docs)]

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use yuccatack_http::HttpMetrics;
use yuccatack_http::prelude::*;
use yuccatack_lifecycle::{ShutdownTrigger, shutdown_channel};

const MAX_BODY_BYTES: usize = 100_000;

/// Responds with the length of the body, after 3 s if the path says so.
async fn answer(request: Request<RequestBody>) -> HttpResponse {
    let is_slow = request.uri().path() == "/slow";
    match request.into_body().read().await {
        Ok(body) => {
            if is_slow {
                tokio::time::sleep(Duration::from_secs(3)).await;
            }
            Response::new(Full::new(Bytes::from(format!("length {}", body.len()))))
        }
        Err(refusal) => {
            let mut response = Response::new(Full::new(Bytes::new()));
            *response.status_mut() = refusal.status();
            response
        }
    }
}

async fn start(limits: ProcessLimits) -> (SocketAddr, ShutdownTrigger) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let guard = Guard::spawn(limits, HttpMetrics::default());
    let (_, server_limits) = watch::channel(ServerLimits::new(MAX_BODY_BYTES));
    let (trigger, shutdown) = shutdown_channel();
    let drain =
        DrainTimes { accept_duration: Duration::ZERO, finish_timeout: Duration::from_secs(1) };
    tokio::spawn(serve(listener, guard, server_limits, answer, shutdown, drain));
    (address, trigger)
}

fn request(path: &str, body: &str) -> String {
    format!("PUT {path} HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n{body}", body.len())
}

/// Reads the next part of a response.
async fn read(stream: &mut TcpStream) -> String {
    let mut buffer = vec![0; 4096];
    let count = stream.read(&mut buffer).await.unwrap_or_default();
    String::from_utf8_lossy(&buffer[..count]).into_owned()
}

async fn send(address: SocketAddr, text: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    read(&mut stream).await
}

#[tokio::test]
async fn refusals_named() {
    let (address, _trigger) = start(ProcessLimits::default()).await;
    let announced = "PUT / HTTP/1.1\r\nhost: x\r\ncontent-length: 100001\r\n\r\n";
    assert!(send(address, announced).await.starts_with("HTTP/1.1 413"));
    let fields = ",".repeat(60_000);
    let many_fields =
        format!("PUT / HTTP/1.1\r\nhost: x\r\ncontent-length: 300\r\n\r\n{}", "[".repeat(300));
    assert!(send(address, &many_fields).await.starts_with("HTTP/1.1 400"));
    assert!(send(address, &request("/", &fields)).await.starts_with("HTTP/1.1 200"));
    assert_eq!(StatusCode::SERVICE_UNAVAILABLE, Refusal::NoMemory.status());
}

#[tokio::test]
async fn connection_kept() {
    let (address, _trigger) = start(ProcessLimits::default()).await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    for length in [0, 1, 5_000, MAX_BODY_BYTES] {
        stream.write_all(request("/", &"x".repeat(length)).as_bytes()).await.unwrap();
        let response = read(&mut stream).await;
        assert!(response.ends_with(&format!("length {length}")), "{length}: {response}");
    }
}

#[tokio::test]
async fn retry_stated() {
    // The request in progress holds most of the budget, for its body and for what is decoded from it,
    // and it may not be cut off.
    let limits = ProcessLimits { budget_bytes: 192 * 1024, ..ProcessLimits::default() };
    let (address, _trigger) = start(limits).await;
    let body = "x".repeat(60_000);
    let mut slow = TcpStream::connect(address).await.unwrap();
    slow.write_all(request("/slow", &body).as_bytes()).await.unwrap();
    tokio::time::sleep(Duration::from_millis(300)).await;
    let refused = send(address, &request("/", &body)).await;
    assert!(refused.starts_with("HTTP/1.1 503") && refused.contains("retry-after"), "{refused}");
    let small = send(address, &request("/", "small")).await;
    assert!(small.ends_with("length 5"), "{small}");
    assert!(read(&mut slow).await.ends_with("length 60000"));
}
