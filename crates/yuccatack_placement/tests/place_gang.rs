//! Selection of workers for a gang.
#![allow(clippy::unwrap_used, missing_docs)]

use yuccatack_core::prelude::*;
use yuccatack_placement::*;

fn resources(accelerator_count: u32) -> Resources {
    let count = u64::from(accelerator_count);
    Resources { cores_milli: 4_000 * count, memory_bytes: count << 34, accelerator_count }
}

fn shape(task_count: u32, accelerators: u32, adjacency: Adjacency) -> Shape {
    Shape { task_count, task: resources(accelerators), adjacency }
}

/// Creates two data centres with two racks each; a rack has two workers with 8 accelerators each.
fn cluster() -> Cluster {
    let mut cluster = Cluster::default();
    for number in 0..8 {
        cluster.add_worker(
            &WorkerName::new(&format!("worker-{number}")).unwrap(),
            &DataCentreName::new(&format!("centre-{}", number / 4)).unwrap(),
            &RackName::new(&format!("rack-{}", number / 2)).unwrap(),
            resources(8),
        );
    }
    cluster
}

fn use_accelerators(cluster: &mut Cluster, worker: WorkerIndex, count: u32) {
    cluster.update(worker, |capacity| capacity.used = resources(count));
}

fn request<'a>(shape: Shape, profile: &'a DemandProfile) -> Request<'a> {
    Request {
        shape,
        data_centres: &[],
        allocation_kind: AllocationKind::Borrowed,
        excluded: &[],
        reservation: None,
        expected_end: TimestampMs::new(100),
        preemptible: false,
        profile,
        weights: Weights { completion: 1.0, fragmentation: 1.0 },
    }
}

fn place_request(cluster: &Cluster, request: &Request<'_>) -> Option<Vec<(WorkerIndex, u32)>> {
    let placement = place(&Overlay::new(cluster), request)?;
    Some(
        placement
            .assignments
            .iter()
            .map(|assignment| (assignment.worker, assignment.task_count))
            .collect(),
    )
}

/// Guards against gangs that span more than one domain of their adjacency.
#[test]
fn respects_adjacency() {
    let mut cluster = cluster();
    for worker in [0, 2, 4, 6] {
        use_accelerators(&mut cluster, worker, 4);
    }
    let profile = DemandProfile::default();
    // Each rack has 12 free accelerators, each data centre 24.
    assert!(place_request(&cluster, &request(shape(4, 4, Adjacency::Rack), &profile)).is_none());
    let wide =
        place_request(&cluster, &request(shape(4, 4, Adjacency::DataCentre), &profile)).unwrap();
    let centres: Vec<u32> =
        wide.iter().map(|(worker, _)| cluster.worker(*worker).unwrap().data_centre).collect();
    assert!(centres.iter().all(|centre| *centre == centres[0]));
    assert!(place_request(&cluster, &request(shape(3, 4, Adjacency::Worker), &profile)).is_none());
}

/// Guards against small jobs that fragment the last free rack that a demanded gang needs.
#[test]
fn preserves_gang_capacity() {
    let mut cluster = cluster();
    for worker in [0, 2, 4] {
        use_accelerators(&mut cluster, worker, 7);
    }
    let demand = shape(2, 8, Adjacency::Rack);
    let profile = DemandProfile::new(vec![WeightedShape { shape: demand, weight: 1.0 }]);
    let small =
        place_request(&cluster, &request(shape(1, 2, Adjacency::Worker), &profile)).unwrap();
    assert_ne!(cluster.worker(small[0].0).unwrap().rack, 3);
}

/// Guards against non-reclaimable attempts on capacity that is reserved for a guarantee.
#[test]
fn firm_avoids_reserved() {
    let mut cluster = cluster();
    for worker in 0..7 {
        cluster.update(worker, |capacity| capacity.reserved = resources(8));
    }
    let profile = DemandProfile::default();
    let mut firm = request(shape(1, 8, Adjacency::Worker), &profile);
    firm.allocation_kind = AllocationKind::Firm;
    assert_eq!(place_request(&cluster, &firm), Some(vec![(7, 1)]));
    firm.excluded = &[7];
    assert_eq!(place_request(&cluster, &firm), None);
}

/// Guards against backfilled jobs that delay the job that holds the reservation.
#[test]
fn honours_reservation() {
    let cluster = cluster();
    let profile = DemandProfile::default();
    let mut reservation =
        Reservation { workers: (0..8).collect(), start_at: TimestampMs::new(50), exclusive: false };
    let late = Request {
        reservation: Some(&reservation),
        ..request(shape(1, 1, Adjacency::Worker), &profile)
    };
    assert!(place_request(&cluster, &late).is_none());
    let early = Request { expected_end: TimestampMs::new(40), ..late.clone() };
    assert!(place_request(&cluster, &early).is_some());
    let preemptible = Request { preemptible: true, ..late.clone() };
    assert!(place_request(&cluster, &preemptible).is_some());
    reservation.exclusive = true;
    let excluded = Request {
        reservation: Some(&reservation),
        preemptible: true,
        ..request(shape(1, 1, Adjacency::Worker), &profile)
    };
    assert!(place_request(&cluster, &excluded).is_none());
}

/// Guards against two decisions of one scheduling pass that allocate the same capacity.
#[test]
fn overlay_allocations() {
    let cluster = cluster();
    let profile = DemandProfile::default();
    let request = request(shape(1, 8, Adjacency::Worker), &profile);
    let mut overlay = Overlay::new(&cluster);
    let mut seen = FastHashSet::default();
    while let Some(placement) = place(&overlay, &request) {
        let worker = placement.assignments[0].worker;
        assert!(seen.insert(worker));
        overlay.allocate(worker, &resources(8), false);
    }
    assert_eq!(seen.len(), 8);
}

/// Guards against accelerators that are allocated twice, and against unaligned groups while an
/// aligned one is free.
#[test]
fn aligned_accelerators() {
    let mut cluster = cluster();
    assert_eq!(cluster.allocate_accelerators(0, 1), 0b1);
    assert_eq!(cluster.allocate_accelerators(0, 4), 0b1111_0000);
    assert_eq!(cluster.allocate_accelerators(0, 2), 0b1100);
    assert_eq!(cluster.allocate_accelerators(0, 1), 0b10);
    cluster.release_accelerators(0, 0b1100);
    assert_eq!(cluster.allocate_accelerators(0, 2), 0b1100);
}

/// Guards against a measure that counts capacity for a whole gang as unusable, or the reverse.
#[test]
fn measures_fragmentation() {
    let mut cluster = cluster();
    let demand = shape(2, 8, Adjacency::Rack);
    let profile = DemandProfile::new(vec![WeightedShape { shape: demand, weight: 1.0 }]);
    assert_eq!(fragmentation(&cluster, &profile), 0.0);
    use_accelerators(&mut cluster, 0, 4);
    // 60 accelerators are free; the 12 of the first rack cannot serve the gang.
    assert!((fragmentation(&cluster, &profile) - 0.2).abs() < 1e-9);
    assert!((remainder(&cluster, &profile) - 0.2).abs() < 1e-9);
}

/// Guards against baselines that ignore the order of workers that defines them.
#[test]
fn baseline_order() {
    let mut cluster = cluster();
    use_accelerators(&mut cluster, 5, 6);
    let overlay = Overlay::new(&cluster);
    let small = shape(1, 2, Adjacency::Worker);
    assert_eq!(first_fit(&overlay, &small).unwrap().assignments[0].worker, 0);
    assert_eq!(best_fit(&overlay, &small).unwrap().assignments[0].worker, 5);
}
