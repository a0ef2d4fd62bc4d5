//! Closed-loop and open-loop load generators.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use yuccatack_core::prelude::*;

use crate::common::SERVICE;

/// Outcomes and latencies that callers measured.
pub struct Report {
    pub latency_us: Histogram<u64>,
    pub completed: u64,
    /// Completed requests whose response arrived before the end of the load.
    pub completed_in_span: u64,
    pub refused: u64,
    pub unknown: u64,
    pub elapsed: Duration,
}

impl Report {
    pub fn new() -> Self {
        Self {
            latency_us: Histogram::new(3).unwrap(),
            completed: 0,
            completed_in_span: 0,
            refused: 0,
            unknown: 0,
            elapsed: Duration::ZERO,
        }
    }

    pub fn add(&mut self, other: Self) {
        self.latency_us.add(other.latency_us).unwrap();
        self.completed += other.completed;
        self.completed_in_span += other.completed_in_span;
        self.refused += other.refused;
        self.unknown += other.unknown;
        self.elapsed += other.elapsed;
    }

    fn record(&mut self, status: u16, latency: Duration) {
        match status {
            200 => {
                self.completed += 1;
                self.latency_us.record(latency.as_micros() as u64).unwrap();
            }
            504 => self.unknown += 1,
            _ => self.refused += 1,
        }
    }
}

type Connection = SendRequest<Full<Bytes>>;

async fn connect(address: SocketAddr) -> Connection {
    let stream = TcpStream::connect(address).await.unwrap();
    stream.set_nodelay(true).unwrap();
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.unwrap();
    tokio::spawn(connection);
    sender
}

/// Names of the organisations, as many as in each example deployment.
pub const ORGANISATIONS: [&str; 4] = ["one", "two", "three", "four"];

async fn call(
    connection: &mut Connection,
    organisation: &str,
    class: &str,
    deadline: Duration,
) -> u16 {
    let request = Request::post(format!("/v1/requests/{SERVICE}/score"))
        .header("host", "callers")
        .header("yuccatack-organisation", organisation)
        .header("yuccatack-idempotent", "true")
        .header("yuccatack-class", class)
        .header("yuccatack-deadline-ms", deadline.as_millis().to_string())
        .body(Full::new(Bytes::from_static(&[b'x'; 512])))
        .unwrap();
    connection.ready().await.unwrap();
    let response = connection.send_request(request).await.unwrap();
    let status = response.status().as_u16();
    response.into_body().collect().await.unwrap();
    status
}

/// Runs callers that each send the next request after the response to the previous one.
pub async fn closed_loop(address: SocketAddr, concurrency: usize, span: Duration) -> Report {
    let started = Instant::now();
    let callers = (0..concurrency).map(|_| {
        tokio::spawn(async move {
            let mut report = Report::new();
            let mut connection = connect(address).await;
            while started.elapsed() < span {
                let sent = Instant::now();
                let status = call(&mut connection, "one", "standard", Duration::from_secs(5)).await;
                report.record(status, sent.elapsed());
            }
            report
        })
    });
    let callers: Vec<_> = callers.collect();
    let mut total = Report::new();
    for caller in callers {
        total.add(caller.await.unwrap());
    }
    total.elapsed = started.elapsed();
    total
}

/// Parameters of an open-loop load, which does not wait for responses.
#[derive(Clone, Copy)]
pub struct OfferedLoad {
    pub rate_per_s: f64,
    pub span: Duration,
    pub deadline: Duration,
}

/// Returns the priority class of a request: 4% are urgent, 56% standard and 40% batch. Urgent
/// requests then need 40% of the capacity at ten times the load that the minions can answer.
fn class_of(number: u64) -> PriorityClass {
    match number % 25 {
        0 => PriorityClass::Urgent,
        1..=14 => PriorityClass::Standard,
        _ => PriorityClass::Batch,
    }
}

fn class_name(class: PriorityClass) -> &'static str {
    match class {
        PriorityClass::Urgent => "urgent",
        PriorityClass::Standard => "standard",
        PriorityClass::Batch => "batch",
    }
}

/// Sends requests at a fixed rate, each on a connection with no other request in flight.
pub async fn open_loop(
    address: SocketAddr,
    offered: OfferedLoad,
) -> BTreeMap<PriorityClass, Report> {
    let (idle_sender, mut idle) = mpsc::unbounded_channel::<Connection>();
    let (result_sender, mut results) = mpsc::unbounded_channel();
    let started = Instant::now();
    let total = (offered.rate_per_s * offered.span.as_secs_f64()) as u64;
    for number in 0..total {
        let due = started + Duration::from_secs_f64(number as f64 / offered.rate_per_s);
        tokio::time::sleep_until(due.into()).await;
        let class = class_of(number);
        let connection = idle.try_recv().ok();
        let (idle_sender, result_sender) = (idle_sender.clone(), result_sender.clone());
        tokio::spawn(async move {
            let mut connection = match connection {
                Some(connection) => connection,
                None => connect(address).await,
            };
            let organisation = ORGANISATIONS[(number / 25) as usize % ORGANISATIONS.len()];
            let class_name = class_name(class);
            let status = call(&mut connection, organisation, class_name, offered.deadline).await;
            // The latency is measured from the scheduled time, so that it includes a delayed start.
            let in_span = started.elapsed() < offered.span;
            let _ = result_sender.send((class, status, due.elapsed(), in_span));
            let _ = idle_sender.send(connection);
        });
    }
    drop(result_sender);
    let mut reports = BTreeMap::new();
    while let Some((class, status, latency, in_span)) = results.recv().await {
        let report = reports.entry(class).or_insert_with(Report::new);
        report.record(status, latency);
        report.completed_in_span += u64::from(status == 200 && in_span);
    }
    reports
}
