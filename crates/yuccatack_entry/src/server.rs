//! The HTTP server for callers and operators.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use yuccatack_control_client::ControlClient;
use yuccatack_lifecycle::{Shutdown, ShutdownPhase};
use yuccatack_requests::answer_check::BodyCollector;
use yuccatack_requests::http_mapping::HttpResponse;
use yuccatack_requests::prelude::*;
use yuccatack_settings::EntrySettings;
use yuccatack_telemetry::Telemetry;
use yuccatack_view::ViewHandle;

use crate::balancer::service_record;
use crate::call::{CallContext, run_call};
use crate::caller::CallerRequest;
use crate::observe::{observe_request, request_labels};
use crate::operators::{self, OperatorResponse, OperatorRoute, error_response};
use crate::routes::Route;

/// Maximum size of the head of a request.
const HEAD_LIMIT_BYTES: usize = 32 * 1024;
/// Maximum number of headers of a request.
const HEADER_COUNT_LIMIT: usize = 100;

/// Number of bodies of the maximum size that the body memory holds at once.
const LARGEST_BODY_COUNT: u64 = 32;
/// Unit in which body memory is reserved.
const MEMORY_BLOCK_BYTES: usize = 1024;

fn body_memory_blocks(body_limit_bytes: u64) -> usize {
    let bytes = body_limit_bytes.saturating_mul(LARGEST_BODY_COUNT);
    let blocks = usize::try_from(bytes).unwrap_or(usize::MAX) / MEMORY_BLOCK_BYTES;
    blocks.min(Semaphore::MAX_PERMITS)
}

/// State that all connections share.
#[derive(Clone, Debug)]
pub struct ServerContext {
    /// Dispatch of requests to minions.
    pub call: CallContext,
    /// Local copy of the records and minions.
    pub view: ViewHandle,
    /// Client of the control leader, for the calls of operators.
    pub control: ControlClient,
    /// Metrics of requests, and the burn reports.
    pub telemetry: Telemetry,
    /// Maximum size of the body of a request.
    pub body_limit_bytes: u64,
    /// Timeout for receiving the head of a request, and again for its body.
    pub receive_timeout: Duration,
    /// Memory for the bodies of all requests in flight, in blocks of `MEMORY_BLOCK_BYTES`.
    pub body_memory: Arc<Semaphore>,
}

impl ServerContext {
    /// Creates the shared state with the limits from the settings.
    pub fn new(
        call: CallContext,
        view: ViewHandle,
        control: ControlClient,
        telemetry: Telemetry,
        settings: &EntrySettings,
    ) -> Self {
        Self {
            call,
            view,
            control,
            telemetry,
            body_limit_bytes: settings.body_limit_bytes,
            receive_timeout: Duration::from_millis(settings.receive_limit_ms),
            body_memory: Arc::new(Semaphore::new(body_memory_blocks(settings.body_limit_bytes))),
        }
    }
}

