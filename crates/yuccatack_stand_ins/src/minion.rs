//! Test double of a minion: an HTTP server that echoes request bodies and injects faults on demand.
//!
//! The request headers `stand-in-fault` and `stand-in-delay-ms` set the behaviour for one request;
//! [`MinionStandIn::set_behaviour`] sets it for all requests without these headers.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, StreamBody, combinators::BoxBody};
use hyper::body::{Frame, Incoming};
use hyper::header::HeaderMap;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, oneshot, watch};
use tokio::task::{AbortHandle, JoinSet};

/// Exceeds the default body limit of an agent, 16 MiB.
const OVERSIZED_BODY_LENGTH_BYTES: usize = 20 * 1024 * 1024;
/// Delay between the data of a truncated response and the end of its connection, so that the peer
/// receives the data first.
const TRUNCATION_DELAY: Duration = Duration::from_millis(20);
/// Attempt id in a [`MinionFault::Crossed`] response.
const OTHER_ATTEMPT: &str = "00000000000000000000000000000000";

/// Fault to inject into one response.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum MinionFault {
    /// Responds correctly.
    #[default]
    None,
    /// Closes the connection before the body reaches its `content-length`.
    Truncate,
    /// Responds with the attempt id and body of another request.
    Crossed,
    /// Responds with a body of 20 MiB, which exceeds the default body limit of 16 MiB.
    Oversized,
    /// Runs the request and closes the connection without a response.
    CloseEarly,
    /// Runs the request and never responds, with the connection left open.
    Silent,
}

impl MinionFault {
    /// Returns the fault with the given name in the header `stand-in-fault`, or `None` if there is
    /// no such fault.
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "none" => Some(Self::None),
            "truncate" => Some(Self::Truncate),
            "crossed" => Some(Self::Crossed),
            "oversized" => Some(Self::Oversized),
            "close_early" => Some(Self::CloseEarly),
            "silent" => Some(Self::Silent),
            _ => None,
        }
    }
}

/// Behaviour for requests whose headers do not set another one.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct MinionBehaviour {
    /// Time from the acquisition of a slot to the response.
    pub delay: Duration,
    /// Fault to inject into the response.
    pub fault: MinionFault,
}

/// Request that the minion received in full, as recorded for the test.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MinionRun {
    /// Value of the header `yuccatack-attempt`; empty if absent.
    pub attempt: String,
    /// Value of the header `yuccatack-organisation`; empty if absent.
    pub organisation: String,
    /// Request body.
    pub body: Bytes,
}

#[derive(Debug, Default)]
struct Gauges {
    connection_count: AtomicUsize,
    connection_peak: AtomicUsize,
    running_count: AtomicUsize,
    running_peak: AtomicUsize,
}

enum RecorderMessage {
    Ran(MinionRun),
    Read(oneshot::Sender<Vec<MinionRun>>),
}

/// Running test double; dropping it closes its sockets, as the end of a minion process does.
#[derive(Debug)]
pub struct MinionStandIn {
    address: SocketAddr,
    behaviour: watch::Sender<MinionBehaviour>,
    recorder: mpsc::UnboundedSender<RecorderMessage>,
    gauges: Arc<Gauges>,
    server: AbortHandle,
}

impl Drop for MinionStandIn {
    fn drop(&mut self) {
        self.server.abort();
    }
}

/// Guard that counts one connection or run until it is dropped.
struct GaugeGuard {
    gauges: Arc<Gauges>,
    gauge: fn(&Gauges) -> (&AtomicUsize, &AtomicUsize),
}

impl GaugeGuard {
    fn new(gauges: &Arc<Gauges>, gauge: fn(&Gauges) -> (&AtomicUsize, &AtomicUsize)) -> Self {
        let (count, peak) = gauge(gauges);
        let current = count.fetch_add(1, Ordering::SeqCst) + 1;
        peak.fetch_max(current, Ordering::SeqCst);
        Self { gauges: Arc::clone(gauges), gauge }
    }
}

impl Drop for GaugeGuard {
    fn drop(&mut self) {
        let (count, _) = (self.gauge)(&self.gauges);
        count.fetch_sub(1, Ordering::SeqCst);
    }
}

/// State that all connections of the test double share.
#[derive(Clone)]
struct MinionContext {
    behaviour: watch::Receiver<MinionBehaviour>,
    recorder: mpsc::UnboundedSender<RecorderMessage>,
    gauges: Arc<Gauges>,
    /// Limits the requests that are processed concurrently; the others queue.
    slots: Arc<Semaphore>,
}

impl MinionStandIn {
    /// Starts a minion with 8 slots on a free port.
    pub async fn start(behaviour: MinionBehaviour) -> io::Result<Self> {
        Self::start_with_slots(behaviour, 8).await
    }

    /// Starts a minion on a free port that processes up to `slot_count` requests concurrently.
    pub async fn start_with_slots(
        behaviour: MinionBehaviour,
        slot_count: usize,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (behaviour, behaviour_receiver) = watch::channel(behaviour);
        let (recorder, recorder_receiver) = mpsc::unbounded_channel();
        tokio::spawn(record_runs(recorder_receiver));
        let gauges = Arc::new(Gauges::default());
        let context = MinionContext {
            behaviour: behaviour_receiver,
            recorder: recorder.clone(),
            gauges: Arc::clone(&gauges),
            slots: Arc::new(Semaphore::new(slot_count)),
        };
        let server = tokio::spawn(accept(listener, context)).abort_handle();
        Ok(Self { address, behaviour, recorder, gauges, server })
    }

