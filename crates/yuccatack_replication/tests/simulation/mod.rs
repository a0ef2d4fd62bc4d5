//! Simulation of replicas in virtual time: a lossy network, disks that lose unsynced data, and
//! checks of the protocol's invariants.
#![allow(clippy::unwrap_used, missing_docs, dead_code)]

pub mod checks;
pub mod clients;
pub mod disk;
pub mod faults;
pub mod operator;
pub mod seeds;
pub mod simulator;

pub use simulator::{Simulator, SimulatorSettings};
