//! Progress model: learns how fast machines are from the progress of the runs on them.
//!
//! [`ProgressModel`] compares the runs of one step with each other: runs that progress faster than
//! the others of their step are taken as a sign of a faster machine. The model only informs the
//! order of choices, so that a wrong estimate costs time but never stops work. The crate performs no
//! I/O, reads no clock and knows no worker protocol.

mod estimate;
mod group;
mod machine;
mod model;
mod rate;
mod run_time;
mod sample;
mod summary;

pub use estimate::MachineEstimate;
pub use model::ProgressModel;
pub use sample::{GroupId, ProgressSample, RunKey};
pub use summary::{EstimateError, EstimateRecord};

/// Re-exports of the types that callers of the model use.
pub mod prelude {
    pub use crate::{
        EstimateRecord, GroupId, MachineEstimate, ProgressModel, ProgressSample, RunKey,
    };
}
