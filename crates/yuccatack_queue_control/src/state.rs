//! The replicated state.

use serde::{Deserialize, Serialize};
use yuccatack_core::JobName;
use yuccatack_dispatch::TableChange;
use yuccatack_queues::{Acceptance, ConfigurationStore};
use yuccatack_runs::{CancelOutcome, JobTable, SubmitOutcome};

use crate::command::Command;

/// How long an ended job can be asked for. The platform asks for two minutes.
const RETENTION_MS: u64 = 10 * 60 * 1000;

/// How many jobs one command drops at most, so that it stays small.
const FORGET_LIMIT_COUNT: usize = 256;

/// Everything that the log decides.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct QueueState {
    pub configuration: ConfigurationStore,
    pub jobs: JobTable,
}

/// What a command did.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Applied {
    Submitted(SubmitOutcome),
    Cancelled(CancelOutcome),
    Configured(Acceptance),
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
                Applied::Configured(self.configuration.accept(configuration))
            }
            Command::Change { changes, now_unix_ms } => {
                for change in changes {
                    self.change(change, now_unix_ms);
                }
                Applied::Changed
            }
            Command::Forget(names) => {
                self.jobs.remove_ended(&names);
                Applied::Changed
            }
        }
    }

    fn change(&mut self, change: TableChange, now_unix_ms: u64) {
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
        }
    }

    /// Ended jobs that nobody asks for any more.
    pub fn expired_jobs(&self, now_unix_ms: u64) -> Vec<JobName> {
        let expired = self.jobs.jobs().filter(|job| {
            let ended = job.ended_at_unix_ms;
            ended.is_some_and(|ended| now_unix_ms.saturating_sub(ended) > RETENTION_MS)
        });
        expired.map(|job| job.submission.name.clone()).take(FORGET_LIMIT_COUNT).collect()
    }
}
