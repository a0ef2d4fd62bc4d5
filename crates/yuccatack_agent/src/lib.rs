//! The agent process beside each minion.
