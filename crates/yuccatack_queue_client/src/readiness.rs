//! Whether a node reaches a leader.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use crate::client::QueueClient;
use crate::protocol::Request;

/// How often the leader is asked.
const PING_INTERVAL: Duration = Duration::from_millis(500);

/// How long one question may take.
const PING_LIMIT: Duration = Duration::from_millis(700);

/// A node without an answer for this long is not ready. An election alone must not take all nodes
/// out of rotation, since their callers would only wait elsewhere.
const SILENCE_LIMIT: Duration = Duration::from_millis(2_500);

/// Follows whether a leader answers this node.
pub fn watch_leader(client: QueueClient) -> watch::Receiver<bool> {
    let (sender, receiver) = watch::channel(false);
    tokio::spawn(async move {
        let mut answered_at = None;
        while !sender.is_closed() {
            if client.call(&Request::Ping, PING_LIMIT).await.is_ok() {
                answered_at = Some(Instant::now());
            }
            let ready = answered_at.is_some_and(|at| at.elapsed() <= SILENCE_LIMIT);
            sender.send_if_modified(|current| {
                let changed = *current != ready;
                if changed {
                    log::info!(event = "leader_contact", ready = ready; "contact with the leader changed");
                    *current = ready;
                }
                changed
            });
            sleep(PING_INTERVAL).await;
        }
    });
    receiver
}
