//! Admission checks of jobs and guarantees; they do not change the table.

use serde::{Deserialize, Serialize};
use snafu::Snafu;
use yuccatack_core::prelude::*;
use yuccatack_placement::{GuaranteedShape, nearest_fit, pack, slot_count};

use crate::spec::{GuaranteeSpec, JobSpec};
use crate::table::LeaseTable;

/// Reason for which a job is refused.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Snafu)]
pub enum JobRefusal {
    /// The gang has no tasks.
    #[snafu(display("job `{job}` has no tasks; set the number of tasks to 1 or more"))]
    NoTasks {
        /// Name of the job.
        job: JobName,
    },
    /// A stored job has the same name and another specification.
    #[snafu(display("a job named `{job}` exists with other content; submit under a new name"))]
    NameTaken {
        /// Name of the job.
        job: JobName,
    },
    /// The job needs more accelerators than the quota of its organisation.
    #[snafu(display(
        "job `{job}` needs {needed_count} accelerators, more than the quota of {quota_count}; \
         make the job smaller or ask for a larger quota"
    ))]
    ExceedsQuota {
        /// Name of the job.
        job: JobName,
        /// Accelerators of the whole gang.
        needed_count: u64,
        /// Accelerators that the organisation may hold.
        quota_count: u32,
    },
    /// No domain is large enough for the gang, even when it is empty.
    #[snafu(display(
        "job `{job}` can never run: the largest {adjacency:?} domain holds {possible_count} of its \
         {task_count} tasks; use fewer or smaller tasks or a wider adjacency"
    ))]
    NeverFits {
        /// Name of the job.
        job: JobName,
        /// Number of tasks in the gang.
        task_count: u32,
        /// Maximum number of tasks of the gang that fit into one empty domain.
        possible_count: u32,
        /// Adjacency that the gang requires.
        adjacency: Adjacency,
    },
    /// The job failed on too many different healthy workers, or too often.
    #[snafu(display(
        "job `{job}` failed on {worker_count} different healthy workers; correct the job and \
         submit it under a new name"
    ))]
    FailedRepeatedly {
        /// Name of the job.
        job: JobName,
        /// Number of different healthy workers on which the job failed.
        worker_count: usize,
    },
}

/// Reason for which a guarantee is refused.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Snafu)]
pub enum GuaranteeRefusal {
    /// The number of tasks or of shapes is 0.
    #[snafu(display("guarantee `{guarantee}` is empty; set tasks and count to 1 or more"))]
    Empty {
        /// Name of the guarantee.
        guarantee: RecordName,
    },
    /// The guarantee refers to a data centre in which no worker was ever registered.
    #[snafu(display(
        "guarantee `{guarantee}` names data centre `{data_centre}`, which has no workers; correct \
         the name or wait for its workers"
    ))]
    UnknownDataCentre {
        /// Name of the guarantee.
        guarantee: RecordName,
        /// Name that matches no data centre of a worker registered so far.
        data_centre: DataCentreName,
    },
    /// The guarantee does not fit together with the accepted ones.
    #[snafu(display(
        "guarantee `{guarantee}` does not fit beside the accepted ones; {}",
        remedy(nearest)
    ))]
    DoesNotFit {
        /// Name of the guarantee.
        guarantee: RecordName,
        /// Nearest smaller shape and count that fit; absent when nothing smaller fits.
        nearest: Option<(Shape, u32)>,
    },
    /// Running jobs that cannot be reclaimed hold the capacity.
    #[snafu(display(
        "guarantee `{guarantee}` fits, but jobs that can be neither checkpointed nor run again \
         hold its place; submit it again when they have ended"
    ))]
    BlockedByRunningJobs {
        /// Name of the guarantee.
        guarantee: RecordName,
    },
}

fn remedy(nearest: &Option<(Shape, u32)>) -> String {
    match nearest {
        Some((shape, count)) => format!(
            "the nearest that fits is {count} x {} tasks x {} accelerators with {:?} adjacency",
            shape.task_count, shape.task.accelerator_count, shape.adjacency
        ),
        None => "nothing smaller fits; withdraw a guarantee or add workers".to_owned(),
    }
}

impl LeaseTable {
    /// Checks whether `job` would be accepted now.
    pub fn check_job(&self, job: &JobSpec) -> Result<(), JobRefusal> {
        if job.shape.task_count == 0 {
            return Err(JobRefusal::NoTasks { job: job.name.clone() });
        }
        if let Some(known) = self.jobs.get(&job.name)
            && *known.spec != *job
        {
            return Err(JobRefusal::NameTaken { job: job.name.clone() });
        }
        if let Some(quota_count) = self.quota_of(&job.organisation)
            && job.accelerator_count() > u64::from(quota_count)
        {
            return Err(JobRefusal::ExceedsQuota {
                job: job.name.clone(),
                needed_count: job.accelerator_count(),
                quota_count,
            });
        }
        let possible_count = self.largest_gang(&job.shape);
        // Before the first worker registers, no job can be said to never fit.
        if possible_count < job.shape.task_count && self.cluster.workers().next().is_some() {
            return Err(JobRefusal::NeverFits {
                job: job.name.clone(),
                task_count: job.shape.task_count,
                possible_count,
                adjacency: job.shape.adjacency,
            });
        }
        Ok(())
    }

