//! Typed label values.

use std::fmt::{self, Display, Write};

use prometheus_client::encoding::{EncodeLabelValue, LabelValueEncoder};
use yuccatack_core::PriorityClass;

/// Label value of a name.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct NameLabel<Name>(pub(super) Name);

impl<Name> EncodeLabelValue for NameLabel<Name>
where
    Name: Display,
{
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> Result<(), fmt::Error> {
        write!(encoder, "{}", self.0)
    }
}

/// Label value of a priority class.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) struct ClassLabel(pub(super) PriorityClass);

impl EncodeLabelValue for ClassLabel {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> Result<(), fmt::Error> {
        encoder.write_str(class_name(self.0))
    }
}

/// Returns the label value of a class.
pub(crate) const fn class_name(class: PriorityClass) -> &'static str {
    match class {
        PriorityClass::Urgent => "urgent",
        PriorityClass::Standard => "standard",
        PriorityClass::Batch => "batch",
    }
}

macro_rules! label_enum {
    ($($(#[$documentation:meta])+ $name:ident {
        $($(#[$variant_documentation:meta])+ $variant:ident => $text:literal,)+
    })+) => {$(
        $(#[$documentation])+
        #[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
        pub enum $name {
            $($(#[$variant_documentation])+ $variant,)+
        }

        impl $name {
            /// Returns the label value.
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$variant => $text,)+
                }
            }
        }

        impl EncodeLabelValue for $name {
            fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> Result<(), fmt::Error> {
                encoder.write_str(self.as_str())
            }
        }
    )+};
}

label_enum! {
    /// Outcome of a consumer's call.
    CallOutcome {
        /// The caller received the requested result.
        Served => "served",
        /// The call was refused for a reason that the caller can correct.
        Refused => "refused",
        /// Nothing was done, and the response states when to retry.
        RetryLater => "later",
        /// The call may have been carried out; the caller must retry.
        Unknown => "unknown",
    }

    /// Reason for the end of a run of a task.
    RunEndKind {
        /// The task is done.
        Done => "done",
        /// The run failed.
        Failed => "failed",
        /// The run was requested to stop.
        Stopped => "stopped",
        /// The lease of the run expired on the worker.
        Lapsed => "lapsed",
        /// The gang of the run broke up or did not form.
        Broken => "broken",
        /// The run never started.
        NeverBegan => "never_began",
        /// The worker of the run was lost.
        WorkerLost => "worker_lost",
    }

    /// Outcome of a request.
    RequestOutcome {
        /// The caller received the response.
        Completed => "completed",
        /// The request was not executed, for a reason within the system.
        NotRun => "not_run",
        /// The request was not executed because it is invalid; objectives do not count it.
        Invalid => "invalid",
        /// It is not known whether the request was executed.
        Unknown => "unknown",
    }

    /// Phase of a job that has not ended.
    JobPhase {
        /// The job waits for capacity.
        Waiting => "waiting",
        /// The workers of the job prepare its tasks.
        Preparing => "preparing",
        /// The tasks of the job run.
        Running => "running",
        /// The current attempt of the job is being stopped.
        Stopping => "stopping",
    }

    /// Outcome of a job.
    JobOutcome {
        /// All tasks of the job succeeded.
        Succeeded => "succeeded",
        /// The job ran and failed.
        Failed => "failed",
        /// The job never ran.
        NotRun => "not_run",
        /// The organisation cancelled the job.
        Cancelled => "cancelled",
        /// It is not known whether the job ran to its end.
        Unknown => "unknown",
    }

    /// Health of a worker.
    WorkerHealth {
        /// The worker accepts tasks.
        Healthy => "healthy",
        /// The worker gets no tasks because too many jobs failed on it.
        Quarantined => "quarantined",
        /// The lease of the worker has expired.
        Silent => "silent",
    }
}
