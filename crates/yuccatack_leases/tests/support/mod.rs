//! A platform under virtual time: workers, a network with delays, and a leader that may change.
#![allow(dead_code, clippy::unwrap_used, missing_docs)]

mod build;
mod check;

pub use build::*;

use std::collections::{BTreeSet, VecDeque};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yuccatack_core::prelude::*;
use yuccatack_leases::*;
use yuccatack_stand_ins::{Behaviour, WorkerModel};

pub const TICK_MS: u64 = 10;

/// A worker with its connection to the leader.
pub struct SimWorker {
    pub model: WorkerModel,
    pub next_heartbeat: u64,
    /// Heartbeats on their way, with the time of arrival and of sending.
    uplink: Vec<(u64, u64, HeartbeatReport)>,
    /// Replies on their way.
    downlink: Vec<(u64, u64, HeartbeatReply)>,
    /// Heartbeats that the leader holds until a command is due.
    held: Option<(u64, u64, HeartbeatReply)>,
    /// Until when nothing passes between the worker and the leader.
    pub cut_until: u64,
    /// Until when the process does not run.
    pub frozen_until: u64,
    /// Until when the machine is off.
    pub dead_until: u64,
    /// Whether it reports states that are not so.
    pub lies: bool,
    /// Tasks of which it reported something false.
    pub false_reports: BTreeSet<TaskReference>,
    /// When the process did not run.
    pub freezes: Vec<(u64, u64)>,
    /// Added to each message, in both directions.
    pub lag_ms: u64,
}

pub struct Platform {
    pub now: u64,
    pub table: LeaseTable,
    pub leader: Option<Scheduler>,
    pub leader_from: u64,
    /// When a leader was lost and when its successor started at the earliest.
    pub leader_changes: Vec<(u64, u64)>,
    pub workers: Vec<SimWorker>,
    pub log: VecDeque<(u64, LeaseCommand)>,
    pub events: Vec<(u64, LeaseEvent)>,
    pub rng: ChaCha8Rng,
    incarnation: u64,
    applied: u64,
    scheduled: u64,
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
            applied: 0,
            scheduled: 0,
            next_schedule: 0,
        };
        for registration in workers {
            platform.workers.push(SimWorker {
                model: WorkerModel::new(registration, DurationMs::new(5_000)),
                next_heartbeat: 1_000,
                uplink: Vec::new(),
                downlink: Vec::new(),
                held: None,
                cut_until: 0,
                frozen_until: 0,
                dead_until: 0,
                lies: false,
                false_reports: BTreeSet::new(),
                freezes: Vec::new(),
                lag_ms: 2,
            });
        }
        platform
    }

    pub fn time(&self) -> TimestampMs {
        TimestampMs::new(self.now)
    }

    /// Applies a command at once, as an operator's change that was logged.
    pub fn apply(&mut self, command: LeaseCommand) -> Vec<LeaseEvent> {
        let events = self.table.apply(command);
        self.applied += 1;
        self.events.extend(events.iter().cloned().map(|event| (self.now, event)));
        events
    }

    pub fn submit(&mut self, job: JobSpec) -> Vec<LeaseEvent> {
        let at = self.time();
        self.apply(LeaseCommand::SubmitJob { job, at })
    }

    pub fn propose(&mut self, commands: Vec<LeaseCommand>) {
        for command in commands {
            // Entries become durable in order.
            let earliest = self.log.back().map_or(0, |(at, _)| *at);
            let delay = self.rng.random_range(3..20);
            self.log.push_back((earliest.max(self.now + delay), command));
        }
    }

    /// The leader is gone at once; entries that are not durable may be lost.
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
        self.lead();
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
        if now < worker.dead_until {
            worker.uplink.clear();
            worker.downlink.clear();
            worker.held = None;
            // Its tasks end with the machine; the next process has a new incarnation.
            if worker.next_heartbeat != worker.dead_until {
                worker.model.restart(incarnation, time);
                worker.next_heartbeat = worker.dead_until;
                self.incarnation += 1;
            }
            return;
        }
        let frozen = now < worker.frozen_until || worker.model.behaviour() == Behaviour::Frozen;
        if !frozen {
            let mut changed = worker.model.tick(time);
            // Messages that waited in the socket of a frozen process arrive with the thaw.
            let arrived: Vec<_> = worker.downlink.extract_if(.., |(at, ..)| *at <= now).collect();
            for (_, sent_at, reply) in arrived {
                if reply.sequence != worker.model.sequence() {
                    continue;
                }
                let acknowledged = !reply.acknowledged.is_empty();
                let commanded = !reply.commands.is_empty();
                let lease = reply.lease;
                changed |= worker.model.follow(&reply, TimestampMs::new(sent_at), time);
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
                if worker.lies {
                    worker.false_reports.extend(lie(&mut self.rng, &mut report));
                }
                worker.next_heartbeat = now + 3_000;
                if now >= worker.cut_until {
                    worker.uplink.push((now + worker.lag_ms + jitter, now, report));
                }
            }
        }
        self.receive(position);
    }

    /// The control process: hands arrived heartbeats to the leader and holds the replies.
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
                if now >= worker.cut_until {
                    worker.downlink.push((now + worker.lag_ms, sent_at, reply));
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
            } else if now >= worker.cut_until {
                worker.downlink.push((now + worker.lag_ms, sent_at, reply));
            }
        }
        self.propose(proposals);
    }

    fn lead(&mut self) {
        let time = self.time();
        let Some(leader) = &mut self.leader else { return };
        if !self.log.is_empty() {
            return;
        }
        let deadline = leader.next_deadline(&self.table, time);
        let quiet = self.applied == self.scheduled && self.next_schedule > self.now;
        if quiet {
            return;
        }
        self.scheduled = self.applied;
        // Aging and starvation pass with time alone, so a second is the longest wait.
        self.next_schedule = deadline.get().min(self.now + 1_000);
        let commands = leader.schedule(&self.table, time);
        self.propose(commands);
    }

    pub fn status(&self, job: &JobName) -> JobStatus {
        self.table.explain(job).status
    }

    /// Every start of a job's tasks on any worker.
    pub fn starts(&self, job: &JobName) -> Vec<&yuccatack_stand_ins::TaskRecord> {
        let records = self.workers.iter().flat_map(|worker| worker.model.records());
        records.filter(|record| record.task.job == *job).collect()
    }

    /// Accelerators given to a second task, except after a false report about the first one: no
    /// scheduler can see through a worker that reports the end of a task that it holds.
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

/// Changes some states in a report to others, as a faulty worker does. It never claims that a
/// running task has ended, because the platform's lease is the only protection against that.
fn lie(rng: &mut ChaCha8Rng, report: &mut HeartbeatReport) -> Vec<TaskReference> {
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
