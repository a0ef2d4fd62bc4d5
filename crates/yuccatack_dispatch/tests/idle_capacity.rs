//! Guards against a group that waits without a bound for a placement that the scheduler prefers, or
//! on a worker that does not take it, while most of the capacity is free.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::sync::Arc;

use support::{TestCluster, run, starts, step};
use yuccatack_dispatch::{AgentMessage, Observation, StartResult};
use yuccatack_runs::{RunOutcome, StepSpec};

/// Time within which a group must begin that most of the capacity is free for.
const IDLE_LIMIT_MS: u64 = 3_000;

const POLL_INTERVAL_MS: u64 = 300;

impl TestCluster {
    /// Runs passes until a task of `job` begins, and returns the time that it took.
    fn wait_for(&mut self, worker_count: usize, job: &str, running: &[(usize, &str)]) -> u64 {
        for waited_ms in (0..20_000).step_by(POLL_INTERVAL_MS as usize) {
            if starts(&self.decide()).iter().any(|run| run.task.job.as_str() == job) {
                return waited_ms;
            }
            self.advance(POLL_INTERVAL_MS);
            for index in 0..worker_count {
                let on_worker = running.iter().filter(|(worker, _)| *worker == index);
                let percent = (waited_ms / 300 % 100) as u8;
                let rows: Vec<_> = on_worker.map(|(_, job)| (run(job, 0, 1), percent)).collect();
                self.observe(index, &rows, &[], &[]);
            }
        }
        panic!("{job} never began");
    }

