//! A minion over HTTP that echoes request bodies and misbehaves on demand.
//!
//! The request headers `stand-in-fault` and `stand-in-delay-ms` choose the behaviour of one
//! answer; [`MinionStandIn::set_behaviour`] that of all others.

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

/// The body length of an oversized answer.
const OVERSIZED_BODY_LENGTH_BYTES: usize = 20 * 1024 * 1024;
/// The time between the only part of a truncated answer and its break.
const TRUNCATION_DELAY: Duration = Duration::from_millis(20);
/// The attempt that a crossed answer names.
const OTHER_ATTEMPT: &str = "00000000000000000000000000000000";

/// How one answer misbehaves.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum MinionFault {
    /// It does not.
    #[default]
    None,
    /// The body ends before its announced length.
    Truncate,
    /// The answer names another attempt and has another body.
    Crossed,
    /// The body is larger than any limit.
    Oversized,
    /// The connection closes after the request was read, without an answer.
    CloseEarly,
    /// The request runs and no answer ever comes.
    Silent,
}

impl MinionFault {
    /// The fault that a header value names.
    pub fn from_name(word: &str) -> Option<Self> {
        match word {
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

/// How answers are made unless a request says otherwise.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct MinionBehaviour {
    /// How long a request runs.
    pub delay: Duration,
    /// How answers misbehave.
    pub fault: MinionFault,
}

/// A request that ran.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MinionRun {
    /// The attempt that the agent named.
    pub attempt: String,
    /// The organisation that the agent named.
    pub organisation: String,
    /// The body.
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

/// A running stand-in; dropping it closes its sockets, as a killed minion would.
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

/// Counts one connection or run for as long as it lives.
struct Counted {
    gauges: Arc<Gauges>,
    gauge: fn(&Gauges) -> (&AtomicUsize, &AtomicUsize),
}

impl Counted {
    fn new(gauges: &Arc<Gauges>, gauge: fn(&Gauges) -> (&AtomicUsize, &AtomicUsize)) -> Self {
        let (count, peak) = gauge(gauges);
        let now = count.fetch_add(1, Ordering::SeqCst) + 1;
        peak.fetch_max(now, Ordering::SeqCst);
        Self { gauges: Arc::clone(gauges), gauge }
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        let (count, _) = (self.gauge)(&self.gauges);
        count.fetch_sub(1, Ordering::SeqCst);
    }
}

/// What each connection of the stand-in needs.
#[derive(Clone)]
struct MinionContext {
    behaviour: watch::Receiver<MinionBehaviour>,
    recorder: mpsc::UnboundedSender<RecorderMessage>,
    gauges: Arc<Gauges>,
    /// The requests that make progress at once; the others wait their turn.
    slots: Arc<Semaphore>,
}

impl MinionStandIn {
    /// Starts a minion with 8 slots on a free port.
    pub async fn start(behaviour: MinionBehaviour) -> io::Result<Self> {
        Self::start_with_slots(behaviour, 8).await
    }

    /// Starts a minion on a free port that works on `slot_count` requests at once.
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

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the behaviour of later answers.
    pub fn set_behaviour(&self, behaviour: MinionBehaviour) {
        self.behaviour.send_replace(behaviour);
    }

    /// The requests that ran, in order of arrival.
    pub async fn runs(&self) -> Vec<MinionRun> {
        let (reply, runs) = oneshot::channel();
        let _ = self.recorder.send(RecorderMessage::Read(reply));
        runs.await.unwrap_or_default()
    }

    /// The connections that are open now.
    pub fn connection_count(&self) -> usize {
        self.gauges.connection_count.load(Ordering::SeqCst)
    }

    /// The most connections that were open at once.
    pub fn connection_peak(&self) -> usize {
        self.gauges.connection_peak.load(Ordering::SeqCst)
    }

    /// The most requests that were at the minion at once.
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
    let _counted =
        Counted::new(&context.gauges, |gauges| (&gauges.connection_count, &gauges.connection_peak));
    let service = service_fn(move |request| answer(request, context.clone()));
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        log::debug!(event = "stand_in_connection_ended"; "{error}");
    }
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn behaviour_of(headers: &HeaderMap, default: MinionBehaviour) -> MinionBehaviour {
    let fault = header(headers, "stand-in-fault").and_then(MinionFault::from_name);
    let delay_ms = header(headers, "stand-in-delay-ms").and_then(|text| text.parse().ok());
    MinionBehaviour {
        fault: fault.unwrap_or(default.fault),
        delay: delay_ms.map_or(default.delay, Duration::from_millis),
    }
}

type AnswerBody = BoxBody<Bytes, io::Error>;

async fn answer(
    request: Request<Incoming>,
    context: MinionContext,
) -> Result<Response<AnswerBody>, io::Error> {
    let behaviour = behaviour_of(request.headers(), *context.behaviour.borrow());
    let _counted =
        Counted::new(&context.gauges, |gauges| (&gauges.running_count, &gauges.running_peak));
    let text = |name| header(request.headers(), name).unwrap_or_default().to_owned();
    let attempt = text("yuccatack-attempt");
    let organisation = text("yuccatack-organisation");
    let body = request.into_body().collect().await.map_err(io::Error::other)?.to_bytes();
    let run = MinionRun { attempt: attempt.clone(), organisation, body: body.clone() };
    let _ = context.recorder.send(RecorderMessage::Ran(run));
    let _slot = context.slots.acquire().await.map_err(io::Error::other)?;
    if !behaviour.delay.is_zero() {
        // The timer would round an empty sleep up to a millisecond.
        tokio::time::sleep(behaviour.delay).await;
    }
    match behaviour.fault {
        MinionFault::None => Ok(echo(&attempt, body)),
        MinionFault::Truncate => Ok(truncated(&attempt, body)),
        MinionFault::Crossed => Ok(echo(OTHER_ATTEMPT, Bytes::from_static(b"another's answer"))),
        MinionFault::Oversized => {
            Ok(echo(&attempt, Bytes::from(vec![b'x'; OVERSIZED_BODY_LENGTH_BYTES])))
        }
        MinionFault::CloseEarly => Err(io::Error::other("closes early on demand")),
        MinionFault::Silent => std::future::pending().await,
    }
}

fn full(body: Bytes) -> AnswerBody {
    Full::new(body).map_err(|never: Infallible| match never {}).boxed()
}

fn echo(attempt: &str, body: Bytes) -> Response<AnswerBody> {
    let mut response = Response::new(full(body));
    if let Ok(value) = attempt.parse() {
        response.headers_mut().insert("yuccatack-attempt", value);
    }
    response
}

/// An answer that announces one byte more than it has, and then breaks.
fn truncated(attempt: &str, body: Bytes) -> Response<AnswerBody> {
    let length = body.len() + 1;
    let (frames, receiver) = mpsc::channel(2);
    tokio::spawn(async move {
        let _ = frames.send(Ok(Frame::data(body))).await;
        // Lets the head and the first part leave before the connection breaks.
        tokio::time::sleep(TRUNCATION_DELAY).await;
        let _ = frames.send(Err(io::Error::other("truncated on demand"))).await;
    });
    let stream = StreamBody::new(tokio_stream::wrappers::ReceiverStream::new(receiver));
    let mut response = echo(attempt, Bytes::new());
    *response.body_mut() = BodyExt::boxed(stream);
    response.headers_mut().insert("content-length", length.into());
    response
}
