//! Accept loop, connections and graceful drain of one server.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::body::{Body as _, Incoming};
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, watch};
use tokio::time::{Instant, sleep_until, timeout};
use yuccatack_lifecycle::{Shutdown, ShutdownPhase};

use crate::body::RequestBody;
use crate::budget::Reservation;
use crate::connection::Connection;
use crate::guard::Guard;
use crate::limits::ServerLimits;
use crate::metrics::Refusal;
use crate::stream::ClientStream;
use crate::victims::Phase;

/// Response of a handler.
pub type HttpResponse = Response<Full<Bytes>>;

/// Delay after a failed accept, so that a lack of file descriptors does not make the loop spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Smallest buffer that the HTTP library permits.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Maximum number of headers of a request.
const MAX_HEADER_COUNT: usize = 100;

/// Size of a response from which its memory is reserved.
const LARGE_RESPONSE_BYTES: u64 = 4 * 1024;

/// Delay after which a client that was refused for lack of room may try again, in seconds.
const RETRY_AFTER_S: HeaderValue = HeaderValue::from_static("1");

/// Durations of the two phases of a server's drain.
#[derive(Clone, Copy, Debug)]
pub struct DrainTimes {
    /// Time for which connections are accepted and kept open after the shutdown begins.
    pub accept_duration: Duration,
    /// Time limit for the requests that are in flight after that.
    pub finish_timeout: Duration,
}

/// Serves connections until the shutdown begins, then drains them within the limits of `drain`.
///
/// New connections and requests follow the current value of `limits`.
pub async fn serve<Handler, Handled>(
    listener: TcpListener,
    guard: Guard,
    limits: watch::Receiver<ServerLimits>,
    handler: Handler,
    mut shutdown: Shutdown,
    drain: DrainTimes,
) where
    Handler: Fn(Request<RequestBody>) -> Handled + Clone + Send + 'static,
    Handled: Future<Output = HttpResponse> + Send,
{
    let connections = GracefulShutdown::new();
    let mut closes_at: Option<Instant> = None;
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shutdown.wait_for(ShutdownPhase::Draining), if closes_at.is_none() => {
                closes_at = Some(Instant::now() + drain.accept_duration);
                continue;
            }
            () = wait_until(closes_at) => break,
        };
        let (stream, peer) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!(
                    event = "accept_failed";
                    "cannot accept a connection; retrying after {ACCEPT_RETRY_DELAY:?}: {error}"
                );
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let Some(permit) = guard.admit_connection().await else { continue };
        let accepted = Accepted { stream, peer, permit, limits: limits.clone() };
        accepted.spawn(&guard, handler.clone(), &shutdown, &connections).await;
    }
    drop(listener);
    if timeout(drain.finish_timeout, connections.shutdown()).await.is_err() {
        log::warn!(event = "requests_cut"; "the drain timed out; requests in flight are cut off");
    }
}

async fn wait_until(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => sleep_until(deadline).await,
        None => std::future::pending().await,
    }
}

struct Accepted {
    stream: TcpStream,
    peer: SocketAddr,
    permit: OwnedSemaphorePermit,
    limits: watch::Receiver<ServerLimits>,
}

impl Accepted {
    async fn spawn<Handler, Handled>(
        self,
        guard: &Guard,
        handler: Handler,
        shutdown: &Shutdown,
        connections: &GracefulShutdown,
    ) where
        Handler: Fn(Request<RequestBody>) -> Handled + Clone + Send + 'static,
        Handled: Future<Output = HttpResponse> + Send,
    {
        let Self { stream, peer, permit, limits } = self;
        // Otherwise Nagle's algorithm holds a response back until the previous one is acknowledged.
        let _ = stream.set_nodelay(true);
        let current = *limits.borrow();
        let connection = Connection::new(peer.ip(), current);
        guard.register(&connection).await;
        let (guard, shutdown) = (guard.clone(), shutdown.clone());
        let shared = Arc::clone(&connection);
        let service = service_fn(move |request: Request<Incoming>| {
            shared.enter(Phase::Handling);
            let limits = *limits.borrow();
            let (shared, guard) = (Arc::clone(&shared), guard.clone());
            let request = request
                .map(|body| RequestBody::new(body, Arc::clone(&shared), guard.clone(), limits));
            let response = handler(request);
            let shutdown = shutdown.clone();
            async move {
                let mut response = reserve_response(response.await, &guard, &shared).await;
                if shared.take_may_retry() {
                    response.headers_mut().insert(RETRY_AFTER, RETRY_AFTER_S);
                }
                if shutdown.phase() != ShutdownPhase::Running {
                    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                shared.enter(Phase::Response);
                Ok::<_, Infallible>(response)
            }
        });
        let buffer_bytes = current.max_header_bytes.max(MIN_BUFFER_BYTES);
        // The registry keeps the time limits of heads and of idle connections.
        let served = hyper::server::conn::http1::Builder::new()
            .max_buf_size(buffer_bytes)
            .max_headers(MAX_HEADER_COUNT)
            .header_read_timeout(None)
            .serve_connection(
                TokioIo::new(ClientStream::new(stream, Arc::clone(&connection))),
                service,
            );
        let served = connections.watch(served);
        tokio::spawn(async move {
            let _permit = permit;
            tokio::select! {
                // First, so that no request begins on a connection that was chosen to be closed.
                biased;
                () = connection.closed() => {}
                result = served => if let Err(error) = result {
                    log::debug!(
                        event = "connection_failed";
                        "connection closed with an error: {error}"
                    );
                },
            }
        });
    }
}

/// Response whose memory is reserved until the client has taken it.
struct ReservedBytes {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reserves the memory of a large response, or replaces it by a refusal.
async fn reserve_response(
    response: HttpResponse,
    guard: &Guard,
    connection: &Arc<Connection>,
) -> HttpResponse {
    let length = response.body().size_hint().lower();
    if length < LARGE_RESPONSE_BYTES {
        return response;
    }
    let length = usize::try_from(length).unwrap_or(usize::MAX);
    match guard.reserve(length, connection).await {
        Ok(reservation) => {
            let (head, body) = response.into_parts();
            let Ok(collected) = body.collect().await;
            let bytes = collected.to_bytes();
            let reserved = ReservedBytes { bytes, _reservation: reservation };
            Response::from_parts(head, Full::new(Bytes::from_owner(reserved)))
        }
        Err(refusal) => {
            guard.count(refusal);
            refusal_response(refusal)
        }
    }
}

/// Builds the response to a request that is refused.
fn refusal_response(refusal: Refusal) -> HttpResponse {
    let mut response = Response::new(Full::new(Bytes::new()));
    *response.status_mut() = refusal.status();
    if refusal.status() == StatusCode::SERVICE_UNAVAILABLE {
        response.headers_mut().insert(RETRY_AFTER, RETRY_AFTER_S);
    }
    response
}

impl From<Refusal> for HttpResponse {
    fn from(refusal: Refusal) -> Self {
        refusal_response(refusal)
    }
}
