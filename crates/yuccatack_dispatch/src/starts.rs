//! Start of the ready groups of a scheduling pass, in order of urgency.
//!
//! Answers bursts in which more groups are ready than fit: each one gets free capacity, capacity of
//! runs that are being stopped, or capacity that an eviction frees, in this order.

use yuccatack_core::FastHashSet;

use crate::demand::TaskGroup;
use crate::eviction::{
    EvictionSearch, Evictions, evict_for_room, evict_for_speed, may_evict, reserve_after_stops,
};
use crate::headroom::Headroom;
use crate::pass::Pass;
use crate::placement::{CapacityKind, Placement, occupy};
use crate::restraint::Waivers;
use crate::speed_range::place_by_speed;
use crate::speed_wait::SpeedWaits;
use crate::table_change::TableChange;
use crate::waiting::WaitingSteps;

/// Tasks of a step that are equal: order of the job, occurrence, step, and whether one more failure
/// fails the job.
type EqualTasks = (u64, u32, u32, bool);

/// Result of the search for free capacity for a group.
enum FreePlacement {
    Found(Placement),
    /// The group fits, but only on workers that are too slow for its objective, and waits for others.
    WaitsForSpeed,
    None,
}

/// State of the dispatcher on which the starts of a pass depend.
pub(crate) struct Starts<'a> {
    pub headroom: &'a Headroom,
    pub waiting_steps: &'a WaitingSteps,
    pub speed_waits: &'a mut SpeedWaits,
    pub evictions: &'a mut Evictions,
}

impl Starts<'_> {
    /// Begins the groups that fit and makes room for others. Moves those that do not begin to
    /// `waiting`.
    pub fn handle_groups(&mut self, pass: &mut Pass<'_>) {
        self.speed_waits.expire(pass.now);
        let mut search = EvictionSearch::default();
        // Once one of several equal tasks does not fit, the others do not either.
        let mut blocked_tasks = FastHashSet::default();
        let mut headroom_reserved = false;
        for group in std::mem::take(&mut pass.groups) {
            if !group.is_urgent() && !headroom_reserved {
                headroom_reserved = true;
                self.headroom.reserve(&mut pass.workers);
            }
            let equal_tasks = equal_tasks(&group);
            let is_blocked = blocked_tasks.contains(&equal_tasks);
            if !is_blocked {
                match self.free_placement(&group, pass, &mut search) {
                    FreePlacement::Found(placement) => {
                        let runs = occupy(&group, &placement, &mut pass.workers);
                        pass.changes.push(TableChange::Begin(runs));
                        continue;
                    }
                    FreePlacement::WaitsForSpeed => {
                        pass.waiting.push(group);
                        continue;
                    }
                    FreePlacement::None => {}
                }
            }
            let will_fit = !is_blocked && self.make_room(&group, pass, &mut search);
            if !will_fit {
                blocked_tasks.insert(equal_tasks);
            }
            pass.waiting.push(group);
        }
    }

    /// Reserves capacity that becomes free for the group. Returns `false` if there is none.
    ///
    /// Fast enough workers come first: reserved slow ones would have to be left for them later.
    fn make_room(
        &mut self,
        group: &TaskGroup<'_>,
        pass: &mut Pass<'_>,
        search: &mut EvictionSearch,
    ) -> bool {
        let speeds_differ = pass.speed_classes.differ(&group.job.submission.service);
        if reserve_after_stops(group, pass, speeds_differ) {
            return true;
        }
        let stop_ms = pass.stop_timeout_ms.get();
        let may_search = may_evict(group) && search.begin(group);
        (may_search && evict_for_speed(group, pass, self.evictions, stop_ms))
            || (speeds_differ && reserve_after_stops(group, pass, false))
            || (may_search && evict_for_room(group, pass, self.evictions))
    }

    /// Places the group on free capacity, without the restraints that have kept it waiting for too
    /// long.
    fn free_placement(
        &mut self,
        group: &TaskGroup<'_>,
        pass: &mut Pass<'_>,
        search: &mut EvictionSearch,
    ) -> FreePlacement {
        let classes = pass.classes(group);
        let found =
            place_by_speed(group, &pass.workers, classes, CapacityKind::Free, Waivers::NONE);
        if let Some(found) = found {
            if !found.is_fast_enough
                && self.speed_waits.wait_for(group, pass, search, self.evictions)
            {
                return FreePlacement::WaitsForSpeed;
            }
            return FreePlacement::Found(found.placement);
        }
        let waiting = self.waiting_steps.place_waiting(group, &pass.workers, pass.now);
        waiting.map_or(FreePlacement::None, FreePlacement::Found)
    }
}

fn equal_tasks(group: &TaskGroup<'_>) -> EqualTasks {
    (group.job.order, group.occurrence, group.step, group.last_attempt)
}
