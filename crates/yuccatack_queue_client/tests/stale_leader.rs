//! Guards against calls that wait for a leader which has been replaced while it is silent, so that
//! operators and callers give up on a node although the new leader responds.

#![allow(clippy::unwrap_used, missing_docs)]

use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};
use tokio_stream::Stream;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;
use tonic::{Request, Response, Status, Streaming};
use yuccatack_queue_client::QueueClient;
use yuccatack_queue_client::generated::queue_control::Envelope;
use yuccatack_queue_client::generated::queue_control::queue_control_server::{
    QueueControl, QueueControlServer,
};
use yuccatack_queue_client::protocol::{self, CallTarget, LeaderHint};

/// Timeout of a call that finds the new leader. It is shorter than the timeout of a request to one
/// replica, so that waiting for the silent one fails the call.
const SHORT_TIMEOUT: Duration = Duration::from_millis(380);

const LONG_TIMEOUT: Duration = Duration::from_secs(5);

/// Behaviour of a replica, which a test may change at any time.
#[derive(Clone, Copy, Debug)]
enum Behaviour {
    /// Responds as the leader after the delay.
    Leads {
        delay: Duration,
    },
    /// Responds with a hint to the leader.
    Follows {
        leader: Option<SocketAddr>,
    },
    Silent,
}

const LEADS: Behaviour = Behaviour::Leads { delay: Duration::ZERO };

struct Service {
    received: mpsc::UnboundedSender<protocol::Request>,
    behaviour: watch::Receiver<Behaviour>,
}

#[tonic::async_trait]
impl QueueControl for Service {
    async fn call(&self, request: Request<Envelope>) -> Result<Response<Envelope>, Status> {
        let request = protocol::Request::try_from(request.into_inner()).unwrap();
        // The test may have ended.
        let _ = self.received.send(request);
        let behaviour = *self.behaviour.borrow();
        let response = match behaviour {
            Behaviour::Leads { delay } => {
                sleep(delay).await;
                protocol::Response::Pong
            }
            Behaviour::Follows { leader } => {
                protocol::Response::NotLeader(LeaderHint { leader, members: Vec::new() })
            }
            Behaviour::Silent => return std::future::pending().await,
        };
        Ok(Response::new(Envelope::try_from(&response).unwrap()))
    }

    type AttachStream = Pin<Box<dyn Stream<Item = Result<Envelope, Status>> + Send>>;

    async fn attach(
        &self,
        _request: Request<Streaming<Envelope>>,
    ) -> Result<Response<Self::AttachStream>, Status> {
        Err(Status::unavailable("only calls are served"))
    }
}

struct Replica {
    address: SocketAddr,
    received: mpsc::UnboundedReceiver<protocol::Request>,
    behaviour: watch::Sender<Behaviour>,
}

impl Replica {
    async fn start(initial: Behaviour) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, received) = mpsc::unbounded_channel();
        let (behaviour, current) = watch::channel(initial);
        let service = Service { received: sender, behaviour: current };
        let server = Server::builder().add_service(QueueControlServer::new(service));
        tokio::spawn(server.serve_with_incoming(TcpIncoming::from(listener)));
        Self { address, received, behaviour }
    }

    fn set(&self, behaviour: Behaviour) {
        self.behaviour.send(behaviour).unwrap();
    }

    fn count_with_effects(&mut self) -> usize {
        std::iter::from_fn(|| self.received.try_recv().ok())
            .filter(protocol::Request::has_effects)
            .count()
    }
}

fn client_of(replicas: &[&Replica]) -> QueueClient {
    let (_, seeds) = watch::channel(replicas.iter().map(|replica| replica.address).collect());
    QueueClient::new(seeds)
}

fn target() -> CallTarget {
    CallTarget { host: "host".into(), path: "/queue/job".into(), key: None }
}

/// Starts a client that knows the first replica as the leader, and replaces that leader by the
/// second replica while the client makes no calls.
async fn replace_leader(idle_time: Duration) -> (QueueClient, [Replica; 3]) {
    let first = Replica::start(LEADS).await;
    let hint = Behaviour::Follows { leader: Some(first.address) };
    let (second, third) = (Replica::start(hint).await, Replica::start(hint).await);
    let client = client_of(&[&first, &second, &third]);
    client.call(&protocol::Request::Ping, LONG_TIMEOUT).await.unwrap();
    first.set(Behaviour::Silent);
    second.set(LEADS);
    third.set(Behaviour::Follows { leader: Some(second.address) });
    sleep(idle_time).await;
    (client, [first, second, third])
}

/// The client of a control replica is idle between the calls of operators, so that it knows the
/// leader of the last call.
#[tokio::test]
async fn idle_client_finds_leader() {
    let (client, [mut first, mut second, mut third]) =
        replace_leader(Duration::from_millis(1_200)).await;
    let result = client.call(&protocol::Request::Cancel(target()), SHORT_TIMEOUT).await;
    assert!(result.is_ok(), "the call waited for the replaced leader: {result:?}");
    assert_eq!(second.count_with_effects(), 1, "the new leader got no request, or several");
    assert_eq!(first.count_with_effects() + third.count_with_effects(), 0);
}

#[tokio::test]
async fn busy_client_finds_leader() {
    let (client, _replicas) = replace_leader(Duration::from_millis(300)).await;
    let result = client.call(&protocol::Request::Cancel(target()), SHORT_TIMEOUT).await;
    assert!(result.is_ok(), "the call waited for the replaced leader: {result:?}");
}

#[tokio::test]
async fn read_finds_leader() {
    let (client, _replicas) = replace_leader(Duration::ZERO).await;
    let read = protocol::Request::ReadConfiguration;
    let result = client.call(&read, SHORT_TIMEOUT).await;
    assert!(result.is_ok(), "the read waited for the replaced leader: {result:?}");
}

/// A round of the search must not end only when a silent replica times out, since a leader that is
/// elected meanwhile is found by the next round.
#[tokio::test]
async fn later_leader_found() {
    let silent = Replica::start(Behaviour::Silent).await;
    let other = Replica::start(Behaviour::Follows { leader: Some(silent.address) }).await;
    let client = client_of(&[&silent, &other]);
    let (read, cancel) =
        (protocol::Request::ReadConfiguration, protocol::Request::Cancel(target()));
    for request in [read, cancel] {
        other.set(Behaviour::Follows { leader: Some(silent.address) });
        let call = client.call(&request, LONG_TIMEOUT);
        tokio::pin!(call);
        assert!(timeout(Duration::from_millis(200), &mut call).await.is_err());
        other.set(LEADS);
        // The read that the silent replica got at the start times out only 600 ms from now.
        let result = timeout(Duration::from_millis(500), call).await;
        assert!(
            result.is_ok_and(|result| result.is_ok()),
            "{request:?} waited for a silent replica"
        );
    }
}

/// Asking several replicas must not turn one request with effects into several.
#[tokio::test]
async fn slow_leader_called_once() {
    let slow = Behaviour::Leads { delay: Duration::from_millis(200) };
    let mut leader = Replica::start(slow).await;
    let hint = Behaviour::Follows { leader: Some(leader.address) };
    let (mut second, mut third) = (Replica::start(hint).await, Replica::start(hint).await);
    let client = client_of(&[&leader, &second, &third]);
    let result = client.call(&protocol::Request::Cancel(target()), LONG_TIMEOUT).await;
    assert!(result.is_ok(), "a slow leader was not accepted: {result:?}");
    assert_eq!(leader.count_with_effects(), 1);
    assert_eq!(second.count_with_effects() + third.count_with_effects(), 0);
}
