//! The HTTP endpoint for metrics and health.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use serde::Serialize;
use snafu::{ResultExt, Snafu};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use yuccatack_lifecycle::{Shutdown, ShutdownPhase};

use crate::{BurnReport, Metrics};

/// How long a client may take to send the head of a request.
const HEADER_READ_LIMIT: Duration = Duration::from_secs(5);

/// The pause after a failed accept, for example when the process has no free file descriptor.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Whether the process can do its work, as `/ready` reports it.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Readiness {
    /// Whether the process can do its work.
    pub ready: bool,
    /// Why not, for an operator.
    pub reasons: Vec<String>,
}

/// Why the endpoint could not start.
#[derive(Debug, Snafu)]
pub enum MetricsServerError {
    /// The address is not available.
    #[snafu(display(
        "cannot listen at the metrics address {address}: {source}; change `metrics_address`"
    ))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the operating system said.
        source: io::Error,
    },
}

/// Serves `/metrics`, `/health`, `/ready` and, if a reporter publishes there, `/burn`.
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
    /// Listens at `address`.
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

    /// The address at which the server listens.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves until the process aborts; a draining process still answers, so that its progress can
    /// be seen.
    pub async fn run(self, mut shutdown: Shutdown) {
        let connections = GracefulShutdown::new();
        loop {
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                () = shutdown.wait_for(ShutdownPhase::Aborting) => break,
            };
            match accepted {
                Ok((stream, _)) => serve(stream, self.content.clone(), &connections),
                Err(error) => {
                    log::warn!(event = "metrics_accept_failed", error:% = error; "cannot accept");
                    tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                }
            }
        }
        connections.shutdown().await;
    }
}

fn serve(stream: TcpStream, content: Content, connections: &GracefulShutdown) {
    let service = service_fn(move |request| {
        let response = content.respond(&request);
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_READ_LIMIT)
        .serve_connection(TokioIo::new(stream), service);
    let connection = connections.watch(connection);
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!(event = "metrics_connection_failed", error:% = error; "connection ended");
        }
    });
}

impl Content {
    fn respond(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
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
