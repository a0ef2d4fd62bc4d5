//! Shapes of jobs and guarantees, and priority classes.

use serde::{Deserialize, Serialize};

use crate::Resources;

/// Smallest topology domain that must contain all tasks of a gang.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Adjacency {
    /// All tasks run on one worker.
    Worker,
    /// All tasks run in one rack.
    Rack,
    /// All tasks run in one data centre.
    #[default]
    DataCentre,
}

/// Resource request of a gang: identical tasks within one adjacency domain.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct Shape {
    /// Number of tasks; a gang is all-or-nothing, so either all tasks run or none does.
    pub task_count: u32,
    /// Resources that each task requires.
    pub task: Resources,
    /// Topology domain that must contain all tasks.
    pub adjacency: Adjacency,
}

/// Priority class of jobs and requests, ordered from most to least urgent.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum PriorityClass {
    /// Interactive work whose result a person waits for, such as a ranking or a counter review.
    Urgent,
    /// Ordinary work; used where no class is given.
    #[default]
    Standard,
    /// Work that may be delayed by hours, such as reconciliation or rescoring.
    Batch,
}

impl PriorityClass {
    /// All classes, most urgent first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Standard, Self::Batch];
}
