//! Amounts of processors, memory and accelerators.

use serde::{Deserialize, Serialize};

/// What a worker offers or a task needs.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct Resources {
    /// Processor cores, in thousandths.
    pub cores_milli: u64,
    /// Main memory.
    pub memory_bytes: u64,
    /// Whole accelerators.
    pub accelerator_count: u32,
}

impl Resources {
    /// Whether every amount of `need` fits into this one.
    pub const fn contains(&self, need: &Self) -> bool {
        self.cores_milli >= need.cores_milli
            && self.memory_bytes >= need.memory_bytes
            && self.accelerator_count >= need.accelerator_count
    }

    /// The sum, or `None` on overflow.
    pub fn checked_add(&self, other: &Self) -> Option<Self> {
        Some(Self {
            cores_milli: self.cores_milli.checked_add(other.cores_milli)?,
            memory_bytes: self.memory_bytes.checked_add(other.memory_bytes)?,
            accelerator_count: self.accelerator_count.checked_add(other.accelerator_count)?,
        })
    }

    /// The difference, or `None` when `other` does not fit.
    pub fn checked_sub(&self, other: &Self) -> Option<Self> {
        Some(Self {
            cores_milli: self.cores_milli.checked_sub(other.cores_milli)?,
            memory_bytes: self.memory_bytes.checked_sub(other.memory_bytes)?,
            accelerator_count: self.accelerator_count.checked_sub(other.accelerator_count)?,
        })
    }

    /// The product with a number of tasks, or `None` on overflow.
    pub fn checked_mul(&self, count: u32) -> Option<Self> {
        Some(Self {
            cores_milli: self.cores_milli.checked_mul(u64::from(count))?,
            memory_bytes: self.memory_bytes.checked_mul(u64::from(count))?,
            accelerator_count: self.accelerator_count.checked_mul(count)?,
        })
    }
}
