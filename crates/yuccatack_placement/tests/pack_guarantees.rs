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
    cluster.workers().map(|(_, cell)| cell.total).collect()
}

fn wanted(task_count: u32, accelerators: u32, adjacency: Adjacency) -> GuaranteedShape {
    let shape = Shape { task_count, task: resources(accelerators), adjacency };
    GuaranteedShape { shape, data_centres: Vec::new() }
}

/// Guards against bindings that use capacity twice or leave their domain.
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
                wanted(rng.random_range(1..6), accelerators, adjacency[rng.random_range(0..3)])
            })
            .collect();
        let Ok(bindings) = pack(&cluster, &mut available(&cluster), &shapes) else { continue };
        packed += 1;
        let mut used = [0; 12];
        for (binding, wanted) in bindings.iter().zip(&shapes) {
            let tasks: u32 = binding.iter().map(|part| part.task_count).sum();
            assert_eq!(tasks, wanted.shape.task_count);
            let domain = |part: &Assignment| match wanted.shape.adjacency {
                Adjacency::Worker => part.worker,
                Adjacency::Rack => cluster.worker(part.worker).unwrap().rack,
                Adjacency::DataCentre => cluster.worker(part.worker).unwrap().data_centre,
            };
            assert!(binding.iter().all(|part| domain(part) == domain(&binding[0])));
            for part in binding {
                used[part.worker as usize] += part.task_count * wanted.shape.task.accelerator_count;
            }
        }
        assert!(used.iter().all(|count| *count <= 8));
    }
    assert!(packed > 100, "{packed}");
}

/// Guards against remedies that do not fit or are smaller than necessary.
#[test]
fn nearest_remedy() {
    let cluster = cluster(3);
    let available = available(&cluster);
    let whole = wanted(1, 8, Adjacency::Worker);
    let nearest =
        |wanted: &GuaranteedShape, count| nearest_fit(&cluster, &available, &[], wanted, count);
    assert_eq!(nearest(&whole, 5), Some((whole.shape, 3)));
    let gang = wanted(4, 8, Adjacency::Rack);
    assert_eq!(nearest(&gang, 1).unwrap().0.task_count, 3);
    let wide = wanted(1, 12, Adjacency::Worker);
    assert_eq!(nearest(&wide, 1).unwrap().0.task, resources(8));
}
