//! How long calls for others may take.

use std::time::Duration;

use yuccatack_core::DurationMs;

/// How long a caller's request is tried. An election takes about a second; a caller that is refused
/// then comes back after [`RETRY_AFTER`], which serves it sooner than a longer wait here.
const CALLER_LIMIT: Duration = Duration::from_millis(1_300);

/// What is left of a caller's time for the answer on its way back.
const RETURN_MARGIN: Duration = Duration::from_millis(100);

/// How long an operator's request is tried; operators go to another node after a second.
pub const OPERATOR_CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// When a caller whose request has not run comes back; by then an election is over.
pub const RETRY_AFTER: Duration = Duration::from_secs(1);

/// How long a request is tried for a caller that waits for `deadline`.
pub fn caller_timeout(deadline: Option<DurationMs>) -> Duration {
    let waits = deadline.map_or(CALLER_LIMIT, Duration::from);
    waits.saturating_sub(RETURN_MARGIN).min(CALLER_LIMIT)
}
