//! Simulated platform on a virtual clock: workers, a network with delays, and leader changes.
#![allow(dead_code, clippy::unwrap_used, missing_docs)]

mod build;
mod check;

pub use build::*;

use std::collections::{BTreeSet, VecDeque};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yuccatack_core::prelude::*;
use yuccatack_leases::*;
use yuccatack_stand_ins::{WorkerBehaviour, WorkerModel};

pub const TICK_MS: u64 = 10;

/// Simulated worker with its connection to the leader.
pub struct SimWorker {
    pub model: WorkerModel,
    pub next_heartbeat: u64,
    /// Heartbeats in transit, each with its time of arrival and of sending.
    uplink: Vec<(u64, u64, HeartbeatReport)>,
    /// Replies in transit, each with its time of arrival and the sending time of its heartbeat.
    downlink: Vec<(u64, u64, HeartbeatReply)>,
    /// Reply that the leader holds until a command is due, with the time of arrival and of sending
    /// of its heartbeat.
    held: Option<(u64, u64, HeartbeatReply)>,
    /// End of the time in which no message passes between the worker and the leader.
    pub disconnected_until: u64,
    /// End of the time in which the process is suspended.
    pub frozen_until: u64,
    /// End of the time in which the machine is powered off.
    pub off_until: u64,
    /// `true` while the worker reports false task states.
    pub reports_falsely: bool,
    /// Tasks of which the worker reported a false state.
    pub false_reports: BTreeSet<TaskReference>,
    /// Start and end of each time in which the process was suspended.
    pub freeze_intervals: Vec<(u64, u64)>,
    /// Network latency of each message, the same in both directions.
    pub latency_ms: u64,
}

pub struct Platform {
    pub now: u64,
    pub table: LeaseTable,
    pub leader: Option<Scheduler>,
    pub leader_from: u64,
    /// Time at which each leader was lost, with the earliest start of its successor.
    pub leader_changes: Vec<(u64, u64)>,
    pub workers: Vec<SimWorker>,
    pub log: VecDeque<(u64, LeaseCommand)>,
    pub events: Vec<(u64, LeaseEvent)>,
    pub rng: ChaCha8Rng,
    incarnation: u64,
    applied_count: u64,
    applied_at_last_schedule: u64,
    next_schedule: u64,
}

impl Platform {
    pub fn new(seed: u64, workers: Vec<WorkerRegistration>) -> Self {
        let mut platform = Self {
            now: 1_000,
            table: LeaseTable::new(),
            leader: Some(Scheduler::new(TimestampMs::new(1_000))),
            leader_from: 1_000,
            leader_changes: Vec::new(),
            workers: Vec::new(),
            log: VecDeque::new(),
            events: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            incarnation: 1_000,
            applied_count: 0,
            applied_at_last_schedule: 0,
            next_schedule: 0,
        };
        for registration in workers {
            platform.workers.push(SimWorker {
                model: WorkerModel::new(registration, DurationMs::new(5_000)),
                next_heartbeat: 1_000,
                uplink: Vec::new(),
                downlink: Vec::new(),
                held: None,
                disconnected_until: 0,
                frozen_until: 0,
                off_until: 0,
                reports_falsely: false,
                false_reports: BTreeSet::new(),
                freeze_intervals: Vec::new(),
                latency_ms: 2,
            });
        }
        platform
    }

    pub fn time(&self) -> TimestampMs {
        TimestampMs::new(self.now)
    }

    /// Applies a command at once, as if it were already committed.
    pub fn apply(&mut self, command: LeaseCommand) -> Vec<LeaseEvent> {
        let events = self.table.apply(command);
        self.applied_count += 1;
        self.events.extend(events.iter().cloned().map(|event| (self.now, event)));
        events
    }

    pub fn submit(&mut self, job: JobSpec) -> Vec<LeaseEvent> {
        let at = self.time();
        self.apply(LeaseCommand::SubmitJob { job, at })
    }

    pub fn propose(&mut self, commands: Vec<LeaseCommand>) {
        for command in commands {
            // Log entries become durable in order.
            let earliest = self.log.back().map_or(0, |(at, _)| *at);
            let delay = self.rng.random_range(3..20);
            self.log.push_back((earliest.max(self.now + delay), command));
        }
    }

    /// Removes the leader at once; log entries that are not durable may be lost.
    pub fn lose_leader(&mut self, absent_ms: u64) {
        let kept = self.rng.random_range(0..=self.log.len());
        self.log.truncate(kept);
        self.leader = None;
        self.next_schedule = 0;
        self.leader_from = self.now + absent_ms;
        self.leader_changes.push((self.now, self.leader_from));
        for worker in &mut self.workers {
            worker.held = None;
        }
    }

    pub fn run_for(&mut self, milliseconds: u64) {
        let end = self.now + milliseconds;
        while self.now < end {
            self.step();
        }
    }

    pub fn run_until<Condition>(&mut self, limit_ms: u64, condition: Condition) -> bool
    where
        Condition: Fn(&Self) -> bool,
    {
        let end = self.now + limit_ms;
        while self.now < end {
            if condition(self) {
                return true;
            }
            self.step();
        }
        condition(self)
    }

    pub fn step(&mut self) {
        self.now += TICK_MS;
        self.apply_log();
        if self.leader.is_none() && self.now >= self.leader_from && self.log.is_empty() {
            self.leader = Some(Scheduler::new(self.time()));
        }
        for position in 0..self.workers.len() {
            self.step_worker(position);
        }
        self.run_leader();
    }

    fn apply_log(&mut self) {
        while self.log.front().is_some_and(|(at, _)| *at <= self.now) {
            if let Some((_, command)) = self.log.pop_front() {
                self.apply(command);
            }
        }
    }

