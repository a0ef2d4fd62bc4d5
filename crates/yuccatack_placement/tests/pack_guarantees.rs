//! Packing of guaranteed shapes.
#![allow(clippy::unwrap_used, missing_docs)]

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yuccatack_core::prelude::*;
use yuccatack_placement::*;

fn resources(accelerator_count: u32) -> Resources {
    let count = u64::from(accelerator_count);
    Resources { cores_milli: 4_000 * count, memory_bytes: count << 34, accelerator_count }
}

fn cluster(workers: usize) -> Cluster {
    let mut cluster = Cluster::default();
    for number in 0..workers {
        cluster.add_worker(
            &WorkerName::new(&format!("worker-{number}")).unwrap(),
            &DataCentreName::new(&format!("centre-{}", number / 6)).unwrap(),
            &RackName::new(&format!("rack-{}", number / 3)).unwrap(),
            resources(8),
        );
    }
    cluster
}

fn available(cluster: &Cluster) -> Vec<Resources> {
    cluster.workers().map(|(_, worker)| worker.total).collect()
}

fn guaranteed_shape(task_count: u32, accelerators: u32, adjacency: Adjacency) -> GuaranteedShape {
    let shape = Shape { task_count, task: resources(accelerators), adjacency };
    GuaranteedShape { shape, data_centres: Vec::new() }
}

/// Guards against bindings that use capacity twice or span more than one domain of their adjacency.
#[test]
fn random_bindings() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let cluster = cluster(12);
    let mut packed = 0;
    for _ in 0..500 {
        let shapes: Vec<GuaranteedShape> = (0..rng.random_range(1..8))
            .map(|_| {
                let adjacency = [Adjacency::Worker, Adjacency::Rack, Adjacency::DataCentre];
                let accelerators = [1, 2, 3, 4, 8][rng.random_range(0..5)];
                guaranteed_shape(
                    rng.random_range(1..6),
                    accelerators,
                    adjacency[rng.random_range(0..3)],
                )
            })
            .collect();
        let Ok(bindings) = pack(&cluster, &mut available(&cluster), &shapes) else { continue };
        packed += 1;
        let mut used = [0; 12];
        for (binding, requested) in bindings.iter().zip(&shapes) {
            let tasks: u32 = binding.iter().map(|assignment| assignment.task_count).sum();
            assert_eq!(tasks, requested.shape.task_count);
            let domain = |assignment: &Assignment| match requested.shape.adjacency {
                Adjacency::Worker => assignment.worker,
                Adjacency::Rack => cluster.worker(assignment.worker).unwrap().rack,
                Adjacency::DataCentre => cluster.worker(assignment.worker).unwrap().data_centre,
            };
            assert!(binding.iter().all(|assignment| domain(assignment) == domain(&binding[0])));
            for assignment in binding {
                used[assignment.worker as usize] +=
                    assignment.task_count * requested.shape.task.accelerator_count;
            }
        }
        assert!(used.iter().all(|count| *count <= 8));
    }
    assert!(packed > 100, "{packed}");
}

/// Guards against suggested requests that do not fit or are smaller than necessary.
#[test]
fn nearest_fitting_request() {
    let cluster = cluster(3);
    let available = available(&cluster);
    let whole = guaranteed_shape(1, 8, Adjacency::Worker);
    let nearest = |requested: &GuaranteedShape, count| {
        nearest_fit(&cluster, &available, &[], requested, count)
    };
    assert_eq!(nearest(&whole, 5), Some((whole.shape, 3)));
    let gang = guaranteed_shape(4, 8, Adjacency::Rack);
    assert_eq!(nearest(&gang, 1).unwrap().0.task_count, 3);
    let wide = guaranteed_shape(1, 12, Adjacency::Worker);
    assert_eq!(nearest(&wide, 1).unwrap().0.task, resources(8));
}
