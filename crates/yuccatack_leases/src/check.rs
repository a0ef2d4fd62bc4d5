//! Checks of jobs and guarantees that change nothing.

use serde::{Deserialize, Serialize};
use snafu::Snafu;
use yuccatack_core::prelude::*;
use yuccatack_placement::{GuaranteedShape, nearest_fit, pack, slot_count};

use crate::spec::{GuaranteeSpec, JobSpec};
use crate::table::LeaseTable;

/// Why a job is not accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Snafu)]
pub enum JobRefusal {
    /// The gang is empty.
    #[snafu(display("job `{job}` has no tasks; set the number of tasks to 1 or more"))]
    NoTasks {
        /// The job.
        job: JobName,
    },
    /// The name is taken.
    #[snafu(display("a job named `{job}` exists with other content; submit under a new name"))]
    NameTaken {
        /// The job.
        job: JobName,
    },
    /// The quota can never allow it.
    #[snafu(display(
        "job `{job}` needs {needed_count} accelerators, more than the quota of {quota_count}; \
         make the job smaller or ask for a larger quota"
    ))]
    ExceedsQuota {
        /// The job.
        job: JobName,
        /// What it needs.
        needed_count: u64,
        /// What the organisation may hold.
        quota_count: u32,
    },
    /// No domain of the platform is large enough.
    #[snafu(display(
        "job `{job}` can never run: the largest {adjacency:?} domain holds {possible_count} of its \
         {task_count} tasks; use fewer or smaller tasks or a wider adjacency"
    ))]
    NeverFits {
        /// The job.
        job: JobName,
        /// The tasks it has.
        task_count: u32,
        /// The tasks that the best domain holds when it is empty.
        possible_count: u32,
        /// How close together the tasks must run.
        adjacency: Adjacency,
    },
    /// It failed wherever it ran.
    #[snafu(display(
        "job `{job}` failed on {worker_count} different healthy workers; correct the job and \
         submit it under a new name"
    ))]
    FailedRepeatedly {
        /// The job.
        job: JobName,
        /// The workers it failed on.
        worker_count: usize,
    },
}

/// Why a guarantee is not accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Snafu)]
pub enum GuaranteeRefusal {
    /// The shape or count is empty.
    #[snafu(display("guarantee `{guarantee}` is empty; set tasks and count to 1 or more"))]
    Empty {
        /// The guarantee.
        guarantee: RecordName,
    },
    /// A data centre is not known.
    #[snafu(display(
        "guarantee `{guarantee}` names data centre `{data_centre}`, which has no workers; correct \
         the name or wait for its workers"
    ))]
    UnknownDataCentre {
        /// The guarantee.
        guarantee: RecordName,
        /// The unknown data centre.
        data_centre: DataCentreName,
    },
    /// The accepted guarantees and this one do not fit together.
    #[snafu(display(
        "guarantee `{guarantee}` does not fit beside the accepted ones; {}",
        remedy(nearest)
    ))]
    DoesNotFit {
        /// The guarantee.
        guarantee: RecordName,
        /// The nearest smaller shape and count that fit.
        nearest: Option<(Shape, u32)>,
    },
    /// Running jobs that cannot be reclaimed are in the way.
    #[snafu(display(
        "guarantee `{guarantee}` fits, but jobs that can be neither checkpointed nor run again \
         hold its place; submit it again when they have ended"
    ))]
    BlockedByRunningJobs {
        /// The guarantee.
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
    /// Whether `job` would be accepted now.
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
        // Before the first worker registers, nothing is known about what can ever run.
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

    /// The most tasks of `shape` that any one domain holds when it is empty.
    fn largest_gang(&self, shape: &Shape) -> u32 {
        let mut slots: FastHashMap<u32, u32> = FastHashMap::default();
        for (index, cell) in self.cluster.workers() {
            let key = match shape.adjacency {
                Adjacency::Worker => index,
                Adjacency::Rack => cell.rack,
                Adjacency::DataCentre => cell.data_centre,
            };
            let here = slot_count(&cell.total, &shape.task).min(shape.task_count);
            let domain = slots.entry(key).or_default();
            *domain = domain.saturating_add(here);
        }
        slots.into_values().max().unwrap_or(0)
    }

    /// Whether `guarantee` would be accepted now, in place of the one with the same name.
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
        let wanted = self.guaranteed_shape(guarantee);
        let mut shapes = accepted.clone();
        let count = guarantee.shape_count as usize;
        shapes.extend(std::iter::repeat_n(wanted.clone(), count));
        let capacity = self.capacity_without_reserve();
        if pack(&self.cluster, &mut capacity.clone(), &shapes).is_err() {
            let count = guarantee.shape_count;
            let nearest = nearest_fit(&self.cluster, &capacity, &accepted, &wanted, count);
            return Err(GuaranteeRefusal::DoesNotFit { guarantee: name.clone(), nearest });
        }
        self.plan_bindings_with(guarantee)
            .map(|_| ())
            .ok_or_else(|| GuaranteeRefusal::BlockedByRunningJobs { guarantee: name.clone() })
    }

    pub(crate) fn guaranteed_shape(&self, guarantee: &GuaranteeSpec) -> GuaranteedShape {
        let centres = guarantee.data_centres.iter();
        GuaranteedShape {
            shape: guarantee.shape,
            data_centres: centres.filter_map(|name| self.cluster.data_centre_index(name)).collect(),
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

    /// What healthy workers offer when the reserve of each data centre has failed.
    ///
    /// The largest workers count as failed, which is the worst case for a given number.
    fn capacity_without_reserve(&self) -> Vec<Resources> {
        let mut offered = self.offered_capacity();
        for data_centre in 0..self.cluster.data_centre_count() {
            let mut members: Vec<u32> = self
                .cluster
                .workers()
                .filter(|(_, cell)| cell.schedulable && cell.data_centre == data_centre)
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

    /// The total of each healthy worker, by worker index.
    pub(crate) fn offered_capacity(&self) -> Vec<Resources> {
        let length = self.cluster.workers().last().map_or(0, |(index, _)| index as usize + 1);
        let mut offered = vec![Resources::default(); length];
        for (index, cell) in self.cluster.workers().filter(|(_, cell)| cell.schedulable) {
            offered[index as usize] = cell.total;
        }
        offered
    }
}
