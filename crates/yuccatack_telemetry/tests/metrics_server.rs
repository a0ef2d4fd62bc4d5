//! Guards against an endpoint that reports the wrong readiness or lacks metrics.

#![allow(clippy::unwrap_used, missing_docs)]

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use yuccatack_core::prelude::*;
use yuccatack_lifecycle::{ShutdownPhase, ShutdownTrigger, shutdown_channel};
use yuccatack_telemetry::metrics::{RequestLabels, RequestOutcome};
use yuccatack_telemetry::{Metrics, MetricsServer, Readiness};

struct RunningServer {
    address: SocketAddr,
    metrics: Metrics,
    readiness: watch::Sender<Readiness>,
    trigger: ShutdownTrigger,
    task: tokio::task::JoinHandle<()>,
}

async fn start() -> RunningServer {
    let metrics = Metrics::new();
    let (readiness, receiver) = watch::channel(Readiness::default());
    let address = "127.0.0.1:0".parse().unwrap();
    let server = MetricsServer::bind(address, metrics.clone(), receiver).await.unwrap();
    let address = server.local_address().unwrap();
    let (trigger, shutdown) = shutdown_channel();
    let task = tokio::spawn(server.run(shutdown));
    RunningServer { address, metrics, readiness, trigger, task }
}

async fn get(address: SocketAddr, path: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).await.unwrap();
    response
}

#[tokio::test]
async fn ready_follows_state() {
    let server = start().await;
    assert!(get(server.address, "/health").await.starts_with("HTTP/1.1 200"));
    assert!(get(server.address, "/ready").await.starts_with("HTTP/1.1 503"));
    let reasons = vec!["the view is older than 3 s".to_owned()];
    server.readiness.send_replace(Readiness { ready: false, reasons });
    assert!(get(server.address, "/ready").await.contains("older than 3 s"));
    server.readiness.send_replace(Readiness { ready: true, reasons: Vec::new() });
    assert!(get(server.address, "/ready").await.starts_with("HTTP/1.1 200"));
    assert!(get(server.address, "/none").await.starts_with("HTTP/1.1 404"));
}

#[tokio::test]
async fn metrics_show_values() {
    let server = start().await;
    let labels = RequestLabels {
        organisation: OrganisationName::new("selangor").unwrap(),
        service: ServiceName::new("rankings").unwrap(),
        class: PriorityClass::Urgent,
    };
    let latency = Duration::from_millis(20);
    server.metrics.requests.observe(&labels, RequestOutcome::Completed, latency);
    let text = get(server.address, "/metrics").await;
    let line = "yuccatack_requests_total{organisation=\"selangor\",service=\"rankings\",\
                class=\"urgent\",outcome=\"completed\"} 1";
    assert!(text.contains(line), "{text}");
}

/// Guards against a server that outlives its process, and against one that stops before the drain
/// ends, so that the drain cannot be observed.
#[tokio::test]
async fn stops_on_abort() {
    let server = start().await;
    server.trigger.advance(ShutdownPhase::Draining);
    assert!(get(server.address, "/health").await.starts_with("HTTP/1.1 200"));
    server.trigger.advance(ShutdownPhase::Aborting);
    tokio::time::timeout(Duration::from_secs(5), server.task).await.unwrap().unwrap();
}

#[tokio::test]
async fn taken_address_named() {
    let server = start().await;
    let (_, receiver) = watch::channel(Readiness::default());
    let error = MetricsServer::bind(server.address, Metrics::new(), receiver).await.unwrap_err();
    assert!(error.to_string().contains("metrics_address"), "{error}");
}
