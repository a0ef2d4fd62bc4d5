//! Hands the vote of a replica that stops over to a learner.

use std::time::Duration;

use tokio::time::{Instant, sleep};
use yuccatack_queue_client::QueueClient;
use yuccatack_queue_client::protocol::{LeaveProgress, Request, Response};
use yuccatack_replication::{ReplicaId, ReplicationHandle, ReplicationStatus};

/// Longest time that a replica waits for its replacement. The platform kills a process 6 s after it
/// was told to stop, and pending calls need time as well.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Timeout of one announcement, which includes the search for the leader.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_millis(800);

/// Interval between announcements.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(50);

/// Announces to the leader that this replica stops, and waits until a learner votes in its place.
///
/// Returns at once if the group has no learner. Otherwise the stopped replica would keep its vote until
/// it counts as silent, and the group would tolerate one loss less although its successor runs.
pub(crate) async fn leave_group(
    replication: &ReplicationHandle,
    client: &QueueClient,
    replica: ReplicaId,
) {
    let status = replication.status();
    let deadline = Instant::now() + LEAVE_TIMEOUT;
    let request = Request::Leave { replica_id: replica.get() };
    while concerns_group(&status.borrow(), replica) && Instant::now() < deadline {
        let timeout = ANNOUNCEMENT_TIMEOUT.min(deadline - Instant::now());
        match client.call(&request, timeout).await {
            Ok(Response::Leaving(LeaveProgress::Complete)) => {
                log::info!(
                    event = "vote_handed_over", replica = replica.get();
                    "this replica does not vote any more and may stop"
                );
                return;
            }
            Ok(Response::Leaving(LeaveProgress::NoSuccessor)) => return,
            Ok(_) | Err(_) => sleep(ANNOUNCEMENT_INTERVAL).await,
        }
    }
}

/// Returns `true` if the group has a learner, or if this replica is no longer one of its newest voters.
fn concerns_group(status: &ReplicationStatus, replica: ReplicaId) -> bool {
    let is_formed = !status.voters.is_empty();
    is_formed && (!status.learners.is_empty() || !status.voters.contains_key(&replica))
}
