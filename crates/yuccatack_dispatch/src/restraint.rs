//! Rules that keep a group from free capacity.

use std::fmt;

/// Rule by which the scheduler leaves free capacity unused, for other work or for a better
/// placement of the group itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Restraint {
    /// The step runs on the rack that holds its data.
    DataRack,
    /// A rack-local gang runs on a single rack.
    SingleRack,
    /// The worker is kept free for urgent work.
    Headroom,
    /// The worker is reserved for a group that is more urgent.
    Reservation,
    /// The last attempt of a task needs a worker on which no run failed recently.
    LastAttempt,
    /// The worker is quarantined.
    Quarantine,
    /// An urgent group waits for workers on which it meets its objective.
    Speed,
}

impl Restraint {
    pub const ALL: [Self; 7] = [
        Self::DataRack,
        Self::SingleRack,
        Self::Headroom,
        Self::Reservation,
        Self::LastAttempt,
        Self::Quarantine,
        Self::Speed,
    ];

    /// Returns the name that logs use.
    pub const fn name(self) -> &'static str {
        match self {
            Self::DataRack => "data_rack",
            Self::SingleRack => "single_rack",
            Self::Headroom => "headroom",
            Self::Reservation => "reservation",
            Self::LastAttempt => "last_attempt",
            Self::Quarantine => "quarantine",
            Self::Speed => "speed",
        }
    }

    const fn bit(self) -> u8 {
        1 << self as u8
    }
}

/// Set of restraints that do not apply to a placement.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Waivers(u8);

impl Waivers {
    /// All restraints apply.
    pub const NONE: Self = Self(0);

    /// Adds a restraint to the waived ones.
    #[must_use]
    pub const fn with(self, restraint: Restraint) -> Self {
        Self(self.0 | restraint.bit())
    }

    /// Waives all restraints.
    pub fn all() -> Self {
        Restraint::ALL.into_iter().fold(Self::NONE, Self::with)
    }

    pub const fn contains(self, restraint: Restraint) -> bool {
        self.0 & restraint.bit() != 0
    }
}

impl fmt::Display for Waivers {
    /// Writes the names of the waived restraints, separated by commas.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let waived = Restraint::ALL.into_iter().filter(|restraint| self.contains(*restraint));
        for (position, restraint) in waived.enumerate() {
            let separator = if position > 0 { "," } else { "" };
            write!(formatter, "{separator}{}", restraint.name())?;
        }
        Ok(())
    }
}

/// Reason why a group does not begin.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum WaitCause {
    /// One rule keeps it from free capacity that would hold it.
    Restrained(Restraint),
    /// Several rules together keep it from free capacity that would hold it.
    RestrainedBySeveral,
    /// No free capacity holds it.
    NoCapacity,
}

impl fmt::Display for WaitCause {
    /// Writes the name that logs use.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Restrained(restraint) => restraint.name(),
            Self::RestrainedBySeveral => "several",
            Self::NoCapacity => "no_capacity",
        })
    }
}
