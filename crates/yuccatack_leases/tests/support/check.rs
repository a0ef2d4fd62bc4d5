//! Checks of invariants against the records that the workers keep of their own tasks.

use std::collections::BTreeMap;

use yuccatack_core::prelude::*;
use yuccatack_leases::*;
use yuccatack_stand_ins::TaskRecord;

use super::Platform;

/// Time for which the rest of a gang may run after a worker is lost: lease, clock margin, and
/// proposal and delivery of the stop command.
const PARTIAL_LIMIT_MS: u64 = 6_000 + 500 + 2_500;

impl Platform {
    fn records_by_job(&self) -> BTreeMap<JobName, Vec<&TaskRecord>> {
        let mut records_by_job: BTreeMap<JobName, Vec<&TaskRecord>> = BTreeMap::new();
        for worker in &self.workers {
            for record in worker.model.records() {
                records_by_job.entry(record.task.job.clone()).or_default().push(record);
            }
        }
        records_by_job
    }

    /// Returns every violation that the records of the workers show.
    pub fn check_records(&self) -> Vec<String> {
        let mut violations = self.violations();
        for (name, records) in self.records_by_job() {
            let Some(entry) = self.table.job(&name) else { continue };
            if !entry.spec.idempotent {
                check_at_most_once(&name, &records, &mut violations);
            }
            if self.table.explain(&name).not_run {
                violations.push(format!("{name} ran and is reported as not run"));
            }
            self.check_gang_complete(&name, entry, &records, &mut violations);
            self.check_fencing(&name, &records, &mut violations);
        }
        for (name, entry) in self.table.jobs() {
            if matches!(entry.phase, JobPhase::Succeeded) {
                self.check_success_complete(name, entry, &mut violations);
            }
        }
        violations
    }

    /// Checks that no attempt of a job starts while a task of an earlier attempt still runs.
    fn check_fencing(&self, name: &JobName, records: &[&TaskRecord], violations: &mut Vec<String>) {
        for later in records {
            for earlier in records.iter().filter(|other| other.task.epoch < later.task.epoch) {
                let end = earlier.ended.map_or(self.now, |(at, _)| at.get());
                let start = later.started_at.get();
                // A frozen process executes nothing, and its tasks end when it resumes.
                if end > start && !self.was_frozen(earlier, start, end) {
                    violations.push(format!(
                        "{name} epoch {} started {} ms before epoch {} had ended",
                        later.task.epoch,
                        end - start,
                        earlier.task.epoch
                    ));
                }
            }
        }
    }

    /// Checks that no task of an attempt runs longer than the limit without the others.
    fn check_gang_complete(
        &self,
        name: &JobName,
        entry: &JobEntry,
        records: &[&TaskRecord],
        violations: &mut Vec<String>,
    ) {
        let mut attempts: BTreeMap<FencingEpoch, Vec<&TaskRecord>> = BTreeMap::new();
        for record in records {
            attempts.entry(record.task.epoch).or_default().push(record);
        }
        for (epoch, records) in attempts {
            // A worker does not run a task of which it falsely reported the end.
            let falsely_reported_count = self.falsely_reported_count(name, epoch, &records);
            let complete =
                records.len() + falsely_reported_count == entry.spec.shape.task_count as usize;
            let lost = records
                .iter()
                .filter_map(|record| record.ended)
                .filter(|(_, state)| *state != ReportedState::Succeeded)
                .map(|(at, _)| at.get())
                .min();
            let started = records.iter().map(|record| record.started_at.get()).min().unwrap_or(0);
            let partial_since_ms = if complete { lost } else { Some(started) };
            let Some(partial_since_ms) = partial_since_ms else { continue };
            for record in records {
                let end = record.ended.map_or(self.now, |(at, _)| at.get());
                // The tasks of a frozen process execute nothing and end when it resumes.
                let frozen = self.was_frozen(record, partial_since_ms, end);
                if end > self.partial_deadline(partial_since_ms) && !frozen {
                    let partial_ms = end - partial_since_ms;
                    violations.push(format!(
                        "{name} epoch {epoch} task {} ran {partial_ms} ms without the rest: {:?}",
                        record.task.index,
                        self.task_events(record)
                    ));
                }
            }
        }
    }

