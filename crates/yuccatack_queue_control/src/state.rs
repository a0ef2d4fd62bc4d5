//! Replicated state machine of queue configuration and jobs.

use serde::{Deserialize, Serialize};
use yuccatack_core::{DurationMs, JobName};
use yuccatack_dispatch::TableChange;
use yuccatack_queues::{Acceptance, ConfigurationStore, EvacuationStore};
use yuccatack_runs::{CancelOutcome, JobTable, SubmitOutcome};

use crate::command::Command;
use crate::job_names::job_origin;
use crate::speeds::StoredSpeeds;

/// Time for which an ended job can still be read. The platform requires two minutes.
pub(crate) const ENDED_JOB_RETENTION: DurationMs = DurationMs::new(10 * 60 * 1000);

/// Maximum number of jobs that one command removes, which bounds the size of its log entry.
pub(crate) const REMOVAL_LIMIT_COUNT: usize = 256;

/// State that results from applying the log; also the content of a snapshot.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct QueueState {
    pub configuration: ConfigurationStore,
    pub jobs: JobTable,
    /// Snapshots of earlier versions have no evacuations.
    #[serde(default)]
    pub evacuations: EvacuationStore,
    /// Speeds of machines; empty in snapshots of earlier versions.
    #[serde(default, skip_serializing_if = "StoredSpeeds::is_empty")]
    pub speeds: StoredSpeeds,
}

/// Result of applying a command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Applied {
    Submitted(SubmitOutcome),
    Cancelled(CancelOutcome),
    Configured(Acceptance),
    /// An evacuation began or ended, if `changed`; otherwise the order was in force already.
    Evacuated {
        changed: bool,
    },
    Changed,
}

impl QueueState {
    pub fn apply(&mut self, command: Command) -> Applied {
        match command {
            Command::Submit(submission) => Applied::Submitted(self.jobs.submit(*submission)),
            Command::Cancel { name, now_unix_ms } => {
                Applied::Cancelled(self.jobs.cancel(&name, now_unix_ms))
            }
            Command::Configure(configuration) => {
                if configuration.version > self.configuration.version() {
                    self.add_missing_origins();
                }
                Applied::Configured(self.configuration.accept(configuration))
            }
            Command::Change { changes, now_unix_ms } => {
                for change in changes {
                    self.apply_change(change, now_unix_ms);
                }
                Applied::Changed
            }
            Command::StoreSpeeds { changed, removed } => {
                self.speeds.apply(changed, &removed);
                Applied::Changed
            }
            Command::RemoveEnded(names) => {
                self.jobs.remove_ended(&names);
                Applied::Changed
            }
            Command::Evacuate { data_centre } => {
                Applied::Evacuated { changed: self.evacuations.evacuate(data_centre) }
            }
            Command::Readmit { data_centre } => {
                Applied::Evacuated { changed: self.evacuations.readmit(&data_centre) }
            }
        }
    }

    /// Records where the jobs of earlier versions were submitted, while the configuration in force
    /// tells the addresses of their queues.
    fn add_missing_origins(&mut self) {
        let configuration = &self.configuration;
        self.jobs.add_missing_origins(|submission| {
            configuration.queue(&submission.queue).map(|queue| job_origin(queue, None))
        });
    }

    fn apply_change(&mut self, change: TableChange, now_unix_ms: u64) {
        match change {
            TableChange::Begin(group) => {
                self.jobs.begin(&group);
            }
            TableChange::End(end) => {
                self.jobs.end(end, now_unix_ms);
            }
            TableChange::AcknowledgeEnds(incarnation, number) => {
                self.jobs.acknowledge_ends(&incarnation, number)
            }
            TableChange::CompleteLate(run) => {
                self.jobs.complete_late(&run, now_unix_ms);
            }
        }
    }

    /// Returns ended jobs whose retention period is over, up to [`REMOVAL_LIMIT_COUNT`].
    pub fn expired_jobs(&self, now_unix_ms: u64) -> Vec<JobName> {
        let expired = self.jobs.jobs().filter(|job| {
            let ended = job.ended_at_unix_ms;
            ended.is_some_and(|ended| now_unix_ms.saturating_sub(ended) > ENDED_JOB_RETENTION.get())
        });
        expired.map(|job| job.submission.name.clone()).take(REMOVAL_LIMIT_COUNT).collect()
    }
}