    /// Returns the maximum number of tasks of `shape` that fit into one empty domain.
    fn largest_gang(&self, shape: &Shape) -> u32 {
        let mut slots: FastHashMap<u32, u32> = FastHashMap::default();
        for (index, capacity) in self.cluster.workers() {
            let key = match shape.adjacency {
                Adjacency::Worker => index,
                Adjacency::Rack => capacity.rack,
                Adjacency::DataCentre => capacity.data_centre,
            };
            let worker_slots = slot_count(&capacity.total, &shape.task).min(shape.task_count);
            let domain = slots.entry(key).or_default();
            *domain = domain.saturating_add(worker_slots);
        }
        slots.into_values().max().unwrap_or(0)
    }

    /// Checks whether `guarantee` would be accepted now, replacing the one with the same name.
    pub fn check_guarantee(&self, guarantee: &GuaranteeSpec) -> Result<(), GuaranteeRefusal> {
        let name = &guarantee.name;
        if guarantee.shape.task_count == 0 || guarantee.shape_count == 0 {
            return Err(GuaranteeRefusal::Empty { guarantee: name.clone() });
        }
        for data_centre in &guarantee.data_centres {
            if self.cluster.data_centre_index(data_centre).is_none() {
                return Err(GuaranteeRefusal::UnknownDataCentre {
                    guarantee: name.clone(),
                    data_centre: data_centre.clone(),
                });
            }
        }
        let accepted = self.guaranteed_shapes_except(name);
        let requested = self.guaranteed_shape(guarantee);
        let mut shapes = accepted.clone();
        let count = guarantee.shape_count as usize;
        shapes.extend(std::iter::repeat_n(requested.clone(), count));
        let capacity = self.capacity_without_reserve();
        if pack(&self.cluster, &mut capacity.clone(), &shapes).is_err() {
            let count = guarantee.shape_count;
            let nearest = nearest_fit(&self.cluster, &capacity, &accepted, &requested, count);
            return Err(GuaranteeRefusal::DoesNotFit { guarantee: name.clone(), nearest });
        }
        self.plan_bindings_with(guarantee)
            .map(|_| ())
            .ok_or_else(|| GuaranteeRefusal::BlockedByRunningJobs { guarantee: name.clone() })
    }

    pub(crate) fn guaranteed_shape(&self, guarantee: &GuaranteeSpec) -> GuaranteedShape {
        let names = guarantee.data_centres.iter();
        GuaranteedShape {
            shape: guarantee.shape,
            data_centres: names.filter_map(|name| self.cluster.data_centre_index(name)).collect(),
        }
    }

    fn guaranteed_shapes_except(&self, name: &RecordName) -> Vec<GuaranteedShape> {
        let others = self.guarantees.values().filter(|entry| entry.spec.name != *name);
        others
            .flat_map(|entry| {
                let shape = self.guaranteed_shape(&entry.spec);
                std::iter::repeat_n(shape, entry.spec.shape_count as usize)
            })
            .collect()
    }

    /// Returns the capacity of the healthy workers that are left when the reserve of each data
    /// centre has failed.
    ///
    /// The largest workers count as failed, which is the worst case for a given number.
    fn capacity_without_reserve(&self) -> Vec<Resources> {
        let mut offered = self.offered_capacity();
        for data_centre in 0..self.cluster.data_centre_count() {
            let mut members: Vec<u32> = self
                .cluster
                .workers()
                .filter(|(_, capacity)| capacity.schedulable && capacity.data_centre == data_centre)
                .map(|(index, _)| index)
                .collect();
            members
                .sort_by_key(|index| std::cmp::Reverse(offered[*index as usize].accelerator_count));
            for index in members.into_iter().take(self.policy.reserve_worker_count as usize) {
                offered[index as usize] = Resources::default();
            }
        }
        offered
    }

    /// Returns the total resources of each healthy worker by worker index; zero for other indexes.
    pub(crate) fn offered_capacity(&self) -> Vec<Resources> {
        let length = self.cluster.workers().last().map_or(0, |(index, _)| index as usize + 1);
        let mut offered = vec![Resources::default(); length];
        for (index, capacity) in self.cluster.workers().filter(|(_, capacity)| capacity.schedulable)
        {
            offered[index as usize] = capacity.total;
        }
        offered
    }
}
