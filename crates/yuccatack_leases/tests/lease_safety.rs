//! Tests that the capacity of a worker is never released while its lease may still be valid.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use support::*;
use yuccatack_core::prelude::*;
use yuccatack_leases::*;

fn at(milliseconds: u64) -> TimestampMs {
    TimestampMs::new(milliseconds)
}

fn report(sequence: u64) -> HeartbeatReport {
    HeartbeatReport { registration: worker(0, 0, 0, 8), sequence, tasks: Vec::new() }
}

fn registered() -> LeaseTable {
    let mut table = LeaseTable::new();
    let registration = worker(0, 0, 0, 8);
    table.apply(LeaseCommand::RegisterWorker { worker: registration, at: at(0) });
    table
}

fn loss_count(commands: &[LeaseCommand]) -> usize {
    commands.iter().filter(|c| matches!(c, LeaseCommand::LoseWorker { .. })).count()
}

/// Guards against a worker that is declared lost before its lease and the clock margin have ended.
#[test]
fn margin_before_loss() {
    let table = registered();
    let mut leader = Scheduler::new(at(0));
    leader.heartbeat(&table, report(1), at(10_000));
    assert_eq!(loss_count(&leader.schedule(&table, at(16_499))), 0);
    assert_eq!(loss_count(&leader.schedule(&table, at(16_500))), 1);
}

/// Guards against a new leader that declares workers lost whose lease its predecessor extended.
#[test]
fn new_leader_waits() {
    let table = registered();
    let mut leader = Scheduler::new(at(10_000));
    assert_eq!(loss_count(&leader.schedule(&table, at(16_499))), 0);
    assert_eq!(loss_count(&leader.schedule(&table, at(16_500))), 1);
}

/// Guards against a lease that is granted while the loss of the worker is in the log but not yet
/// applied.
#[test]
fn no_lease_after_loss() {
    let mut table = registered();
    let mut leader = Scheduler::new(at(0));
    leader.heartbeat(&table, report(1), at(10_000));
    let loss = leader.schedule(&table, at(17_000));
    let (reply, _) = leader.heartbeat(&table, report(2), at(17_010));
    assert_eq!(reply.lease, None);
    for command in loss {
        table.apply(command);
    }
    let (reply, commands) = leader.heartbeat(&table, report(3), at(17_020));
    assert_eq!(reply.lease, None);
    for command in commands {
        table.apply(command);
    }
    let (reply, _) = leader.heartbeat(&table, report(4), at(17_030));
    assert_eq!(reply.lease, Some(LEASE_DURATION));
}

/// Guards against a loss that is delivered twice by the log and then ends the tasks of a worker
/// that has registered again.
#[test]
fn duplicate_loss_ignored() {
    let mut table = registered();
    let name = worker(0, 0, 0, 8).worker;
    let loss = LeaseCommand::LoseWorker { worker: name.clone(), registration_number: 1, at: at(9) };
    table.apply(loss.clone());
    table.apply(LeaseCommand::RegisterWorker { worker: worker(0, 0, 0, 8), at: at(10) });
    assert!(table.apply(loss).is_empty());
    assert_eq!(table.worker(&name).unwrap().health, WorkerHealth::Healthy);
}

/// Guards against a delayed heartbeat of an old incarnation that ends the tasks of the current one.
#[test]
fn incarnation_waits() {
    let mut table = registered();
    let mut leader = Scheduler::new(at(0));
    leader.heartbeat(&table, report(1), at(1_000));
    let mut other = report(1);
    other.registration.incarnation = Incarnation::new(77);
    let (reply, commands) = leader.heartbeat(&table, other.clone(), at(2_000));
    assert_eq!((reply.lease, commands.len()), (None, 0));
    let command = LeaseCommand::RegisterWorker { worker: other.registration, at: at(2_000) };
    assert!(table.apply(command).is_empty());
}

/// Guards against a heartbeat that takes effect after a later one of the same incarnation.
#[test]
fn old_report_ignored() {
    let table = registered();
    let mut leader = Scheduler::new(at(0));
    leader.heartbeat(&table, report(5), at(1_000));
    let (reply, commands) = leader.heartbeat(&table, report(4), at(1_100));
    assert_eq!((reply.lease, commands.len()), (None, 0));
}
