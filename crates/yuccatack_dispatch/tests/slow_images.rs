//! Guards against images that are known to slow each other and share a worker while there is room
//! elsewhere, and against work that waits, or whole workers that are broken up, to keep them apart.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::sync::Arc;

use support::{TestCluster, run, starts, step};
use yuccatack_core::JobName;
use yuccatack_runs::{RunId, RunOutcome, StepSpec};

const POLL_MS: u64 = 200;

fn image_step(image: &str, task_count: u32, accelerator_count: u32) -> StepSpec {
    StepSpec { image: Some(Arc::from(image)), ..step(task_count, accelerator_count) }
}

/// Creates a cluster of `count` workers whose leader has observed runs of `light` that took
/// `slowdown` times as long beside runs of `heavy`.
fn cluster(count: usize, slowdown: u64) -> TestCluster {
    let mut cluster = TestCluster::new(count);
    cluster.submit("taught-light", 1, image_step("light", 16, 1));
    cluster.submit("taught-heavy", 1, image_step("heavy", 1, 1));
    let heavy = run("taught-heavy", 0, 1);
    for index in 0..16 {
        let light = run("taught-light", index, 1);
        for percent in (2..=48).step_by(2) {
            cluster.advance(POLL_MS);
            cluster.observe(0, &[(light.clone(), percent)], &[], &[]);
        }
        for percent in (50..=98).step_by(2) {
            cluster.advance(POLL_MS * slowdown);
            cluster.observe(0, &[(light.clone(), percent), (heavy.clone(), percent / 2)], &[], &[]);
        }
        cluster.observe(0, &[], &[(light, RunOutcome::Done)], &[]);
    }
    for name in ["taught-light", "taught-heavy"] {
        cluster.table.cancel(&JobName::new(name).unwrap(), cluster.now.get());
    }
    cluster.advance(1_000);
    cluster.observe_all(count);
    cluster.decide();
    cluster
}

/// Submits a job of one task with an image, and returns the worker that it begins on.
fn begin(cluster: &mut TestCluster, name: &str, priority: u32, spec: StepSpec) -> Option<usize> {
    cluster.submit(name, priority, spec);
    let started = starts(&cluster.decide());
    let own: Vec<&RunId> = started.iter().filter(|run| run.task.job.as_str() == name).collect();
    own.first().map(|run| cluster.worker_of(run))
}

#[test]
fn kept_apart_with_room() {
    for (name, slowdown, apart) in [("known", 2, true), ("unknown", 1, false)] {
        let mut cluster = cluster(2, slowdown);
        assert_eq!(cluster.dispatcher.slow_pair_count(), usize::from(apart), "{name}");
        let heavy = begin(&mut cluster, "heavy", 0, image_step("heavy", 1, 2)).unwrap();
        let calm = begin(&mut cluster, "calm", 0, image_step("calm", 1, 2)).unwrap();
        let light = begin(&mut cluster, "light", 0, image_step("light", 1, 2)).unwrap();
        assert_eq!(calm, heavy, "an image that nothing is known of is placed as before");
        assert_eq!(light != heavy, apart, "the slowdown is {name}");
        // The other direction: the slowing image avoids the one that it would slow.
        let second = begin(&mut cluster, "second", 0, image_step("heavy", 1, 2)).unwrap();
        assert_eq!(second, heavy, "{name}");
    }
}

#[test]
fn together_without_room() {
    let mut cluster = cluster(2, 2);
    let heavy = begin(&mut cluster, "heavy", 0, image_step("heavy", 1, 2)).unwrap();
    let full = begin(&mut cluster, "full", 0, image_step("calm", 1, 8)).unwrap();
    assert_ne!(full, heavy);
    let light = begin(&mut cluster, "light", 0, image_step("light", 1, 2));
    assert_eq!(light, Some(heavy), "work waits because of a slowdown");
}

/// Tasks of less urgent jobs stay packed, so that whole workers are left to urgent gangs.
#[test]
fn whole_workers_kept() {
    let mut cluster = cluster(2, 2);
    let heavy = begin(&mut cluster, "heavy", 1, image_step("heavy", 1, 2));
    let light = begin(&mut cluster, "light", 1, image_step("light", 1, 2));
    assert!(light.is_some());
    assert_eq!(light, heavy, "a slowdown broke up a whole worker");
}

#[test]
fn gang_members_kept_apart() {
    let mut cluster = cluster(3, 2);
    let heavy = begin(&mut cluster, "heavy", 0, image_step("heavy", 1, 2)).unwrap();
    cluster.submit("gang", 0, StepSpec { gang: true, ..image_step("light", 4, 2) });
    let members = starts(&cluster.decide());
    assert_eq!(members.len(), 4);
    let beside = members.iter().filter(|member| cluster.worker_of(member) == heavy).count();
    assert_eq!(beside, 0, "members of a gang share a worker with the image that slows them");
}
