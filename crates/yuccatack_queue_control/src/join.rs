//! Requests membership of the replication group for this replica.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::{Instant, sleep};
use yuccatack_queue_client::QueueClient;
use yuccatack_queue_client::protocol::Request;
use yuccatack_replication::{ReplicaId, ReplicationHandle, RoleName};

/// Interval between membership checks and between repeated join requests.
const JOIN_CHECK_INTERVAL: Duration = Duration::from_millis(400);

/// Timeout of one join request, which includes the search for the leader.
const JOIN_REQUEST_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time without a known leader after which a member requests to join again, since the group may
/// have replaced it while it was down.
const LEADERLESS_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends join requests to the leader while this replica is not, or may no longer be, a member.
///
/// A founder whose group has not formed yet waits for [`LEADERLESS_TIMEOUT`] first.
pub(crate) async fn maintain_joined(
    replication: ReplicationHandle,
    client: QueueClient,
    replica: ReplicaId,
    address: SocketAddr,
    is_founder: bool,
) {
    let status = replication.status();
    let mut leader_known_at = Instant::now();
    loop {
        sleep(JOIN_CHECK_INTERVAL).await;
        let needs_to_join = {
            let status = status.borrow();
            if status.leader.is_some() {
                leader_known_at = Instant::now();
            }
            let is_unformed = status.role == RoleName::Unformed && !is_founder;
            is_unformed || leader_known_at.elapsed() > LEADERLESS_TIMEOUT
        };
        if needs_to_join {
            let request = Request::Join { replica_id: replica.get(), address };
            if let Err(error) = client.call(&request, JOIN_REQUEST_TIMEOUT).await {
                log::info!(
                    event = "join_not_answered";
                    "no leader confirmed the join request of this replica; retrying: {error}"
                );
            }
        }
    }
}
