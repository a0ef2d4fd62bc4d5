//! Numbers that identify positions, terms, replicas and requests.

use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! number_type {
    ($($(#[$documentation:meta])+ $name:ident),* $(,)?) => {$(
        $(#[$documentation])+
        #[derive(
            Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
        )]
        pub struct $name(u64);

        impl $name {
            /// Wraps the raw number.
            pub const fn new(number: u64) -> Self {
                Self(number)
            }

            /// The raw number.
            pub const fn get(self) -> u64 {
                self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(formatter)
            }
        }
    )*};
}

number_type! {
    /// A position in the log; the first entry has 1, and 0 stands for "before the first".
    LogIndex,
    /// An election period with at most one leader.
    Term,
    /// A replica; unique for the life of the deployment. 0 stands for "none".
    ReplicaId,
    /// A proposal, numbered by the process that makes it.
    ProposalId,
    /// A read, numbered by the process that makes it.
    ReadId,
    /// A requested change of membership, numbered by the process that requests it.
    ChangeNumber,
    /// A cluster; the data-folder incarnation of the replica that formed it. 0 stands for "none".
    ClusterId,
}

impl LogIndex {
    /// The position after this one.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// The position before this one; 0 stays.
    pub const fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

impl Term {
    /// The term after this one.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl ReplicaId {
    /// No replica.
    pub const NONE: Self = Self(0);
}

impl ClusterId {
    /// No cluster.
    pub const NONE: Self = Self(0);
}
