//! Start of the ready groups of a scheduling pass, in order of urgency.
//!
//! Answers bursts in which more groups are ready than fit: each one gets free capacity, capacity of
//! runs that are being stopped, or capacity that an eviction frees, in this order.

use yuccatack_core::FastHashSet;

use crate::demand::TaskGroup;
use crate::eviction::{EvictionSearch, Evictions, reserve_after_stops};
use crate::headroom::Headroom;
use crate::pass::Pass;
use crate::placement::{CapacityKind, Placement, occupy, place};
use crate::restraint::Waivers;
use crate::table_change::TableChange;
use crate::waiting::WaitingSteps;

/// Tasks of a step that are equal: order of the job, occurrence, step, and whether one more failure
/// fails the job.
type EqualTasks = (u64, u32, u32, bool);

/// State of the dispatcher on which the starts of a pass depend.
pub(crate) struct Starts<'a> {
    pub headroom: &'a Headroom,
    pub waiting_steps: &'a WaitingSteps,
    pub evictions: &'a mut Evictions,
}

impl Starts<'_> {
    /// Begins the groups that fit and makes room for others. Moves those that do not begin to
    /// `waiting`.
    pub fn handle_groups(&mut self, pass: &mut Pass<'_>) {
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
            if !is_blocked && let Some(placement) = self.free_placement(&group, pass) {
                let runs = occupy(&group, &placement, &mut pass.workers);
                pass.changes.push(TableChange::Begin(runs));
                continue;
            }
            let will_fit = !is_blocked
                && (reserve_after_stops(&group, &mut pass.workers)
                    || search.evict_for(&group, pass, self.evictions));
            if !will_fit {
                blocked_tasks.insert(equal_tasks);
            }
            pass.waiting.push(group);
        }
    }

    /// Places the group on free capacity, without the restraints that have kept it waiting for too
    /// long.
    fn free_placement(&self, group: &TaskGroup<'_>, pass: &Pass<'_>) -> Option<Placement> {
        place(group, &pass.workers, CapacityKind::Free, Waivers::NONE)
            .or_else(|| self.waiting_steps.place_waiting(group, &pass.workers, pass.now))
    }
}

fn equal_tasks(group: &TaskGroup<'_>) -> EqualTasks {
    (group.job.order, group.occurrence, group.step, group.last_attempt)
}
