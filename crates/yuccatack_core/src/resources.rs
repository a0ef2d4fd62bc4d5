//! Amounts of CPU, memory and accelerators.

use serde::{Deserialize, Serialize};

/// Resources that a worker provides or a task requires.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct Resources {
    /// CPU in thousandths of a core.
    pub cores_milli: u64,
    /// Main memory in bytes.
    pub memory_bytes: u64,
    /// Number of whole accelerators; a fraction cannot be requested.
    pub accelerator_count: u32,
}

impl Resources {
    /// Returns `true` if each amount is at least the corresponding one of `required`.
    pub const fn contains(&self, required: &Self) -> bool {
        self.cores_milli >= required.cores_milli
            && self.memory_bytes >= required.memory_bytes
            && self.accelerator_count >= required.accelerator_count
    }

    /// Adds `other`, or returns `None` on overflow.
    pub fn checked_add(&self, other: &Self) -> Option<Self> {
        Some(Self {
            cores_milli: self.cores_milli.checked_add(other.cores_milli)?,
            memory_bytes: self.memory_bytes.checked_add(other.memory_bytes)?,
            accelerator_count: self.accelerator_count.checked_add(other.accelerator_count)?,
        })
    }

    /// Subtracts `other`, or returns `None` if any amount would become negative.
    pub fn checked_sub(&self, other: &Self) -> Option<Self> {
        Some(Self {
            cores_milli: self.cores_milli.checked_sub(other.cores_milli)?,
            memory_bytes: self.memory_bytes.checked_sub(other.memory_bytes)?,
            accelerator_count: self.accelerator_count.checked_sub(other.accelerator_count)?,
        })
    }

    /// Multiplies each amount by `count` tasks, or returns `None` on overflow.
    pub fn checked_mul(&self, count: u32) -> Option<Self> {
        Some(Self {
            cores_milli: self.cores_milli.checked_mul(u64::from(count))?,
            memory_bytes: self.memory_bytes.checked_mul(u64::from(count))?,
            accelerator_count: self.accelerator_count.checked_mul(count)?,
        })
    }
}