    fn step_worker(&mut self, position: usize) {
        let (now, time) = (self.now, self.time());
        let jitter = self.rng.random_range(0..3);
        let incarnation = Incarnation::new(self.incarnation + 1);
        let worker = &mut self.workers[position];
        if now < worker.off_until {
            worker.uplink.clear();
            worker.downlink.clear();
            worker.held = None;
            // The tasks end with the machine, and the next process has a new incarnation.
            if worker.next_heartbeat != worker.off_until {
                worker.model.restart(incarnation, time);
                worker.next_heartbeat = worker.off_until;
                self.incarnation += 1;
            }
            return;
        }
        let frozen =
            now < worker.frozen_until || worker.model.behaviour() == WorkerBehaviour::Frozen;
        if !frozen {
            let mut changed = worker.model.tick(time);
            // Messages in the socket buffer of a frozen process are received when it resumes.
            let arrived: Vec<_> = worker.downlink.extract_if(.., |(at, ..)| *at <= now).collect();
            for (_, sent_at, reply) in arrived {
                if reply.sequence != worker.model.sequence() {
                    continue;
                }
                let acknowledged = !reply.acknowledged.is_empty();
                let commanded = !reply.commands.is_empty();
                let lease = reply.lease;
                changed |= worker.model.handle_reply(&reply, TimestampMs::new(sent_at), time);
                let next = match lease {
                    None => now + 200,
                    Some(_) if acknowledged => now,
                    Some(_) if commanded => now + 500,
                    Some(_) => sent_at + 2_000,
                };
                worker.next_heartbeat = next.max(now);
            }
            if changed || now >= worker.next_heartbeat {
                let mut report = worker.model.heartbeat();
                if worker.reports_falsely {
                    worker.false_reports.extend(falsify_report(&mut self.rng, &mut report));
                }
                worker.next_heartbeat = now + 3_000;
                if now >= worker.disconnected_until {
                    worker.uplink.push((now + worker.latency_ms + jitter, now, report));
                }
            }
        }
        self.receive(position);
    }

    /// Acts as the control process: passes arrived heartbeats to the leader and holds the replies.
    fn receive(&mut self, position: usize) {
        let (now, time) = (self.now, self.time());
        let worker = &mut self.workers[position];
        let arrived: Vec<_> = worker.uplink.extract_if(.., |(at, ..)| *at <= now).collect();
        let Some(leader) = &mut self.leader else { return };
        let mut proposals = Vec::new();
        for (_, sent_at, report) in arrived {
            let (reply, commands) = leader.heartbeat(&self.table, report, time);
            proposals.extend(commands);
            if reply.lease.is_none() || !reply.acknowledged.is_empty() {
                if now >= worker.disconnected_until {
                    worker.downlink.push((now + worker.latency_ms, sent_at, reply));
                }
            } else {
                worker.held = Some((now, sent_at, reply));
            }
        }
        if let Some((since, sent_at, mut reply)) = worker.held.take() {
            reply.commands = leader.commands_for(&self.table, &worker.model.registration().worker);
            let due = !reply.commands.is_empty() || now >= since + 1_900;
            if !due {
                worker.held = Some((since, sent_at, reply));
            } else if now >= worker.disconnected_until {
                worker.downlink.push((now + worker.latency_ms, sent_at, reply));
            }
        }
        self.propose(proposals);
    }

    fn run_leader(&mut self) {
        let time = self.time();
        let Some(leader) = &mut self.leader else { return };
        if !self.log.is_empty() {
            return;
        }
        let deadline = leader.next_deadline(&self.table, time);
        let idle =
            self.applied_count == self.applied_at_last_schedule && self.next_schedule > self.now;
        if idle {
            return;
        }
        self.applied_at_last_schedule = self.applied_count;
        // Aging and starvation depend on time alone, so scheduling runs at least once a second.
        self.next_schedule = deadline.get().min(self.now + 1_000);
        let commands = leader.schedule(&self.table, time);
        self.propose(commands);
    }

    pub fn status(&self, job: &JobName) -> JobStatus {
        self.table.explain(job).status
    }

    /// Returns every start of a task of the job, on any worker.
    pub fn starts(&self, job: &JobName) -> Vec<&yuccatack_stand_ins::TaskRecord> {
        let records = self.workers.iter().flat_map(|worker| worker.model.records());
        records.filter(|record| record.task.job == *job).collect()
    }

    /// Returns the accelerators assigned to a second task, except after a false report about the
    /// first one: no scheduler can detect a worker that reports the end of a task that it holds.
    pub fn violations(&self) -> Vec<String> {
        let mut violations = Vec::new();
        for worker in &self.workers {
            let name = &worker.model.registration().worker;
            for shared in worker.model.violations() {
                if !worker.false_reports.contains(&shared.holder) {
                    violations.push(format!("{name}: {shared:?}"));
                }
            }
        }
        violations
    }
}

/// Falsifies some states in a report, as a faulty worker does. Running tasks are never reported as
/// ended, because only the lease protects the platform against that.
fn falsify_report(rng: &mut ChaCha8Rng, report: &mut HeartbeatReport) -> Vec<TaskReference> {
    let mut changed = Vec::new();
    for task in &mut report.tasks {
        if task.state == ReportedState::Prepared && rng.random_bool(0.3) {
            let states = [ReportedState::Running, ReportedState::Succeeded, ReportedState::Failed];
            task.state = states[rng.random_range(0..states.len())];
            changed.push(task.task.clone());
        }
    }
    if rng.random_bool(0.1)
        && let Some(task) = report.tasks.first().cloned()
    {
        let mut other = task;
        other.task.epoch = other.task.epoch.next();
        changed.push(other.task.clone());
        report.tasks.push(other);
    }
    changed
}
