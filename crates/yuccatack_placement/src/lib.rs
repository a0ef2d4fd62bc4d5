//! Placement of jobs and guarantees on accelerators.
