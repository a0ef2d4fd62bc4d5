//! Limits that the publisher and the subscribers of view streams rely on.

use yuccatack_core::prelude::*;

/// Time for which a node may start new work after it sent a report that the leader confirmed.
pub const FRESHNESS_DURATION: DurationMs = DurationMs::new(3_000);
/// Tolerance for clocks that run at different rates and for rounding to milliseconds.
pub const CLOCK_MARGIN: DurationMs = DurationMs::new(500);
/// Interval between the reports of a node without changes. Six reports fit into
/// [`FRESHNESS_DURATION`], so a lost report and a change of leader (under 1 s) do not stop work.
pub const REPORT_INTERVAL: DurationMs = DurationMs::new(500);
/// Age of the proof of liveness at which the leader removes a minion from the view. It is well
/// below the limit of 3 s, because within that limit the entries must also receive the removal or
/// lose their own confirmation. It is well above the 0.9 s that the proof of a healthy minion
/// reaches between two reports.
pub const MINION_LIVENESS_TIMEOUT: DurationMs = DurationMs::new(1_800);
/// Time for which a minion may receive work after its proof of liveness. It is 0.1 s below the
/// limit of 3 s to tolerate clocks that run at different rates.
pub const MINION_FRESHNESS_DURATION: DurationMs = DurationMs::new(2_900);
/// Time without a message after which the node replaces a stream and the leader closes it.
pub const STREAM_IDLE_TIMEOUT: DurationMs = DurationMs::new(1_500);
/// Time without a report after which the leader removes a node from its table. The node stops
/// delaying changes earlier, after [`FRESHNESS_DURATION`] and [`CLOCK_MARGIN`].
pub const NODE_RETENTION: DurationMs = DurationMs::new(60_000);
/// Interval between updates to an entry that contain only changes in load.
pub const LOAD_UPDATE_INTERVAL: DurationMs = DurationMs::new(1_000);
/// Maximum number of minions in an update whose load alone has changed. 24 entries of about 100
/// bytes a second use less than half of a node's 6 KB/s at any number of minions.
pub const MAX_LOAD_ENTRIES: usize = 24;
