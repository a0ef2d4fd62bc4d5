//! Search for the leader, which asks further replicas while others are silent.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};
use tonic::transport::Channel;

use crate::attempt::{CallResult, call_replica, evaluate_result};
use crate::backoff::Backoff;
use crate::directory::{CallOutcome, Candidate, Contact, Directory};
use crate::generated::queue_control::Envelope;
use crate::protocol::Response;

/// Time without a response after which another replica is asked as well. A leader in another region
/// confirms its leadership sooner, so that healthy replicas are rarely asked in vain.
const HEDGE_DELAY: Duration = Duration::from_millis(100);

/// Initial delay after all replicas were asked. An election takes several times as long.
const INITIAL_ROUND_DELAY: Duration = Duration::from_millis(60);

/// Longest delay after all replicas were asked.
const MAX_ROUND_DELAY: Duration = Duration::from_millis(250);

/// Search for the replica that responds as the leader to a request without effects.
///
/// Several replicas may handle the request at the same time. Dropping the search cancels the
/// requests that are in flight.
pub(crate) struct Search {
    directory: Directory,
    request: Envelope,
    /// Timeout of the request to one replica.
    attempt_timeout: Duration,
    probes: JoinSet<Probe>,
    /// Replicas with a request in flight and the time of its start.
    in_flight: Vec<(SocketAddr, Instant)>,
    /// Replicas that were asked in this round.
    tried: Vec<SocketAddr>,
    backoff: Backoff,
    next_probe_at: Instant,
    progress: Progress,
}

/// Replica that responded as the leader.
pub(crate) struct Leader {
    pub address: SocketAddr,
    pub channel: Channel,
    pub response: Response,
}

/// Completed request to one replica.
struct Probe {
    address: SocketAddr,
    channel: Channel,
    result: CallResult,
}

/// Part of the search that follows next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Progress {
    /// No replica was asked.
    First,
    /// Replicas are left to be asked.
    Asking,
    /// All replicas were asked, and the next round begins after a delay.
    Pausing,
}

impl Search {
    pub fn new(directory: Directory, request: Envelope, attempt_timeout: Duration) -> Self {
        Self {
            directory,
            request,
            attempt_timeout,
            probes: JoinSet::new(),
            in_flight: Vec::new(),
            tried: Vec::new(),
            backoff: Backoff::new(INITIAL_ROUND_DELAY, MAX_ROUND_DELAY),
            next_probe_at: Instant::now(),
            progress: Progress::First,
        }
    }

    /// Leaves a replica out of the current round.
    pub fn skip(&mut self, address: SocketAddr) {
        self.tried.push(address);
    }

    /// Returns the next replica that responds as the leader, or `None` at the deadline.
    pub async fn find(&mut self, deadline: Instant) -> Option<Leader> {
        loop {
            let wakes_at = self.next_probe_at.min(deadline);
            tokio::select! {
                Some(joined) = self.probes.join_next() => {
                    // Probes do not panic and are only aborted together with the search.
                    let Ok(probe) = joined else { continue };
                    if let Some(leader) = self.on_probe(probe).await {
                        self.drop_silent_connections().await;
                        return Some(leader);
                    }
                }
                () = sleep_until(wakes_at) => {
                    if Instant::now() >= deadline {
                        self.drop_silent_connections().await;
                        return None;
                    }
                    self.start_probe(deadline).await;
                }
            }
        }
    }

    async fn on_probe(&mut self, probe: Probe) -> Option<Leader> {
        let Probe { address, channel, result } = probe;
        self.in_flight.retain(|(asked, _)| *asked != address);
        match evaluate_result(&self.directory, address, result).await {
            Ok(response) => Some(Leader { address, channel, response }),
            Err(_) => {
                if self.progress != Progress::Pausing {
                    // The replica may have named the leader, which is asked at once.
                    self.next_probe_at = Instant::now();
                }
                None
            }
        }
    }

    async fn start_probe(&mut self, deadline: Instant) {
        let in_flight = self.in_flight.iter().map(|(address, _)| *address);
        let excluded: Vec<SocketAddr> = self.tried.iter().copied().chain(in_flight).collect();
        let now = Instant::now();
        let Some(candidate) = self.directory.next(&excluded).await else {
            self.tried.clear();
            self.progress = Progress::Pausing;
            self.next_probe_at = now + self.backoff.delay();
            return;
        };
        let Candidate { address, channel, contact } = candidate;
        // A leader that was not called for a while may have been replaced, so that another replica
        // is asked at the same time instead of after a delay.
        let asks_two = self.progress == Progress::First && contact == Contact::Stale;
        self.next_probe_at = if asks_two { now } else { now + HEDGE_DELAY };
        self.progress = Progress::Asking;
        self.tried.push(address);
        self.in_flight.push((address, now));
        let request = self.request.clone();
        let attempt_deadline = deadline.min(now + self.attempt_timeout);
        self.probes.spawn(async move {
            let result = call_replica(channel.clone(), request, attempt_deadline).await;
            Probe { address, channel, result }
        });
    }

    /// Drops the connections to replicas that are silent. Such a connection may be dead although
    /// the replica is up.
    async fn drop_silent_connections(&self) {
        for (address, asked_at) in &self.in_flight {
            if asked_at.elapsed() >= HEDGE_DELAY {
                self.directory.record(*address, CallOutcome::Unresponsive).await;
            }
        }
    }
}
