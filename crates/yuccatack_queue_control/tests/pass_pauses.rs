//! Guards against a leader that schedules nothing for a long time after a pass during which its
//! process was suspended: the pause after a pass is a multiple of the pass's duration.

#![allow(missing_docs)]

use yuccatack_core::DurationMs;
use yuccatack_queue_control::pause_after_pass;

#[test]
fn suspension_bounded() {
    let pause = pause_after_pass(DurationMs::new(5_000));
    assert!(pause <= DurationMs::new(500), "the leader schedules nothing for {pause:?}");
}

#[test]
fn short_pass_spaced() {
    assert_eq!(pause_after_pass(DurationMs::new(20)), DurationMs::new(60));
    assert_eq!(pause_after_pass(DurationMs::new(0)), DurationMs::new(0));
}
