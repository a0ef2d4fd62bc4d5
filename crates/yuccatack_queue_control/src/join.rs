//! How a replica asks to become a member.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::{Instant, sleep};
use yuccatack_queue_client::QueueClient;
use yuccatack_queue_client::protocol::Request;
use yuccatack_replication::{ReplicaId, ReplicationHandle, RoleName};

/// How often a replica outside the group asks.
const ASK_INTERVAL: Duration = Duration::from_millis(400);

/// How long one question may take.
const ASK_LIMIT: Duration = Duration::from_millis(1_500);

/// A member without a leader for this long may have been replaced while it was away.
const LEADERLESS_LIMIT: Duration = Duration::from_secs(2);

/// Asks the group for membership whenever this replica is not part of it.
pub(crate) async fn keep_joined(
    replication: ReplicationHandle,
    client: QueueClient,
    replica: ReplicaId,
    address: SocketAddr,
    is_founder: bool,
) {
    let status = replication.status();
    let mut last_led = Instant::now();
    loop {
        sleep(ASK_INTERVAL).await;
        let outside = {
            let status = status.borrow();
            if status.leader.is_some() {
                last_led = Instant::now();
            }
            let unformed = status.role == RoleName::Unformed && !is_founder;
            unformed || last_led.elapsed() > LEADERLESS_LIMIT
        };
        if outside {
            let request = Request::Join { replica_id: replica.get(), address };
            if let Err(error) = client.call(&request, ASK_LIMIT).await {
                log::info!(event = "join_not_answered"; "no leader took the request to join: {error}");
            }
        }
    }
}
