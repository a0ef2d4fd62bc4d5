//! The shape of jobs and guarantees, and the classes of work.

use serde::{Deserialize, Serialize};

use crate::Resources;

/// How close together the tasks of a gang must run.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Adjacency {
    /// All tasks on one worker.
    Worker,
    /// All tasks in one rack.
    Rack,
    /// All tasks in one data centre.
    #[default]
    DataCentre,
}

/// What a gang occupies: equal tasks within one adjacency domain.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct Shape {
    /// The number of tasks; all of them run or none does.
    pub task_count: u32,
    /// What each task needs.
    pub task: Resources,
    /// How close together the tasks must run.
    pub adjacency: Adjacency,
}

/// The priority class of jobs and requests, from most to least urgent.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum PriorityClass {
    /// Somebody waits for the result, for example a ranking or a counter review.
    Urgent,
    /// Ordinary work.
    #[default]
    Standard,
    /// Work that may wait for hours, for example reconciliation or rescoring.
    Batch,
}

impl PriorityClass {
    /// Every class, most urgent first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Standard, Self::Batch];
}