    /// Returns the task records and events of an attempt, for the message of a violation.
    fn task_events(&self, record: &TaskRecord) -> Vec<String> {
        let mut lines = Vec::new();
        for worker in &self.workers {
            for other in worker.model.records() {
                let same = other.task.job == record.task.job;
                if same && other.task.epoch == record.task.epoch {
                    let name = &worker.model.registration().worker;
                    let (from, to) = (other.started_at.get(), other.ended);
                    lines.push(format!(
                        "{name} {} {from} {to:?} {:?}",
                        other.task.index, worker.freeze_intervals
                    ));
                }
            }
        }
        let of_job = |event: &LeaseEvent| format!("{event:?}").contains(record.task.job.as_str());
        let events = self.events.iter().filter(|(_, event)| of_job(event));
        lines.extend(events.map(|(at, event)| format!("{at} {event:?}")));
        lines
    }

    /// Returns the number of tasks of an attempt that were falsely reported and not run.
    fn falsely_reported_count(
        &self,
        name: &JobName,
        epoch: FencingEpoch,
        records: &[&TaskRecord],
    ) -> usize {
        let reports = self.workers.iter().flat_map(|worker| &worker.false_reports);
        let own = reports.filter(|task| task.job == *name && task.epoch == epoch);
        let not_run = own.filter(|task| records.iter().all(|record| record.task != **task));
        not_run.map(|task| task.index).collect::<std::collections::BTreeSet<_>>().len()
    }

    /// Returns the time by which the rest of a gang must have stopped. A new leader does not know
    /// when a worker sent its last heartbeat, so each leader change restarts the limit.
    fn partial_deadline(&self, partial_since_ms: u64) -> u64 {
        let mut end = partial_since_ms + PARTIAL_LIMIT_MS;
        for (lost_at, from) in &self.leader_changes {
            if *lost_at <= end && *from >= partial_since_ms {
                end = end.max(from + PARTIAL_LIMIT_MS);
            }
        }
        end
    }

    /// Returns `true` if the process of the task was frozen between `from` and `end`, and `end` is
    /// at most [`PARTIAL_LIMIT_MS`] after it resumed.
    fn was_frozen(&self, record: &TaskRecord, from: u64, end: u64) -> bool {
        self.workers.iter().any(|worker| {
            let own = worker.model.records().iter().any(|other| std::ptr::eq(other, record));
            own && worker.freeze_intervals.iter().any(|(start, resumed_at)| {
                *start <= end && *resumed_at >= from && end <= resumed_at + PARTIAL_LIMIT_MS
            })
        })
    }

    /// Checks that every task of a successful job succeeded in its last attempt.
    fn check_success_complete(
        &self,
        name: &JobName,
        entry: &JobEntry,
        violations: &mut Vec<String>,
    ) {
        if self.has_false_reports(name) {
            return;
        }
        let done = |index: u32| {
            self.starts(name).iter().any(|record| {
                let succeeded =
                    record.ended.is_some_and(|(_, state)| state == ReportedState::Succeeded);
                succeeded && record.task.index == index && record.task.epoch == entry.last_epoch
            })
        };
        if !(0..entry.spec.shape.task_count).all(done) {
            violations.push(format!("{name} is reported as succeeded without all its tasks"));
        }
    }

    fn has_false_reports(&self, name: &JobName) -> bool {
        self.workers.iter().any(|worker| worker.false_reports.iter().any(|task| task.job == *name))
    }
}

/// Checks that a job that may not run again started each task once, or once per confirmed
/// checkpoint.
fn check_at_most_once(name: &JobName, records: &[&TaskRecord], violations: &mut Vec<String>) {
    let mut starts: BTreeMap<(u32, Option<FencingEpoch>), u32> = BTreeMap::new();
    for record in records {
        *starts.entry((record.task.index, record.resume_epoch)).or_default() += 1;
    }
    for ((index, resume_epoch), count) in starts {
        if count > 1 {
            violations.push(format!(
                "{name} task {index} was started {count} times from checkpoint {resume_epoch:?}"
            ));
        }
    }
}
