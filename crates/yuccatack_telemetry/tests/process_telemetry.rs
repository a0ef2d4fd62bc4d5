//! Guards against an endpoint that lacks a part, or that keeps running after the process aborts.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use support::{fast_rankings, organisation};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use yuccatack_lifecycle::{ShutdownPhase, shutdown_channel};
use yuccatack_telemetry::{BurnReport, Telemetry};

fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

async fn get(address: SocketAddr, path: &str) -> Option<String> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    let request = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut response = String::new();
    stream.read_to_string(&mut response).await.ok()?;
    Some(response)
}

#[tokio::test]
async fn endpoint_serves_all_parts() {
    let (trigger, shutdown) = shutdown_channel();
    let address = free_address();
    let mut telemetry = Telemetry::start(Some(address), shutdown).await.unwrap();
    telemetry.metrics.objectives.set_objectives(&[fast_rankings()], &[organisation("selangor")]);
    telemetry.burn_reports.changed().await.unwrap();
    assert!(get(address, "/metrics").await.unwrap().contains("yuccatack_view_age_seconds"));
    let burn = get(address, "/burn").await.unwrap();
    let body = burn.split_once("\r\n\r\n").unwrap().1;
    serde_json::from_str::<BurnReport>(body).unwrap();
    assert!(get(address, "/ready").await.unwrap().starts_with("HTTP/1.1 503"));
    telemetry.set_readiness(Vec::new());
    assert!(get(address, "/ready").await.unwrap().starts_with("HTTP/1.1 200"));
    telemetry.set_readiness(vec!["the view is older than 3 s".to_owned()]);
    assert!(get(address, "/ready").await.unwrap().contains("older than 3 s"));

    trigger.advance(ShutdownPhase::Aborting);
    let ended = async {
        while get(address, "/health").await.is_some() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(5), ended).await.unwrap();
}

#[tokio::test]
async fn no_address_no_endpoint() {
    let (_trigger, shutdown) = shutdown_channel();
    let mut telemetry = Telemetry::start(None, shutdown).await.unwrap();
    telemetry.burn_reports.changed().await.unwrap();
    telemetry.set_readiness(Vec::new());
}

#[tokio::test]
async fn unchanged_readiness_not_notified() {
    let (_trigger, shutdown) = shutdown_channel();
    let telemetry = Telemetry::start(None, shutdown).await.unwrap();
    telemetry.set_readiness(Vec::new());
    let mut watcher = telemetry.readiness.subscribe();
    telemetry.set_readiness(Vec::new());
    assert!(!watcher.has_changed().unwrap());
    telemetry.set_readiness(vec!["draining".to_owned()]);
    assert!(watcher.has_changed().unwrap());
    assert!(!watcher.borrow_and_update().ready);
}
