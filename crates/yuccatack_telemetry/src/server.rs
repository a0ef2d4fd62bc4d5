//! HTTP endpoint for metrics, health and the burn report.

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

/// Time limit for a client to send the header of a request.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay after a failed accept, for example when the process has no free file descriptor.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

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
        let connections = GracefulShutdown::new();
        loop {
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                () = shutdown.wait_for(ShutdownPhase::Aborting) => break,
            };
            match accepted {
                Ok((stream, _)) => serve(stream, self.content.clone(), &connections),
                Err(error) => {
                    log::warn!(
                        event = "metrics_accept_failed", error:% = error;
                        "cannot accept a connection to the metrics address; retrying after \
                         {ACCEPT_RETRY_DELAY:?}"
                    );
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
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
        .header_read_timeout(HEADER_READ_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    let connection = connections.watch(connection);
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!(
                event = "metrics_connection_failed", error:% = error;
                "connection to the metrics address closed with an error"
            );
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
