//! Dependencies between the steps of a job, derived from its specification.

use crate::spec::{JobSpec, StepSpec};

/// Dependencies and totals of the steps of a job.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct StepGraph {
    /// Steps that wait for no other step.
    first_steps: Vec<u32>,
    /// Position in `followers` at which the followers of each step begin, and the end of the last.
    follower_offsets: Vec<usize>,
    /// Steps that wait for each step, once per mention.
    followers: Vec<u32>,
    /// Number of task groups with which an occurrence begins.
    first_group_count: u64,
    task_count: u64,
    peak_accelerator_count: u64,
    /// Estimated bytes of the progress of one occurrence in a snapshot.
    progress_bytes: u64,
}

impl StepGraph {
    pub fn new(spec: &JobSpec) -> Self {
        let steps = &spec.steps;
        let mut follower_offsets = vec![0; steps.len() + 1];
        let edges = || {
            let edges = (0u32..).zip(steps).flat_map(|(step, spec)| {
                spec.after.iter().map(move |after| (*after as usize, step))
            });
            edges.filter(|(after, _)| *after < steps.len())
        };
        edges().for_each(|(after, _)| follower_offsets[after + 1] += 1);
        for step in 0..steps.len() {
            follower_offsets[step + 1] += follower_offsets[step];
        }
        let mut followers = vec![0; follower_offsets[steps.len()]];
        let mut next_positions = follower_offsets.clone();
        for (after, step) in edges() {
            followers[next_positions[after]] = step;
            next_positions[after] += 1;
        }
        let is_first = |spec: &StepSpec| spec.after.is_empty() && spec.task_count > 0;
        let first = (0u32..).zip(steps).filter(|(_, spec)| is_first(spec));
        let accelerators =
            |spec: &StepSpec| u64::from(spec.demand.accelerator_count) * u64::from(spec.task_count);
        Self {
            first_steps: first.clone().map(|(step, _)| step).collect(),
            follower_offsets,
            followers,
            first_group_count: first.map(|(_, spec)| group_count(spec)).sum(),
            task_count: steps.iter().map(|spec| u64::from(spec.task_count)).sum(),
            progress_bytes: spec.progress_bytes(),
            peak_accelerator_count: steps.iter().map(accelerators).max().unwrap_or(0),
        }
    }

    pub fn first_steps(&self) -> &[u32] {
        &self.first_steps
    }

    pub fn first_group_count(&self) -> u64 {
        self.first_group_count
    }

    /// Returns the number of tasks over all steps.
    pub fn task_count(&self) -> u64 {
        self.task_count
    }

    /// Returns the accelerators that the largest step needs.
    pub fn peak_accelerator_count(&self) -> u64 {
        self.peak_accelerator_count
    }

    pub fn progress_bytes(&self) -> u64 {
        self.progress_bytes
    }

    /// Returns the steps that wait for a step, once per mention.
    pub fn followers(&self, step: u32) -> &[u32] {
        let step = step as usize;
        &self.followers[self.follower_offsets[step]..self.follower_offsets[step + 1]]
    }
}

/// Returns the number of groups in which the tasks of a step begin.
pub(crate) fn group_count(spec: &StepSpec) -> u64 {
    if spec.gang { 1 } else { u64::from(spec.task_count) }
}
