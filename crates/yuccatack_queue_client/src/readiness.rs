//! Readiness of a node by its contact with the leader.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use crate::client::QueueClient;
use crate::protocol::Request;

/// Pause between two pings.
const PING_INTERVAL: Duration = Duration::from_millis(500);

const PING_TIMEOUT: Duration = Duration::from_millis(700);

/// Time without a response of a leader after which a node is not ready. It exceeds an election,
/// which must not take all nodes out of rotation: their callers would only wait elsewhere.
const LEADER_CONTACT_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Starts to ping the leader and returns a receiver that holds `true` while a leader responds.
///
/// The pings end when all receivers are dropped.
pub fn watch_leader(client: QueueClient) -> watch::Receiver<bool> {
    let (sender, receiver) = watch::channel(false);
    tokio::spawn(async move {
        let mut responded_at = None;
        while !sender.is_closed() {
            if client.call(&Request::Ping, PING_TIMEOUT).await.is_ok() {
                responded_at = Some(Instant::now());
            }
            let ready = responded_at.is_some_and(|at| at.elapsed() <= LEADER_CONTACT_TIMEOUT);
            sender.send_if_modified(|current| {
                let changed = *current != ready;
                if changed {
                    log::info!(
                        event = "leader_contact", ready = ready;
                        "the node changed its readiness by its contact with the leader"
                    );
                    *current = ready;
                }
                changed
            });
            sleep(PING_INTERVAL).await;
        }
    });
    receiver
}
