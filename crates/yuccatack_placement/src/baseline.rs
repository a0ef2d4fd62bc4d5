//! Baseline policies for comparisons with [`place`](crate::place).

use yuccatack_core::prelude::*;

use crate::overlay::Overlay;
use crate::search::{Assignment, Placement};
use crate::slot_count;

/// Places the gang in the first domain in index order that can hold it, in worker order.
pub fn first_fit(overlay: &Overlay<'_>, shape: &Shape) -> Option<Placement> {
    scan(overlay, shape, |workers| workers)
}

/// Places the gang on the workers with the fewest free accelerators first.
///
/// Domains are tried in the order of the fewest free accelerators on one of their workers; the
/// first that can hold the gang is used.
pub fn best_fit(overlay: &Overlay<'_>, shape: &Shape) -> Option<Placement> {
    let free = |worker: u32| overlay.free(worker).accelerator_count;
    scan(overlay, shape, |mut workers: Vec<u32>| {
        workers.sort_by_key(|worker| free(*worker));
        workers
    })
}

fn scan<Order>(overlay: &Overlay<'_>, shape: &Shape, order: Order) -> Option<Placement>
where
    Order: Fn(Vec<u32>) -> Vec<u32>,
{
    let mut domains: Vec<(u32, Vec<u32>)> = Vec::new();
    for (index, worker) in overlay.cluster().workers() {
        let key = match shape.adjacency {
            Adjacency::Worker => index,
            Adjacency::Rack => worker.rack,
            Adjacency::DataCentre => worker.data_centre,
        };
        match domains.iter_mut().find(|(domain, _)| *domain == key) {
            Some((_, workers)) => workers.push(index),
            None => domains.push((key, vec![index])),
        }
    }
    let by_domain = domains.iter().map(|(_, workers)| workers);
    let mut groups: Vec<Vec<u32>> = by_domain.cloned().collect();
    let ordered: Vec<u32> = order(groups.iter().flatten().copied().collect());
    let position = |worker: &u32| ordered.iter().position(|other| other == worker);
    for group in &mut groups {
        group.sort_by_key(position);
    }
    groups.sort_by_key(|group| group.first().and_then(position));
    groups.iter().find_map(|workers| fill(overlay, shape, workers))
}

fn fill(overlay: &Overlay<'_>, shape: &Shape, workers: &[u32]) -> Option<Placement> {
    let mut remaining_count = shape.task_count;
    let mut assignments = Vec::new();
    for worker in workers {
        let task_count = slot_count(&overlay.free(*worker), &shape.task).min(remaining_count);
        if task_count > 0 {
            assignments.push(Assignment { worker: *worker, task_count });
            remaining_count -= task_count;
        }
        if remaining_count == 0 {
            return Some(Placement { assignments, score: 0.0 });
        }
    }
    None
}