    /// Begins a task of one accelerator on each of the workers.
    fn occupy(&mut self, workers: &[(usize, &'static str)]) {
        for (index, job) in workers {
            let rack = Some(Arc::from(format!("rack-{}", index / 2)));
            let label = Some(Arc::from(format!("only-{index}")));
            self.submit(job, 1, StepSpec { data_rack: rack, required_label: label, ..step(1, 1) });
            self.decide();
            assert_eq!(self.worker_of(&run(job, 0, 1)), *index);
            self.report_begun(&run(job, 0, 1));
        }
    }
}

/// Creates a cluster of eight workers in four racks, each with a label of its own.
fn labelled_cluster() -> TestCluster {
    let mut cluster = TestCluster::new(8);
    for index in 0..8 {
        let mut state = support::state(index, 1);
        state.labels.insert(0, Arc::from(format!("only-{index}")));
        cluster.deliver(index, AgentMessage::State(state));
    }
    cluster
}

#[test]
fn fragmented_racks() {
    let mut cluster = labelled_cluster();
    let occupied = [(0, "a"), (2, "b"), (4, "c"), (6, "d")];
    cluster.occupy(&occupied);
    let gang = StepSpec { gang: true, rack_local: true, ..step(2, 8) };
    cluster.submit("wide", 1, gang);
    let waited_ms = cluster.wait_for(8, "wide", &occupied);
    assert!(waited_ms < IDLE_LIMIT_MS, "the gang waited {waited_ms} ms for a whole rack");
}

#[test]
fn busy_data_rack() {
    let mut cluster = labelled_cluster();
    let occupied = [(2, "a"), (3, "b")];
    cluster.occupy(&occupied);
    cluster.submit("near", 1, StepSpec { data_rack: Some(Arc::from("rack-1")), ..step(1, 8) });
    let waited_ms = cluster.wait_for(8, "near", &occupied);
    assert!(waited_ms < IDLE_LIMIT_MS, "the task waited {waited_ms} ms for its data rack");
}

#[test]
fn refused_after_wait() {
    let mut cluster = labelled_cluster();
    let occupied = [(0, "a"), (2, "b"), (4, "c"), (6, "d")];
    cluster.occupy(&occupied);
    let gang = StepSpec { gang: true, rack_local: true, ..step(2, 8) };
    cluster.submit("wide", 1, gang);
    cluster.wait_for(8, "wide", &occupied);
    // The start is refused and barred; the gang has waited long enough already.
    let members = [run("wide", 0, 1), run("wide", 1, 1)];
    cluster.start_result(&members[0], StartResult::Refused);
    cluster.start_result(&members[1], StartResult::Refused);
    cluster.decide();
    let workers = members.clone().map(|member| cluster.worker_of(&member));
    for (worker, member) in workers.into_iter().zip(members) {
        cluster.observe(worker, &[], &[], &[member]);
    }
    let waited_ms = cluster.wait_for(8, "wide", &occupied);
    assert!(waited_ms < 1_000, "the gang waited for a whole rack again, {waited_ms} ms");
}

#[test]
fn lost_long_running_replaced() {
    let mut cluster = TestCluster::new(4);
    // The data rack is in use, and so is most of the capacity of the other one.
    for (job, accelerator_count) in [("a", 8), ("b", 8), ("c", 5)] {
        cluster.submit(job, 1, step(1, accelerator_count));
        cluster.decide();
        cluster.report_begun(&run(job, 0, 1));
    }
    let free_rack = 1 - cluster.worker_of(&run("a", 0, 1)) / 2;
    let data_rack = Some(Arc::from(format!("rack-{}", 1 - free_rack)));
    let service = StepSpec { long_running: true, data_rack, ..step(1, 8) };
    cluster.submit("lasting", 1, service);
    let running = ["a", "b", "c"].map(|job| (cluster.worker_of(&run(job, 0, 1)), job));
    let waited_ms = cluster.wait_for(4, "lasting", &running);
    assert!(waited_ms < IDLE_LIMIT_MS, "the task waited {waited_ms} ms for its data rack");
}

#[test]
fn all_workers_quarantined() {
    let mut cluster = TestCluster::new(4);
    for number in 0..2 {
        let job = ["hopeless-a", "hopeless-b"][number];
        cluster.submit(job, 1, step(4, 8));
        cluster.decide();
        for index in 0..4 {
            cluster.report_begun(&run(job, index, 1));
            let worker = cluster.worker_of(&run(job, index, 1));
            cluster.observe(worker, &[], &[(run(job, index, 1), RunOutcome::Failed)], &[]);
        }
        cluster.table.cancel(&run(job, 0, 1).task.job, cluster.now.get());
    }
    cluster.submit("sound", 1, step(1, 8));
    let waited_ms = cluster.wait_for(4, "sound", &[]);
    assert_eq!(waited_ms, 0, "hopeless jobs kept all workers from other work");
}

#[test]
fn refusing_worker_avoided() {
    let mut cluster = TestCluster::new(2);
    cluster.submit("a", 1, step(1, 8));
    let mut refused = None;
    let begins_at = cluster.now;
    for number in 1..100 {
        let run = run("a", 0, number);
        while starts(&cluster.decide()).is_empty() {
            cluster.advance(50);
            let stopped = if number > 1 { vec![support::run("a", 0, number - 1)] } else { vec![] };
            (0..2).for_each(|index| cluster.observe(index, &[], &[], &stopped));
        }
        let worker = cluster.worker_of(&run);
        if *refused.get_or_insert(worker) != worker {
            let waited_ms = cluster.now.since(begins_at).get();
            assert!(waited_ms < IDLE_LIMIT_MS, "the task waited {waited_ms} ms");
            return;
        }
        cluster.start_result(&run, StartResult::Refused);
    }
    panic!("the task was placed again and again on the worker that refuses it");
}

#[test]
fn restarting_worker_avoided() {
    let mut cluster = TestCluster::new(2);
    cluster.submit("a", 1, step(1, 8));
    cluster.decide();
    let crashed = cluster.worker_of(&run("a", 0, 1));
    cluster.deliver(crashed, AgentMessage::State(support::state(crashed, 2)));
    let observation = Observation {
        incarnation: support::incarnation(crashed, 2),
        clock_ms: cluster.clock_ms(),
        running: Vec::new(),
        ended: Vec::new(),
        stopped: Vec::new(),
        lists_all_ends: Some(true),
    };
    cluster.deliver(crashed, AgentMessage::Observed(observation));
    cluster.dispatcher.confirm_leadership(cluster.now);
    cluster.decide();
    assert_ne!(
        cluster.worker_of(&run("a", 0, 2)),
        crashed,
        "the task was placed again on the worker that had just crashed"
    );
}

#[test]
fn last_attempt_not_blocking() {
    let mut cluster = TestCluster::new(1);
    cluster.submit("a", 1, step(2, 4));
    cluster.decide();
    cluster.report_begun(&run("a", 0, 1));
    cluster.report_begun(&run("a", 1, 1));
    let ended = [(run("a", 0, 1), RunOutcome::Failed), (run("a", 1, 1), RunOutcome::Stopped)];
    cluster.observe(0, &[], &ended, &[]);
    assert_eq!(
        starts(&cluster.decide()),
        [run("a", 1, 2)],
        "a last attempt that waits for a reliable worker blocked its sibling"
    );
}
