//! The HTTP server for callers.

use std::convert::Infallible;
use std::pin::Pin;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use yuccatack_control_client::ControlClient;
use yuccatack_lifecycle::{Shutdown, ShutdownPhase};
use yuccatack_requests::http_mapping::HttpResponse;
use yuccatack_requests::prelude::*;
use yuccatack_settings::EntrySettings;
use yuccatack_telemetry::Telemetry;
use yuccatack_view::ViewHandle;

use crate::balancer::service_record;
use crate::call::{CallContext, run_call};
use crate::caller::CallerRequest;
use crate::observe::{observe_request, request_labels};
use crate::operators::{self, OperatorAnswer, OperatorRoute, problem};
use crate::routes::Route;

/// The largest head of a request.
const HEAD_LIMIT_BYTES: usize = 32 * 1024;
/// The most headers of a request.
const HEADER_COUNT_LIMIT: usize = 100;

/// What every caller's connection needs.
#[derive(Clone, Debug)]
pub struct ServerContext {
    /// For requests.
    pub call: CallContext,
    /// The node's view.
    pub view: ViewHandle,
    /// For operators.
    pub control: ControlClient,
    /// For metrics.
    pub telemetry: Telemetry,
    /// The largest request body.
    pub body_limit_bytes: u64,
    /// How long a caller may take to send its request.
    pub receive_limit: Duration,
}

impl ServerContext {
    /// Takes the bounds from the settings.
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
            receive_limit: Duration::from_millis(settings.receive_limit_ms),
        }
    }
}

/// Serves one caller's connection until it closes or the server drains. `open` is held as long.
pub async fn serve_connection(
    context: ServerContext,
    stream: TcpStream,
    mut shutdown: Shutdown,
    open: mpsc::Sender<()>,
) {
    let receive_limit = context.receive_limit;
    let service = service_fn(move |request| {
        let context = context.clone();
        async move { Ok::<_, Infallible>(respond(context, request).await) }
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(receive_limit)
        .max_buf_size(HEAD_LIMIT_BYTES)
        .max_headers(HEADER_COUNT_LIMIT)
        .serve_connection(TokioIo::new(stream), service);
    let mut ended = tokio::select! {
        ended = &mut connection => Some(ended),
        () = shutdown.reached(ShutdownPhase::Draining) => None,
    };
    if ended.is_none() {
        Pin::new(&mut connection).graceful_shutdown();
        ended = Some((&mut connection).await);
    }
    if let Some(Err(error)) = ended {
        log::debug!(event = "caller_connection_ended"; "{error}");
        if error.is_timeout() {
            let parts = connection.into_parts();
            answer_timeout(parts.io.into_inner(), &parts.read_buf).await;
        }
    }
    drop(open);
}

/// Tells a caller that its head did not arrive in time. An idle connection, on which no byte of a
/// head has arrived, is closed without a word.
async fn answer_timeout(mut stream: TcpStream, received: &[u8]) {
    if received.is_empty() {
        return;
    }
    let not_run = NotRun::retryable(
        NotRunReason::ReceiveTimeout,
        0,
        "the head of the request did not arrive whole within the limit",
    );
    let response = HttpResponse::from(Outcome::from(not_run));
    // The caller may be gone.
    let _ = stream.write_all(&response.to_bytes()).await;
    let _ = stream.shutdown().await;
}

async fn respond(context: ServerContext, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let route = Route::of(request.uri().path(), request.uri().query());
    let outcome = match route {
        Route::Request { service, minion_path } => {
            let (parts, body) = request.into_parts();
            let method = parts.method.as_str();
            match CallerRequest::decode(service, method, &minion_path, &parts.headers) {
                Ok(caller) => {
                    let received = Instant::now();
                    let labels = request_labels(&context.view.view(), &caller.content);
                    let telemetry = context.telemetry.clone();
                    let outcome = run_request(context, caller, body).await;
                    observe_request(&telemetry, labels.as_ref(), &outcome, received.elapsed());
                    outcome
                }
                Err(not_run) => not_run.into(),
            }
        }
        Route::Operator(route) => {
            return operator_response(run_operator(&context, route, request).await);
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
    match read_body(&context, body).await {
        Ok(body) => caller.content.body = body,
        Err(not_run) => return not_run.into(),
    }
    let remaining = deadline.saturating_sub(received.elapsed());
    // A task of its own, so that a caller that hangs up does not stop the bookkeeping of what was
    // already sent.
    let call = tokio::spawn(run_call(context.call, caller.content, caller.key, remaining));
    call.await.unwrap_or_else(|error| {
        log::error!(event = "call_failed"; "{error}");
        Outcome::from(Unknown::new(UnknownReason::ShutDown, "the entry failed during the request"))
    })
}

async fn run_operator(
    context: &ServerContext,
    route: OperatorRoute,
    request: Request<Incoming>,
) -> OperatorAnswer {
    if request.method() != route.method() {
        let message = format!("use {} for this path", route.method());
        return problem(StatusCode::METHOD_NOT_ALLOWED, "wrong_method", message);
    }
    match read_body(context, request.into_body()).await {
        Ok(body) => operators::respond(route, &body, &context.control, &context.telemetry).await,
        Err(not_run) => problem(StatusCode::BAD_REQUEST, "incomplete", not_run.detail.to_string()),
    }
}

fn operator_response(answer: OperatorAnswer) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(answer.body_json));
    *response.status_mut() = answer.status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn too_large(limit_bytes: u64) -> NotRun {
    let detail = format!("the body is larger than {limit_bytes} bytes");
    NotRun::permanent(NotRunReason::TooLarge, &detail)
}

async fn read_body(context: &ServerContext, body: Incoming) -> Result<Bytes, NotRun> {
    let limit_bytes = context.body_limit_bytes;
    if body.size_hint().lower() > limit_bytes {
        return Err(too_large(limit_bytes));
    }
    let limit = usize::try_from(limit_bytes).unwrap_or(usize::MAX);
    let collect = Limited::new(body, limit).collect();
    match tokio::time::timeout(context.receive_limit, collect).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(too_large(limit_bytes)),
        Ok(Err(error)) => {
            let detail = format!("the body did not arrive whole: {error}");
            Err(NotRun::permanent(NotRunReason::Invalid, &detail))
        }
        Err(_) => Err(NotRun::retryable(
            NotRunReason::ReceiveTimeout,
            0,
            "the request did not arrive whole within the limit",
        )),
    }
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