/// Serves one connection until it closes or the drain has completed its last request, and holds
/// `permit` until then.
pub async fn serve_connection(
    context: ServerContext,
    stream: TcpStream,
    mut shutdown: Shutdown,
    permit: OwnedSemaphorePermit,
) {
    let receive_timeout = context.receive_timeout;
    let service = service_fn(move |request| {
        let context = context.clone();
        async move { Ok::<_, Infallible>(respond(context, request).await) }
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(receive_timeout)
        .max_buf_size(HEAD_LIMIT_BYTES)
        .max_headers(HEADER_COUNT_LIMIT)
        .serve_connection(TokioIo::new(stream), service);
    let mut ended = tokio::select! {
        ended = &mut connection => Some(ended),
        () = shutdown.wait_for(ShutdownPhase::Draining) => None,
    };
    if ended.is_none() {
        Pin::new(&mut connection).graceful_shutdown();
        ended = Some((&mut connection).await);
    }
    if let Some(Err(error)) = ended {
        log::debug!(
            event = "caller_connection_ended";
            "connection of a caller ended with an error: {error}"
        );
        if error.is_timeout() {
            let parts = connection.into_parts();
            send_timeout_response(parts.io.into_inner(), &parts.read_buf).await;
        }
    }
    drop(permit);
}

/// Responds to a request whose head did not arrive in time. An idle connection, on which no byte of
/// a head has arrived, is closed without a response.
async fn send_timeout_response(mut stream: TcpStream, received: &[u8]) {
    if received.is_empty() {
        return;
    }
    let not_run = NotRun::retryable(
        NotRunReason::ReceiveTimeout,
        0,
        "the head of the request did not arrive whole within the limit",
    );
    let response = HttpResponse::from(Outcome::from(not_run));
    // The write fails if the caller has disconnected.
    let _ = stream.write_all(&response.to_bytes()).await;
    let _ = stream.shutdown().await;
}

async fn respond(context: ServerContext, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let route = Route::from_path(request.uri().path(), request.uri().query());
    let outcome = match route {
        Route::Request { service, minion_path } => {
            let (parts, body) = request.into_parts();
            let method = parts.method.as_str();
            match CallerRequest::decode(service, method, &minion_path, &parts.headers) {
                Ok(caller) => {
                    let received = Instant::now();
                    let labels = request_labels(&context.view.view(), &caller.content);
                    let telemetry = context.telemetry.clone();
                    let _in_flight = labels
                        .as_ref()
                        .map(|labels| telemetry.metrics.requests.start(&labels.service));
                    let outcome = run_request(context, caller, body).await;
                    observe_request(&telemetry, labels.as_ref(), &outcome, received.elapsed());
                    outcome
                }
                Err(not_run) => not_run.into(),
            }
        }
        Route::Operator(route) => {
            return operator_http_response(run_operator(&context, route, request).await);
        }
        Route::NotFound => return not_found(),
    };
    http_response(outcome.into())
}

async fn run_request(context: ServerContext, caller: CallerRequest, body: Incoming) -> Outcome {
    let default = service_record(&context.view.view(), &caller.content.service)
        .map(|record| record.default_deadline_ms);
    let deadline = caller.deadline_or(default);
    let mut caller = caller;
    let received = Instant::now();
    let body = match read_body(&context, body).await {
        Ok(body) => body,
        Err(not_run) => return not_run.into(),
    };
    caller.content.body = body.bytes;
    let remaining = deadline.saturating_sub(received.elapsed());
    // A separate task, so that the attempts already sent are followed to their end even if the
    // caller disconnects.
    let call = tokio::spawn(async move {
        let _reserved = body.reserved;
        run_call(context.call, caller.content, caller.key, remaining).await
    });
    call.await.unwrap_or_else(|error| {
        log::error!(
            event = "call_failed";
            "the task of a request failed: {error}; its outcome is reported as unknown"
        );
        Outcome::from(Unknown::new(UnknownReason::ShutDown, "the entry failed during the request"))
    })
}

async fn run_operator(
    context: &ServerContext,
    route: OperatorRoute,
    request: Request<Incoming>,
) -> OperatorResponse {
    if request.method() != route.method() {
        let message = format!("use {} for this path", route.method());
        return error_response(StatusCode::METHOD_NOT_ALLOWED, "wrong_method", message);
    }
    match read_body(context, request.into_body()).await {
        Ok(body) => {
            operators::respond(route, &body.bytes, &context.control, &context.telemetry).await
        }
        Err(not_run) if not_run.retry_after_ms.is_some() => {
            error_response(StatusCode::SERVICE_UNAVAILABLE, "not_sent", not_run.detail.to_string())
        }
        Err(not_run) => {
            error_response(StatusCode::BAD_REQUEST, "incomplete", not_run.detail.to_string())
        }
    }
}

fn operator_http_response(response: OperatorResponse) -> Response<Full<Bytes>> {
    let mut http = Response::new(Full::new(response.body_json));
    *http.status_mut() = response.status;
    http.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    http
}

fn too_large(limit_bytes: u64) -> NotRun {
    let detail = format!("the body is larger than {limit_bytes} bytes");
    NotRun::permanent(NotRunReason::TooLarge, &detail)
}

/// A complete body, and the memory that is reserved for it until the request ends.
struct ReceivedBody {
    bytes: Bytes,
    reserved: OwnedSemaphorePermit,
}

async fn read_body(context: &ServerContext, body: Incoming) -> Result<ReceivedBody, NotRun> {
    if body.size_hint().lower() > context.body_limit_bytes {
        return Err(too_large(context.body_limit_bytes));
    }
    let collect = collect_body(context, body);
    tokio::time::timeout(context.receive_timeout, collect).await.unwrap_or_else(|_| {
        Err(NotRun::retryable(
            NotRunReason::ReceiveTimeout,
            0,
            "the request did not arrive whole within the limit",
        ))
    })
}

/// Reads a body and reserves memory as its chunks arrive, so that slow callers hold little of it.
async fn collect_body(context: &ServerContext, mut body: Incoming) -> Result<ReceivedBody, NotRun> {
    let mut collector = BodyCollector::new(context.body_limit_bytes);
    let mut reserved = reserve(context, 0)?;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| {
            let detail = format!("the body did not arrive whole: {error}");
            NotRun::permanent(NotRunReason::Invalid, &detail)
        })?;
        if let Ok(chunk) = frame.into_data() {
            collector.push(&chunk).map_err(|_| too_large(context.body_limit_bytes))?;
            reserved.merge(reserve(context, chunk.len())?);
        }
    }
    Ok(ReceivedBody { bytes: collector.into_body(), reserved })
}

fn reserve(context: &ServerContext, length_bytes: usize) -> Result<OwnedSemaphorePermit, NotRun> {
    let blocks = length_bytes.div_ceil(MEMORY_BLOCK_BYTES);
    let blocks = u32::try_from(blocks).unwrap_or(u32::MAX);
    let memory = Arc::clone(&context.body_memory);
    memory.try_acquire_many_owned(blocks).map_err(|_| {
        NotRun::retryable(
            NotRunReason::QueueFull,
            1_000,
            "the bodies of the requests in flight take all the memory set aside for them",
        )
    })
}

fn not_found() -> Response<Full<Bytes>> {
    let body =
        Full::new(Bytes::from_static(b"nothing is served here; see /v1/requests/{service}\n"));
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::NOT_FOUND;
    response
}

fn http_response(response: HttpResponse) -> Response<Full<Bytes>> {
    let mut http = Response::new(Full::new(response.body));
    *http.status_mut() = StatusCode::from_u16(response.status).unwrap_or(StatusCode::BAD_GATEWAY);
    for header in response.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_maybe_shared(header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            http.headers_mut().append(name, value);
        }
    }
    http
}
