//! Guards against a run end that is applied to the wrong task because its identifier was misread.

#![allow(clippy::unwrap_used, missing_docs)]

use yuccatack_core::JobName;
use yuccatack_runs::TaskId;

#[test]
fn names_round_trip() {
    let job = JobName::new("5c0e7a21d94b36f8").unwrap();
    let task = TaskId { job, occurrence: 3, step: 1, index: 17 };
    assert_eq!(task.to_string(), "5c0e7a21d94b36f8.3.1.17");
    assert_eq!(task.to_string().parse::<TaskId>().unwrap(), task);
}

#[test]
fn malformed_names_refused() {
    for text in ["", "a", "a.0.1", "a.0.1.2.3", "a.0.x.2", "a.0.-1.2", ".0.1.2", "a b.0.1.2"] {
        assert!(text.parse::<TaskId>().is_err(), "`{text}` was accepted as a task identifier");
    }
}
