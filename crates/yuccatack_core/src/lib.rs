//! Names, identifiers, units and collections shared by all crates of the workspace.
//!
//! The crate performs no I/O and reads no clock. Import [`prelude`] for the common types.

mod collections;
mod identifiers;
mod names;
mod resources;
mod shape;
mod time;

pub use collections::{FastHashMap, FastHashSet};
pub use identifiers::{
    AttemptId, ChangeId, FencingEpoch, Generation, Incarnation, ParseAttemptIdError, Revision,
};
pub use names::{
    DataCentreName, InvalidNameError, JobName, MinionName, NodeName, OrganisationName, QueueName,
    RackName, RecordName, ServiceName, WorkerName,
};
pub use resources::Resources;
pub use shape::{Adjacency, PriorityClass, Shape};
pub use time::{DurationMs, TimestampMs};

/// Re-exports of the types that almost every module uses.
pub mod prelude {
    pub use crate::{
        Adjacency, AttemptId, ChangeId, DataCentreName, DurationMs, FastHashMap, FastHashSet,
        FencingEpoch, Generation, Incarnation, JobName, MinionName, NodeName, OrganisationName,
        PriorityClass, QueueName, RackName, RecordName, Resources, Revision, ServiceName, Shape,
        TimestampMs, WorkerName,
    };
}
