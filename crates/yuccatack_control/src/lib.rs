//! The control process: the replicated state of records, leases and claims.
