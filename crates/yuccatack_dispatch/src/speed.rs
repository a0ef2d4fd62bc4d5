//! Speed of the workers' machines, grouped into classes.
//!
//! Answers pools in which some machines are several times slower than others. Classes keep the noise
//! of the estimates from reordering workers that are about equal.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use yuccatack_core::{FastHashMap, NodeName, ServiceName};

use crate::capacity::WorkerSnapshot;

/// Speeds that are nearer to each other than this ratio count as equal.
const CLASS_RATIO: f64 = 1.15;

/// Largest factor by which a speed may differ from 1; estimates beyond it are likely to be wrong.
const MAX_FACTOR: f64 = 10.0;

/// Relative progress rate of each machine; 1 is a typical machine, above 1 is faster.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MachineSpeeds {
    speeds: FastHashMap<NodeName, f64>,
}

impl MachineSpeeds {
    /// Creates an instance in which the speeds of all machines are unknown.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the speed of a machine. Values that are no positive number count as unknown.
    #[must_use]
    pub fn with_speed(mut self, node: NodeName, speed: f64) -> Self {
        self.speeds.insert(node, speed);
        self
    }

    /// Returns the speed of a machine, 1 while it is unknown.
    pub fn speed(&self, node: &NodeName) -> f64 {
        let known = self.speeds.get(node).copied();
        let valid = known.filter(|speed| speed.is_finite() && *speed > 0.0);
        valid.unwrap_or(1.0).clamp(1.0 / MAX_FACTOR, MAX_FACTOR)
    }
}

/// Speeds of the classes of each service, the fastest class first.
#[derive(Debug, Default)]
pub(crate) struct SpeedClasses(BTreeMap<ServiceName, Vec<f64>>);

impl SpeedClasses {
    /// Assigns each worker to a class of its service, with the mean speed of that class. Workers of a
    /// service with a single class have speed 1, so that speeds change no decision there.
    pub fn assign(workers: &mut [WorkerSnapshot], speeds: &MachineSpeeds) -> Self {
        let mut members: BTreeMap<ServiceName, Vec<usize>> = BTreeMap::new();
        for (index, worker) in workers.iter_mut().enumerate() {
            worker.speed = speeds.speed(&worker.node);
            members.entry(worker.service.clone()).or_default().push(index);
        }
        let classes = members.into_iter().map(|(service, indexes)| {
            let class_speeds = assign_service(workers, indexes);
            (service, class_speeds)
        });
        Self(classes.collect())
    }

    /// Returns the speeds of a service's classes, the fastest first.
    pub fn of(&self, service: &ServiceName) -> &[f64] {
        self.0.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns `true` if the machines of the service are known to differ.
    pub fn differ(&self, service: &ServiceName) -> bool {
        self.of(service).len() > 1
    }
}

fn assign_service(workers: &mut [WorkerSnapshot], mut indexes: Vec<usize>) -> Vec<f64> {
    // Positive floats are ordered as their bits.
    indexes.sort_by_key(|index| Reverse(workers[*index].speed.to_bits()));
    let mut classes: Vec<Vec<usize>> = Vec::new();
    let mut fastest = f64::INFINITY;
    for index in indexes {
        let speed = workers[index].speed;
        match classes.last_mut() {
            Some(class) if speed * CLASS_RATIO >= fastest => class.push(index),
            _ => {
                fastest = speed;
                classes.push(vec![index]);
            }
        }
    }
    let is_single = classes.len() <= 1;
    let mut class_speeds = Vec::with_capacity(classes.len());
    for (class, members) in classes.into_iter().enumerate() {
        let sum: f64 = members.iter().map(|index| workers[*index].speed).sum();
        let mean = if is_single { 1.0 } else { sum / members.len() as f64 };
        for index in members {
            workers[index].speed = mean;
            workers[index].speed_class = class;
        }
        class_speeds.push(mean);
    }
    class_speeds
}
