//! Jobs, gangs, attempts, worker health and reclaim.
