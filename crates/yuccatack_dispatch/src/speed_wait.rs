//! Wait of an urgent group for fast workers, in place of a start on slow ones.
//!
//! Answers bursts of urgent gangs that find only slow workers free: there they would miss their
//! objective. Fast workers whose runs are being stopped or end soon, or that an eviction frees, may
//! still let them meet it. The wait is bounded, so that wrong speeds delay a group only briefly.

use yuccatack_core::{DurationMs, FastHashMap, TimestampMs};

use crate::capacity::{WorkerSnapshot, add, footprint};
use crate::demand::TaskGroup;
use crate::eviction::{EvictionSearch, Evictions, evict_for_speed, may_evict, reserve};
use crate::pass::Pass;
use crate::placement::{CapacityKind, Placement, candidate_sets, place_in_sets};
use crate::restraint::{Restraint, Waivers};
use crate::speed_range::{SpeedRange, fast_enough_range};
use crate::waiting::{StepKey, step_key};

/// Longest wait of a group for fast workers. Guaranteed jobs must begin within 2.7 s, and an eviction
/// takes up to 400 ms.
const MAX_SPEED_WAIT_MS: DurationMs = DurationMs::new(800);

/// Time after its last wait for which a group may not wait again: its start may have failed.
const FORGET_MS: DurationMs = DurationMs::new(4_000);

/// Wait of one group.
#[derive(Clone, Copy, Debug)]
struct SpeedWait {
    began_at: TimestampMs,
    waited_at: TimestampMs,
}

/// Groups that wait for fast workers.
#[derive(Debug, Default)]
pub(crate) struct SpeedWaits {
    waits: FastHashMap<StepKey, SpeedWait>,
}

impl SpeedWaits {
    /// Forgets waits that ended some time ago.
    pub fn expire(&mut self, now: TimestampMs) {
        self.waits.retain(|_, wait| now.since(wait.waited_at) <= FORGET_MS);
    }

    /// Reserves fast workers for an urgent group that only slow free workers hold. Returns `false` if
    /// the group is better started there now.
    pub fn wait_for(
        &mut self,
        group: &TaskGroup<'_>,
        pass: &mut Pass<'_>,
        search: &mut EvictionSearch,
        evictions: &mut Evictions,
    ) -> bool {
        let now = pass.now;
        let began_at = self.waits.get(&step_key(group)).map_or(now, |wait| wait.began_at);
        let remaining_ms = MAX_SPEED_WAIT_MS.get().saturating_sub(now.since(began_at).get());
        if remaining_ms == 0 {
            return false;
        }
        let stop_ms = pass.stop_timeout_ms.get().min(remaining_ms);
        let waits = reserve_stopping(group, pass, stop_ms)
            || (search.begin(group)
                && (reserve_ending(group, pass, remaining_ms)
                    || (may_evict(group) && evict_for_speed(group, pass, evictions, stop_ms))));
        if waits {
            let wait = SpeedWait { began_at, waited_at: now };
            self.waits.insert(step_key(group), wait);
        }
        waits
    }
}

/// Reserves fast workers that hold the group once their stopping runs have ended.
fn reserve_stopping(group: &TaskGroup<'_>, pass: &mut Pass<'_>, delay_ms: u64) -> bool {
    let Some(range) = fast_enough_range(group, pass.classes(group), delay_ms) else { return false };
    let Some(placement) = place_after(group, &pass.workers, range) else { return false };
    reserve(group, &placement, &mut pass.workers);
    true
}

/// Reserves fast workers that hold the group once the runs that end within `delay_ms` have ended.
fn reserve_ending(group: &TaskGroup<'_>, pass: &mut Pass<'_>, delay_ms: u64) -> bool {
    let Some(range) = fast_enough_range(group, pass.classes(group), delay_ms) else { return false };
    let mut later = pass.workers.clone();
    for worker in later.iter_mut().filter(|worker| range.contains(worker)) {
        for run in &worker.runs {
            let spec = pass.table.job(&run.task.job).and_then(|job| job.step_spec(run.task.step));
            let ends = pass.remaining_ms(run, worker).is_some_and(|left_ms| left_ms <= delay_ms);
            if let Some(spec) = spec.filter(|_| ends) {
                worker.free_after_stops = add(worker.free_after_stops, footprint(spec));
            }
        }
    }
    let Some(placement) = place_after(group, &later, range) else { return false };
    reserve(group, &placement, &mut pass.workers);
    true
}

fn place_after(
    group: &TaskGroup<'_>,
    workers: &[WorkerSnapshot],
    range: SpeedRange,
) -> Option<Placement> {
    let waivers = Waivers::NONE.with(Restraint::Reservation);
    let sets = candidate_sets(group, workers, waivers);
    place_in_sets(group, workers, &sets, CapacityKind::FreeAfterStops, waivers, range)
}
