//! Tests that a snapshot restores the lease table.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use support::*;
use yuccatack_core::prelude::*;
use yuccatack_leases::*;

/// Guards against state that a snapshot omits, so that a replica restored from it diverges.
#[test]
fn whole_table() {
    let mut platform = Platform::new(7, workers(6, 2));
    platform.run_for(1_000);
    let kept = guarantee("kept", "alpha", shape(2, 4, Adjacency::Rack), 1);
    platform.apply(LeaseCommand::SetGuarantee(kept));
    for number in 0..8 {
        let shape = shape(1 + number % 3, 4, Adjacency::DataCentre);
        platform.submit(job(&format!("job-{number}"), "beta", shape));
    }
    platform.run_for(3_000);
    let bytes = rmp_serde::to_vec_named(&platform.table).unwrap();
    let restored: LeaseTable = rmp_serde::from_slice(&bytes).unwrap();
    assert_eq!(restored, platform.table);
}
