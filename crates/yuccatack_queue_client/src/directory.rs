//! The task that knows the replicas and owns the connections to them.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;
use tonic::transport::{Channel, Endpoint};
use yuccatack_core::FastHashMap;

use crate::protocol::LeaderHint;

/// How long opening a connection may take.
const CONNECT_LIMIT: Duration = Duration::from_millis(400);

/// For how long a confirmed lead stands for the next call. Within it a leader may fail and leave a
/// call without a known outcome; a confirmation costs one round trip.
const CONFIRMED_TIME: Duration = Duration::from_millis(150);

/// How many questions may wait for the task.
const QUEUE_LENGTH: usize = 64;

/// Hints may name this many replicas; more than any group of voters and learners has.
const KNOWN_LIMIT_COUNT: usize = 32;

/// A replica to call.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    pub address: SocketAddr,
    pub channel: Channel,
    /// Whether it has confirmed its lead a moment ago.
    pub confirmed: bool,
}

/// What became of a call to a replica.
#[derive(Clone, Debug)]
pub(crate) enum Finding {
    /// It leads, as far as it knows.
    Leads,
    /// It leads, and has confirmed that with a quorum.
    Confirmed,
    /// It does not lead, and says who may.
    Follows(LeaderHint),
    /// It did not answer in time.
    Silent,
}

enum Message {
    Next { tried: Vec<SocketAddr>, reply: oneshot::Sender<Option<Candidate>> },
    Found(SocketAddr, Finding),
}

/// Sends to the task; clones are cheap.
#[derive(Clone, Debug)]
pub(crate) struct Directory {
    messages: mpsc::Sender<Message>,
}

struct State {
    seeds: watch::Receiver<Vec<SocketAddr>>,
    known: Vec<SocketAddr>,
    leader: Option<SocketAddr>,
    /// When the leader last confirmed its lead.
    confirmed_at: Option<Instant>,
    channels: FastHashMap<SocketAddr, Channel>,
}

impl Directory {
    pub fn spawn(seeds: watch::Receiver<Vec<SocketAddr>>) -> Self {
        let (messages, waiting) = mpsc::channel(QUEUE_LENGTH);
        let state = State {
            seeds,
            known: Vec::new(),
            leader: None,
            confirmed_at: None,
            channels: FastHashMap::default(),
        };
        tokio::spawn(run(state, waiting));
        Self { messages }
    }

    /// The replica to try next: the leader as far as it is known, then any that was not tried.
    pub async fn next(&self, tried: &[SocketAddr]) -> Option<Candidate> {
        let (reply, answer) = oneshot::channel();
        let message = Message::Next { tried: tried.to_vec(), reply };
        self.messages.send(message).await.ok()?;
        answer.await.ok()?
    }

    pub async fn found(&self, address: SocketAddr, finding: Finding) {
        // The task lives as long as any handle; a failure means that the runtime ends.
        let _ = self.messages.send(Message::Found(address, finding)).await;
    }
}

async fn run(mut state: State, mut waiting: mpsc::Receiver<Message>) {
    while let Some(message) = waiting.recv().await {
        match message {
            Message::Next { tried, reply } => {
                // The caller may have given up meanwhile.
                let _ = reply.send(state.next(&tried));
            }
            Message::Found(address, finding) => state.found(address, finding),
        }
    }
}

impl State {
    fn next(&mut self, tried: &[SocketAddr]) -> Option<Candidate> {
        let seeds = self.seeds.borrow().clone();
        let untried = |address: &&SocketAddr| !tried.contains(address);
        let mut others: Vec<SocketAddr> =
            self.known.iter().chain(&seeds).filter(untried).copied().collect();
        if !others.is_empty() {
            // Spreads the load of nodes that all look for the leader at the same time.
            let first = rand::random_range(0..others.len());
            others.rotate_left(first);
        }
        let address = self.leader.as_ref().filter(untried).copied();
        let address = address.or_else(|| others.first().copied())?;
        let channel = self.channels.entry(address).or_insert_with(|| open(address));
        let fresh = self.confirmed_at.is_some_and(|at| at.elapsed() <= CONFIRMED_TIME);
        let confirmed = fresh && self.leader == Some(address);
        Some(Candidate { address, channel: channel.clone(), confirmed })
    }

    fn set_leader(&mut self, address: SocketAddr) {
        if self.leader != Some(address) {
            log::info!(event = "leader_found", address:% = address; "the leader answers");
            self.leader = Some(address);
            self.confirmed_at = None;
        }
    }

    fn found(&mut self, address: SocketAddr, finding: Finding) {
        match finding {
            Finding::Leads => self.set_leader(address),
            Finding::Confirmed => {
                self.set_leader(address);
                self.confirmed_at = Some(Instant::now());
            }
            Finding::Follows(hint) => {
                self.leader = hint.leader.filter(|leader| *leader != address);
                self.confirmed_at = None;
                for member in hint.members.into_iter().take(KNOWN_LIMIT_COUNT) {
                    if !self.known.contains(&member) {
                        self.known.push(member);
                    }
                }
                let excess = self.known.len().saturating_sub(KNOWN_LIMIT_COUNT);
                self.known.drain(..excess);
            }
            Finding::Silent => {
                // The connection may be dead for good while a new one works.
                self.channels.remove(&address);
                if self.leader == Some(address) {
                    log::warn!(event = "leader_silent", address:% = address; "the leader is silent");
                    self.leader = None;
                }
            }
        }
    }
}

fn open(address: SocketAddr) -> Channel {
    // An address always makes a valid URI.
    let endpoint = Endpoint::from_shared(format!("http://{address}"))
        .unwrap_or_else(|_| Endpoint::from_static("http://0.0.0.0:0"));
    endpoint.connect_timeout(CONNECT_LIMIT).tcp_nodelay(true).connect_lazy()
}
