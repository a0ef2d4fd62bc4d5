//! Guards against a schedule whose occurrences, all due at once, exhaust the leader's memory.

#![allow(clippy::unwrap_used, missing_docs)]

use std::sync::Arc;

use yuccatack_core::DurationMs;
use yuccatack_runs::{JobSpec, JobSpecError, Schedule, StepSpec};

fn repeated(occurrence_count: u32) -> JobSpec {
    let schedule =
        Schedule { first_at_unix_ms: 0, period_ms: DurationMs::new(0), occurrence_count };
    JobSpec {
        payload: Arc::from("payload"),
        steps: vec![StepSpec { task_count: 10, ..StepSpec::default() }],
        schedule: Some(schedule),
    }
}

#[test]
fn many_occurrences_refused() {
    assert_eq!(repeated(100_000).validate(), Ok(()));
    let refused = repeated(u32::MAX).validate();
    assert!(matches!(refused, Err(JobSpecError::TooManyOccurrences { .. })), "{refused:?}");
}
