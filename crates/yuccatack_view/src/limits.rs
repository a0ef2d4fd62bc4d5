//! Spans of time that the two sides of a view stream agree on.

use yuccatack_core::prelude::*;

/// A node starts new work only this long after it sent a report that the leader confirmed.
pub const FRESHNESS_DURATION: DurationMs = DurationMs::new(3_000);
/// Allows for clocks that run at different rates, and for rounding to milliseconds.
pub const CLOCK_MARGIN: DurationMs = DurationMs::new(500);
/// How often a node reports without a change. Six reports fit into [`FRESHNESS_DURATION`], so that a lost
/// one and a change of leader (under 1 s) do not stop work.
pub const REPORT_INTERVAL: DurationMs = DurationMs::new(500);
/// The leader drops a minion after this silence. It is well below the limit of 3 s, because the
/// entries must also hear of it, or lose their own confirmation, before that; and well above the
/// 0.9 s to which the proof of life of a healthy minion ages between two reports.
pub const MINION_LIVENESS_TIMEOUT: DurationMs = DurationMs::new(1_800);
/// How long a minion may get work after its proof of life; 0.1 s below the limit of 3 s for clocks
/// that run at different rates.
pub const MINION_FRESHNESS_DURATION: DurationMs = DurationMs::new(2_900);
/// A stream without any message for this long is replaced by the node and cut by the leader.
pub const STREAM_IDLE_TIMEOUT: DurationMs = DurationMs::new(1_500);
/// The leader forgets a node after this silence; from [`FRESHNESS_DURATION`] on it has no effect any more.
pub const NODE_RETENTION: DurationMs = DurationMs::new(60_000);
/// How often changes in load alone are sent to an entry.
pub const LOAD_INTERVAL: DurationMs = DurationMs::new(1_000);
/// The most changes in load sent at once; 24 entries of about 100 bytes a second keep within half
/// of a node's 6 KB/s at any number of minions.
pub const MAX_LOAD_ENTRIES: usize = 24;