    /// Returns the address that the minion listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the behaviour for requests that arrive from now on.
    pub fn set_behaviour(&self, behaviour: MinionBehaviour) {
        self.behaviour.send_replace(behaviour);
    }

    /// Returns the requests that were received in full, in order of arrival.
    pub async fn runs(&self) -> Vec<MinionRun> {
        let (reply, runs) = oneshot::channel();
        let _ = self.recorder.send(RecorderMessage::Read(reply));
        runs.await.unwrap_or_default()
    }

    /// Returns the number of open connections.
    pub fn connection_count(&self) -> usize {
        self.gauges.connection_count.load(Ordering::SeqCst)
    }

    /// Returns the highest number of connections that were open at the same time.
    pub fn connection_peak(&self) -> usize {
        self.gauges.connection_peak.load(Ordering::SeqCst)
    }

    /// Returns the highest number of requests that were being received, queued or running at the
    /// same time.
    pub fn running_peak(&self) -> usize {
        self.gauges.running_peak.load(Ordering::SeqCst)
    }
}

async fn record_runs(mut messages: mpsc::UnboundedReceiver<RecorderMessage>) {
    let mut runs = Vec::new();
    while let Some(message) = messages.recv().await {
        match message {
            RecorderMessage::Ran(run) => runs.push(run),
            RecorderMessage::Read(reply) => {
                let _ = reply.send(runs.clone());
            }
        }
    }
}

async fn accept(listener: TcpListener, context: MinionContext) {
    // Dropping the set with this task closes every connection.
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(serve(stream, context.clone()));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve(stream: TcpStream, context: MinionContext) {
    let _ = stream.set_nodelay(true);
    let _guard = GaugeGuard::new(&context.gauges, |gauges| {
        (&gauges.connection_count, &gauges.connection_peak)
    });
    let service = service_fn(move |request| handle_request(request, context.clone()));
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        log::debug!(
            event = "stand_in_connection_ended";
            "connection to the minion failed: {error}"
        );
    }
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn requested_behaviour(headers: &HeaderMap, default: MinionBehaviour) -> MinionBehaviour {
    let fault = header(headers, "stand-in-fault").and_then(MinionFault::from_name);
    let delay_ms = header(headers, "stand-in-delay-ms").and_then(|text| text.parse().ok());
    MinionBehaviour {
        fault: fault.unwrap_or(default.fault),
        delay: delay_ms.map_or(default.delay, Duration::from_millis),
    }
}

type ResponseBody = BoxBody<Bytes, io::Error>;

async fn handle_request(
    request: Request<Incoming>,
    context: MinionContext,
) -> Result<Response<ResponseBody>, io::Error> {
    let behaviour = requested_behaviour(request.headers(), *context.behaviour.borrow());
    let _guard =
        GaugeGuard::new(&context.gauges, |gauges| (&gauges.running_count, &gauges.running_peak));
    let text = |name| header(request.headers(), name).unwrap_or_default().to_owned();
    let attempt = text("yuccatack-attempt");
    let organisation = text("yuccatack-organisation");
    let body = request.into_body().collect().await.map_err(io::Error::other)?.to_bytes();
    let run = MinionRun { attempt: attempt.clone(), organisation, body: body.clone() };
    let _ = context.recorder.send(RecorderMessage::Ran(run));
    let _slot = context.slots.acquire().await.map_err(io::Error::other)?;
    if !behaviour.delay.is_zero() {
        // The timer would round a sleep of zero up to 1 ms.
        tokio::time::sleep(behaviour.delay).await;
    }
    match behaviour.fault {
        MinionFault::None => Ok(echo(&attempt, body)),
        MinionFault::Truncate => Ok(truncated(&attempt, body)),
        MinionFault::Crossed => Ok(echo(OTHER_ATTEMPT, Bytes::from_static(b"another's answer"))),
        MinionFault::Oversized => {
            Ok(echo(&attempt, Bytes::from(vec![b'x'; OVERSIZED_BODY_LENGTH_BYTES])))
        }
        MinionFault::CloseEarly => {
            Err(io::Error::other("injected fault: connection closed without a response"))
        }
        MinionFault::Silent => std::future::pending().await,
    }
}

fn full(body: Bytes) -> ResponseBody {
    Full::new(body).map_err(|never: Infallible| match never {}).boxed()
}

fn echo(attempt: &str, body: Bytes) -> Response<ResponseBody> {
    let mut response = Response::new(full(body));
    if let Ok(value) = attempt.parse() {
        response.headers_mut().insert("yuccatack-attempt", value);
    }
    response
}

/// Builds a response whose `content-length` is one byte more than its body, and whose body ends
/// with an error.
fn truncated(attempt: &str, body: Bytes) -> Response<ResponseBody> {
    let length = body.len() + 1;
    let (frames, receiver) = mpsc::channel(2);
    tokio::spawn(async move {
        let _ = frames.send(Ok(Frame::data(body))).await;
        // Without this delay the connection could close before the head and the data are sent.
        tokio::time::sleep(TRUNCATION_DELAY).await;
        let _ = frames.send(Err(io::Error::other("injected fault: response truncated"))).await;
    });
    let stream = StreamBody::new(tokio_stream::wrappers::ReceiverStream::new(receiver));
    let mut response = echo(attempt, Bytes::new());
    *response.body_mut() = BodyExt::boxed(stream);
    response.headers_mut().insert("content-length", length.into());
    response
}
