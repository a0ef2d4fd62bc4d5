//! Interference model: learns which images slow each other on one worker.
//!
//! [`InterferenceModel`] compares how fast runs of an image progress with and without runs of
//! another image on the same worker, mostly within one run whose neighbours change. The model only
//! informs the order of choices, so that a wrong estimate costs time but never stops work. The
//! crate performs no I/O, reads no clock and knows no worker protocol.

mod exposure;
mod model;
mod observed_run;
mod regression;
mod sample;
mod step_level;

pub use model::{ImagePair, InterferenceModel};
pub use sample::{Measure, RunSample, WorkerSample};

/// Re-exports of the types that callers of the model use.
pub mod prelude {
    pub use crate::{ImagePair, InterferenceModel, Measure, RunSample, WorkerSample};
}
