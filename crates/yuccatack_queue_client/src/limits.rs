//! Timeouts of calls on behalf of callers and operators.

use std::time::Duration;

use yuccatack_core::DurationMs;

/// Longest timeout of a caller's request. An election takes about a second; a caller that is
/// refused meanwhile retries after [`RETRY_AFTER`], which serves it sooner than a longer wait.
const CALLER_TIMEOUT: Duration = Duration::from_millis(1_300);

/// Part of a caller's deadline that is reserved for sending the response.
const RESPONSE_MARGIN: Duration = Duration::from_millis(100);

/// Timeout of an operator's request; operators try another node after a second.
pub const OPERATOR_CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Delay after which a caller whose request has not run should retry; an election is over by then.
pub const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Returns the timeout of a request whose caller waits for `deadline`; `None` means that the caller
/// has set no deadline.
pub fn caller_timeout(deadline: Option<DurationMs>) -> Duration {
    let time_left = deadline.map_or(CALLER_TIMEOUT, Duration::from);
    time_left.saturating_sub(RESPONSE_MARGIN).min(CALLER_TIMEOUT)
}
