//! Invariants over what the workers really did.

use std::collections::BTreeMap;

use yuccatack_core::prelude::*;
use yuccatack_leases::*;
use yuccatack_stand_ins::TaskRecord;

use super::Platform;

/// After a worker is lost, the rest of its gang may run for this long: the lease, the margin, the
/// proposal and the way of the stop command.
const PARTIAL_LIMIT_MS: u64 = 6_000 + 500 + 2_500;

impl Platform {
    fn by_job(&self) -> BTreeMap<JobName, Vec<&TaskRecord>> {
        let mut by_job: BTreeMap<JobName, Vec<&TaskRecord>> = BTreeMap::new();
        for worker in &self.workers {
            for record in worker.model.records() {
                by_job.entry(record.task.job.clone()).or_default().push(record);
            }
        }
        by_job
    }

    /// Every violation that the workers' own records show.
    pub fn check_records(&self) -> Vec<String> {
        let mut violations = self.violations();
        for (name, records) in self.by_job() {
            let Some(entry) = self.table.job(&name) else { continue };
            if !entry.spec.idempotent {
                at_most_once(&name, &records, &mut violations);
            }
            if self.table.explain(&name).not_run {
                violations.push(format!("{name} ran and is reported as not run"));
            }
            self.whole(&name, entry, &records, &mut violations);
            self.fenced(&name, &records, &mut violations);
        }
        for (name, entry) in self.table.jobs() {
            if matches!(entry.phase, JobPhase::Succeeded) {
                self.complete(name, entry, &mut violations);
            }
        }
        violations
    }

    /// No attempt of a job starts while a task of an earlier one still runs.
    fn fenced(&self, name: &JobName, records: &[&TaskRecord], violations: &mut Vec<String>) {
        for later in records {
            for earlier in records.iter().filter(|other| other.task.epoch < later.task.epoch) {
                let end = earlier.ended.map_or(self.now, |(at, _)| at.get());
                let start = later.started_at.get();
                // A frozen process runs nothing, and its tasks end when it thaws.
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

    /// No task of an attempt runs for long without the others.
    fn whole(
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
            // A task of which its worker reported a false end is not run by that worker.
            let feigned = self.feigned(name, epoch, &records);
            let complete = records.len() + feigned == entry.spec.shape.task_count as usize;
            let lost = records
                .iter()
                .filter_map(|record| record.ended)
                .filter(|(_, state)| *state != ReportedState::Succeeded)
                .map(|(at, _)| at.get())
                .min();
            let started = records.iter().map(|record| record.started_at.get()).min().unwrap_or(0);
            let alone_from = if complete { lost } else { Some(started) };
            let Some(alone_from) = alone_from else { continue };
            for record in records {
                let end = record.ended.map_or(self.now, |(at, _)| at.get());
                // What a frozen process "runs" is no work; it ends when the process thaws.
                let frozen = self.was_frozen(record, alone_from, end);
                if end > self.partial_end(alone_from) && !frozen {
                    let alone_ms = end - alone_from;
                    violations.push(format!(
                        "{name} epoch {epoch} task {} ran {alone_ms} ms without the rest: {:?}",
                        record.task.index,
                        self.task_events(record)
                    ));
                }
            }
        }
    }

    /// What happened to an attempt, for the message of a violation.
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
                        other.task.index, worker.freezes
                    ));
                }
            }
        }
        let of_job = |event: &LeaseEvent| format!("{event:?}").contains(record.task.job.as_str());
        let events = self.events.iter().filter(|(_, event)| of_job(event));
        lines.extend(events.map(|(at, event)| format!("{at} {event:?}")));
        lines
    }

    /// How many tasks of an attempt were falsely reported and not run.
    fn feigned(&self, name: &JobName, epoch: FencingEpoch, records: &[&TaskRecord]) -> usize {
        let reports = self.workers.iter().flat_map(|worker| &worker.false_reports);
        let own = reports.filter(|task| task.job == *name && task.epoch == epoch);
        let not_run = own.filter(|task| records.iter().all(|record| record.task != **task));
        not_run.map(|task| task.index).collect::<std::collections::BTreeSet<_>>().len()
    }

    /// When the rest of a gang must have stopped. A new leader does not know how long a worker has
    /// been silent, so each leader change starts the limit again.
    fn partial_end(&self, alone_from: u64) -> u64 {
        let mut end = alone_from + PARTIAL_LIMIT_MS;
        for (lost_at, from) in &self.leader_changes {
            if *lost_at <= end && *from >= alone_from {
                end = end.max(from + PARTIAL_LIMIT_MS);
            }
        }
        end
    }

    /// Whether the record ended when its frozen process thawed.
    fn was_frozen(&self, record: &TaskRecord, from: u64, end: u64) -> bool {
        self.workers.iter().any(|worker| {
            let own = worker.model.records().iter().any(|other| std::ptr::eq(other, record));
            own && worker.freezes.iter().any(|(start, thaw)| {
                *start <= end && *thaw >= from && end <= thaw + PARTIAL_LIMIT_MS
            })
        })
    }

    /// A job that succeeded has a success of each task in one attempt.
    fn complete(&self, name: &JobName, entry: &JobEntry, violations: &mut Vec<String>) {
        if self.liars_ran(name) {
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

    fn liars_ran(&self, name: &JobName) -> bool {
        self.workers.iter().any(|worker| worker.false_reports.iter().any(|task| task.job == *name))
    }
}

/// A job that may not run again has one start of each task, or one for each confirmed checkpoint.
fn at_most_once(name: &JobName, records: &[&TaskRecord], violations: &mut Vec<String>) {
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
