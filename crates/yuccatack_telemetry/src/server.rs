//! HTTP endpoint for metrics, health and the burn report.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::CONTENT_TYPE;
use hyper::{Method, Request, Response, StatusCode};
use serde::Serialize;
use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;
use tokio::sync::watch;
use yuccatack_http::{DrainTimes, Guard, HttpMetrics, ProcessLimits, RequestBody, ServerLimits};
use yuccatack_lifecycle::{Shutdown, ShutdownPhase, shutdown_channel};

use crate::{BurnReport, Metrics};

/// Limits of the endpoint, which serves a few observers. A report takes some hundred kilobytes.
const LIMITS: ProcessLimits = ProcessLimits {
    budget_bytes: 4 * 1024 * 1024,
    connection_count: 32,
    connections_per_address: 28,
};

/// Maximum size of a body; no path takes one.
const MAX_BODY_BYTES: usize = 1_024;

/// Time limit for responses in progress when the process aborts.
const FINISH_TIMEOUT: Duration = Duration::from_secs(1);

/// Readiness of the process, as `/ready` reports it.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Readiness {
    /// `true` if the process can do its work.
    pub ready: bool,
    /// Reasons for not being ready, for an operator; empty if the process is ready.
    pub reasons: Vec<String>,
}

/// Error of starting the endpoint.
#[derive(Debug, Snafu)]
pub enum MetricsServerError {
    /// The address is in use or does not belong to this machine.
    #[snafu(display(
        "cannot listen at the metrics address {address}: {source}; change `metrics_address`"
    ))]
    Listen {
        /// Address that could not be bound.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
}

/// Server of `/metrics`, `/health`, `/ready` and, if it has burn reports, `/burn`.
#[derive(Debug)]
pub struct MetricsServer {
    listener: TcpListener,
    content: Content,
}

#[derive(Clone, Debug)]
struct Content {
    metrics: Metrics,
    readiness: watch::Receiver<Readiness>,
    burn: Option<watch::Receiver<Arc<BurnReport>>>,
}

impl MetricsServer {
    /// Binds `address`; [`Self::run`] serves it.
    pub async fn bind(
        address: SocketAddr,
        metrics: Metrics,
        readiness: watch::Receiver<Readiness>,
    ) -> Result<Self, MetricsServerError> {
        let listener = TcpListener::bind(address).await.context(ListenSnafu { address })?;
        Ok(Self { listener, content: Content { metrics, readiness, burn: None } })
    }

    /// Also serves the reports that a [`BurnReporter`](crate::BurnReporter) publishes.
    pub fn with_burn_reports(mut self, reports: watch::Receiver<Arc<BurnReport>>) -> Self {
        self.content.burn = Some(reports);
        self
    }

    /// Returns the bound address, with the port that the system chose if none was given.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves until the process aborts. A draining process still responds, so that its progress can
    /// be observed.
    pub async fn run(self, mut shutdown: Shutdown) {
        // Apart from the limits of the process, so that a flood elsewhere does not hide the metrics.
        let guard = Guard::spawn(LIMITS, HttpMetrics::default());
        let (_, limits) = watch::channel(ServerLimits::new(MAX_BODY_BYTES));
        let content = self.content;
        let handler = move |request| {
            let response = content.respond(&request);
            async move { response }
        };
        let (trigger, aborting) = shutdown_channel();
        let drain = DrainTimes { accept_duration: Duration::ZERO, finish_timeout: FINISH_TIMEOUT };
        let server = yuccatack_http::serve(self.listener, guard, limits, handler, aborting, drain);
        let abort = async {
            shutdown.wait_for(ShutdownPhase::Aborting).await;
            trigger.advance(ShutdownPhase::Draining);
        };
        tokio::join!(server, abort);
    }
}

impl Content {
    fn respond(&self, request: &Request<RequestBody>) -> Response<Full<Bytes>> {
        if request.method() != Method::GET {
            return plain(StatusCode::METHOD_NOT_ALLOWED, "use GET\n");
        }
        match request.uri().path() {
            "/metrics" => self.metrics(),
            "/health" => plain(StatusCode::OK, "alive\n"),
            "/ready" => self.ready(),
            "/burn" => self.burn(),
            _ => plain(StatusCode::NOT_FOUND, "use /metrics, /health, /ready or /burn\n"),
        }
    }

    fn burn(&self) -> Response<Full<Bytes>> {
        match &self.burn {
            Some(reports) => json(StatusCode::OK, &**reports.borrow()),
            None => plain(StatusCode::NOT_FOUND, "this process counts no objectives\n"),
        }
    }

    fn metrics(&self) -> Response<Full<Bytes>> {
        match self.metrics.encode() {
            Ok(text) => respond(StatusCode::OK, Metrics::CONTENT_TYPE, text),
            Err(error) => plain(StatusCode::INTERNAL_SERVER_ERROR, &format!("{error}\n")),
        }
    }

    fn ready(&self) -> Response<Full<Bytes>> {
        let readiness = self.readiness.borrow().clone();
        let status = if readiness.ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        json(status, &readiness)
    }
}

fn plain(status: StatusCode, text: &str) -> Response<Full<Bytes>> {
    respond(status, "text/plain; charset=utf-8", text.to_owned())
}

fn json<Body>(status: StatusCode, body: &Body) -> Response<Full<Bytes>>
where
    Body: Serialize,
{
    match serde_json::to_string(body) {
        Ok(text) => respond(status, "application/json", text),
        Err(error) => plain(StatusCode::INTERNAL_SERVER_ERROR, &format!("{error}\n")),
    }
}

fn respond(status: StatusCode, content_type: &'static str, text: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    let content_type = hyper::header::HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
