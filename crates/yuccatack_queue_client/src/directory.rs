//! Directory task, which tracks the replicas and the leader and owns the connections to them.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;
use tonic::transport::{Channel, Endpoint};
use yuccatack_core::FastHashMap;

use crate::protocol::LeaderHint;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for which a leadership confirmation is valid for later calls. A leader that fails within it
/// leaves calls with an unknown outcome; a shorter time costs more round trips.
const CONFIRMATION_VALIDITY: Duration = Duration::from_millis(150);

/// Time after which a leader that was not called may have been replaced. A group whose leader fails
/// elects another one in about a second.
const LEADER_VALIDITY: Duration = Duration::from_secs(1);

/// Number of messages that may be queued for the task.
const QUEUE_LENGTH: usize = 64;

/// Maximum number of replicas remembered from hints; larger than any group of voters and learners.
const HINTED_REPLICA_LIMIT_COUNT: usize = 32;

/// Replica to call next.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    pub address: SocketAddr,
    pub channel: Channel,
    pub contact: Contact,
}

/// Evidence that a candidate leads.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Contact {
    /// The replica confirmed its leadership within [`CONFIRMATION_VALIDITY`].
    Confirmed,
    /// The replica confirmed its leadership within [`LEADER_VALIDITY`].
    Recent,
    /// The replica confirmed its leadership longer ago, or never.
    Stale,
}

/// Outcome of a call to a replica, from which the directory updates its view of the leader.
#[derive(Clone, Debug)]
pub(crate) enum CallOutcome {
    /// The replica responded as a leader, without a confirmation by a quorum.
    Leader,
    /// The replica leads and has confirmed that with a quorum.
    ConfirmedLeader,
    /// The replica does not lead and has sent a hint where the leader is.
    NotLeader(LeaderHint),
    /// The call failed or timed out.
    Unresponsive,
}

enum Message {
    Next { tried: Vec<SocketAddr>, reply: oneshot::Sender<Option<Candidate>> },
    Record(SocketAddr, CallOutcome),
}

/// Handle of the directory task; clones are cheap.
#[derive(Clone, Debug)]
pub(crate) struct Directory {
    messages: mpsc::Sender<Message>,
}

struct State {
    seeds: watch::Receiver<Vec<SocketAddr>>,
    /// Replicas that hints named, oldest first.
    hinted: Vec<SocketAddr>,
    leader: Option<SocketAddr>,
    /// Time of the leader's last confirmation of its leadership.
    confirmed_at: Option<Instant>,
    channels: FastHashMap<SocketAddr, Channel>,
}

impl Directory {
    pub fn spawn(seeds: watch::Receiver<Vec<SocketAddr>>) -> Self {
        let (messages, queued) = mpsc::channel(QUEUE_LENGTH);
        let state = State {
            seeds,
            hinted: Vec::new(),
            leader: None,
            confirmed_at: None,
            channels: FastHashMap::default(),
        };
        tokio::spawn(run(state, queued));
        Self { messages }
    }

    /// Returns the untried replica to call next: the leader if it is known, otherwise any replica.
    pub async fn next(&self, tried: &[SocketAddr]) -> Option<Candidate> {
        let (reply, candidate) = oneshot::channel();
        let message = Message::Next { tried: tried.to_vec(), reply };
        self.messages.send(message).await.ok()?;
        candidate.await.ok()?
    }

    pub async fn record(&self, address: SocketAddr, outcome: CallOutcome) {
        // The task lives as long as any handle, so sending only fails while the runtime shuts down.
        let _ = self.messages.send(Message::Record(address, outcome)).await;
    }
}

async fn run(mut state: State, mut queued: mpsc::Receiver<Message>) {
    while let Some(message) = queued.recv().await {
        match message {
            Message::Next { tried, reply } => {
                // The caller may have stopped waiting.
                let _ = reply.send(state.next(&tried));
            }
            Message::Record(address, outcome) => state.record(address, outcome),
        }
    }
}

impl State {
    fn next(&mut self, tried: &[SocketAddr]) -> Option<Candidate> {
        let seeds = self.seeds.borrow().clone();
        let untried = |address: &&SocketAddr| !tried.contains(address);
        let mut others: Vec<SocketAddr> =
            self.hinted.iter().chain(&seeds).filter(untried).copied().collect();
        if !others.is_empty() {
            // Spreads the load of nodes that all search for the leader at the same time.
            let first = rand::random_range(0..others.len());
            others.rotate_left(first);
        }
        let address = self.leader.as_ref().filter(untried).copied();
        let address = address.or_else(|| others.first().copied())?;
        let channel = self.channels.entry(address).or_insert_with(|| open_channel(address));
        let channel = channel.clone();
        Some(Candidate { address, channel, contact: self.contact(address) })
    }

    fn contact(&self, address: SocketAddr) -> Contact {
        let confirmed_at = self.confirmed_at.filter(|_| self.leader == Some(address));
        match confirmed_at.map(|at| at.elapsed()) {
            Some(age) if age <= CONFIRMATION_VALIDITY => Contact::Confirmed,
            Some(age) if age <= LEADER_VALIDITY => Contact::Recent,
            _ => Contact::Stale,
        }
    }

    fn set_leader(&mut self, address: SocketAddr) {
        if self.leader != Some(address) {
            log::info!(
                event = "leader_found", address:% = address;
                "found the leader; calls go to this replica"
            );
            self.leader = Some(address);
            self.confirmed_at = None;
        }
    }

    fn record(&mut self, address: SocketAddr, outcome: CallOutcome) {
        match outcome {
            CallOutcome::Leader => self.set_leader(address),
            CallOutcome::ConfirmedLeader => {
                self.set_leader(address);
                self.confirmed_at = Some(Instant::now());
            }
            CallOutcome::NotLeader(hint) => {
                // A replica that lags behind may name an earlier leader than one that has just
                // confirmed its leadership.
                let names_earlier_leader = self.leader.is_some_and(|leader| {
                    leader != address && self.contact(leader) == Contact::Confirmed
                });
                if !names_earlier_leader {
                    self.leader = hint.leader.filter(|leader| *leader != address);
                    self.confirmed_at = None;
                }
                for member in hint.members.into_iter().take(HINTED_REPLICA_LIMIT_COUNT) {
                    if !self.hinted.contains(&member) {
                        self.hinted.push(member);
                    }
                }
                let excess = self.hinted.len().saturating_sub(HINTED_REPLICA_LIMIT_COUNT);
                self.hinted.drain(..excess);
            }
            CallOutcome::Unresponsive => {
                // The connection may be dead although the replica is up, so it is opened again.
                self.channels.remove(&address);
                if self.leader == Some(address) {
                    log::warn!(
                        event = "leader_silent", address:% = address;
                        "the leader does not respond; searching for another one"
                    );
                    self.leader = None;
                }
            }
        }
    }
}

fn open_channel(address: SocketAddr) -> Channel {
    // A socket address always forms a valid URI.
    let endpoint = Endpoint::from_shared(format!("http://{address}"))
        .unwrap_or_else(|_| Endpoint::from_static("http://0.0.0.0:0"));
    endpoint.connect_timeout(CONNECT_TIMEOUT).tcp_nodelay(true).connect_lazy()
}
