//! Number types for log positions, terms, replicas and requests.

use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! number_type {
    ($($(#[$documentation:meta])+ $name:ident),* $(,)?) => {$(
        $(#[$documentation])+
        #[derive(
            Clone,
            Copy,
            Debug,
            Default,
            Eq,
            Hash,
            Ord,
            PartialEq,
            PartialOrd,
            Serialize,
            Deserialize,
        )]
        pub struct $name(u64);

        impl $name {
            /// Creates an identifier from its raw number.
            pub const fn new(number: u64) -> Self {
                Self(number)
            }

            /// Returns the raw number.
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
    /// Position in the log; the first entry has 1, and 0 is the position before it.
    LogIndex,
    /// Election period with at most one leader.
    Term,
    /// Number of a replica, never reused within a deployment. 0 stands for no replica.
    ReplicaId,
    /// Number of a proposal, assigned by the process that makes it.
    ProposalId,
    /// Number of a read, assigned by the process that makes it.
    ReadId,
    /// Number of a requested membership change, assigned by the process that requests it.
    ChangeNumber,
    /// Identifier of a cluster, the data folder incarnation of its founder; 0 for no cluster.
    ClusterId,
}

impl LogIndex {
    /// Returns the index after this one.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// Returns the index before this one; 0 for 0.
    pub const fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

impl Term {
    /// Returns the term after this one.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl ReplicaId {
    /// Stands for "no replica", for example where no vote was given.
    pub const NONE: Self = Self(0);
}

impl ClusterId {
    /// Stands for "no cluster", in a new data folder.
    pub const NONE: Self = Self(0);
}
