//! Probes of quarantined workers.

use yuccatack_core::prelude::*;
use yuccatack_placement::{Assignment, WorkerIndex};

use crate::message::LeaseCommand;
use crate::scheduling_pass::{MAX_SCANNED_JOBS, SchedulingPass};
use crate::worker::WorkerHealth;

/// Time after which a quarantined worker that no waiting job can probe returns to service.
const PROBATION_DELAY: DurationMs = DurationMs::from_seconds(60);

impl<'a> SchedulingPass<'a> {
    /// Places one small idempotent job on each quarantined worker whose probe is due.
    pub(crate) fn probe_quarantined(&mut self) {
        let table = self.table;
        for name in &table.quarantined {
            let Some(worker) = table.workers.get(name) else { continue };
            let WorkerHealth::Quarantined { probe_at } = worker.health else { continue };
            if probe_at > self.now || !worker.tasks.is_empty() {
                continue;
            }
            let probed = self.probe(worker.index, &worker.resources);
            if !probed && self.now.since(probe_at) >= PROBATION_DELAY {
                let worker = name.clone();
                self.commands.push(LeaseCommand::ReleaseOnProbation { worker, at: self.now });
            }
        }
    }

    fn probe(&mut self, worker: WorkerIndex, resources: &Resources) -> bool {
        let table = self.table;
        let classes = [PriorityClass::Batch, PriorityClass::Standard];
        let suitable = |name: &&'a JobName| {
            table.jobs.get(*name).is_some_and(|job| {
                let spec = &job.spec;
                let whole = spec.shape.task.checked_mul(spec.shape.task_count);
                let fits = whole.is_some_and(|whole| resources.contains(&whole));
                fits && spec.idempotent && job.failed_on.is_empty() && self.within_quota(job)
            })
        };
        let heads = table.waiting.values().flat_map(|waiting| {
            classes.iter().flat_map(|class| waiting.class(*class).take(MAX_SCANNED_JOBS))
        });
        let Some(name) = heads.map(|(_, job)| job).find(suitable) else { return false };
        let Some(job) = table.jobs.get(name) else { return false };
        let task_count = job.spec.shape.task_count;
        self.decide(name, job, vec![Assignment { worker, task_count }], None);
        true
    }
}
