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
use crate::run_counts::RunCounts;
use crate::speed_range::place_by_speed;
use crate::speed_wait::SpeedWaits;
use crate::table_change::TableChange;
use crate::waiting::WaitingSteps;

/// Tasks of a step that are equal: order of the job, occurrence, step, and whether one more failure
/// fails the job.
type EqualTasks = (u64, u32, u32, bool);

/// Number of runs that one pass begins at most, beside one wider gang. It bounds the log entry
/// of the pass, and the time for which calls wait while replicas apply it.
const PASS_START_COUNT: usize = 2_048;

/// Maximum number of open runs of all workers. The design size has 53,000; each one takes some hundred
/// bytes in a snapshot and in the memory of each replica.
const MAX_OPEN_RUN_COUNT: u32 = 65_536;

/// Number of workers and tasks that the searches of one pass may visit. It keeps the pass well below
/// the election timeout.
const PASS_VISIT_COUNT: usize = 1 << 17;

/// Number of searches over all workers that a pass may make, however many workers there are, so that
/// work begins on large deployments, too.
const MIN_SEARCH_COUNT: usize = 64;

/// Returns the number of workers and tasks that the searches of one pass may visit.
pub(crate) fn search_limit(worker_count: usize) -> usize {
    PASS_VISIT_COUNT.max(MIN_SEARCH_COUNT.saturating_mul(worker_count))
}

/// Identity and position of a group among those that take turns.
type TurnKey = (u64, u32, u32, u32);

/// Groups that take turns once the most urgent ones have used up the searches of a pass. Otherwise
/// groups that fit nowhere would keep others waiting for ever.
#[derive(Debug, Default)]
pub(crate) struct SearchTurn {
    next: TurnKey,
}

/// Work that a pass may still do.
#[derive(Debug)]
struct PassBudget {
    visit_count: usize,
    start_count: usize,
    has_started_wide_gang: bool,
    open_counts: RunCounts,
}

impl PassBudget {
    fn new(pass: &Pass<'_>) -> Self {
        Self {
            visit_count: search_limit(pass.workers.len()),
            start_count: PASS_START_COUNT,
            has_started_wide_gang: false,
            open_counts: open_counts(pass),
        }
    }

    /// Returns `true` if the runs of the group may begin in this pass. A gang that no pass could begin
    /// within the limit does not wait for a pass without other starts.
    fn may_start(&self, group: &TaskGroup<'_>) -> bool {
        let is_within_limit = if is_wide_gang(group) {
            !self.has_started_wide_gang
        } else {
            group.tasks.len() <= self.start_count
        };
        let allowance = self.open_counts.allowance(MAX_OPEN_RUN_COUNT, group.job);
        is_within_limit && group.tasks.len() <= allowance as usize
    }

    fn count_start(&mut self, group: &TaskGroup<'_>) {
        if is_wide_gang(group) {
            self.has_started_wide_gang = true;
        } else {
            self.start_count = self.start_count.saturating_sub(group.tasks.len());
        }
    }

    fn count_visit(&mut self, group: &TaskGroup<'_>, worker_count: usize) {
        self.visit_count = self.visit_count.saturating_sub(worker_count + group.tasks.len());
    }
}

fn is_wide_gang(group: &TaskGroup<'_>) -> bool {
    group.tasks.len() > PASS_START_COUNT
}

/// Returns the open runs by job and organisation if there are enough for their limit to matter in
/// this pass.
fn open_counts(pass: &Pass<'_>) -> RunCounts {
    let mut counts = RunCounts::default();
    let open_runs = pass.table.open_runs();
    if open_runs.len() * 4 > MAX_OPEN_RUN_COUNT as usize {
        let jobs = open_runs.keys().filter_map(|run| pass.table.job(&run.task.job));
        jobs.for_each(|job| counts.add(job));
    }
    counts
}

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
    pub search_turn: &'a mut SearchTurn,
}

/// State of the starts within one pass.
struct PassState {
    search: EvictionSearch,
    /// Tasks that do not fit. Once one of several equal tasks does not fit, the others do not either.
    blocked_tasks: FastHashSet<EqualTasks>,
    headroom_reserved: bool,
    budget: PassBudget,
}

impl Starts<'_> {
    /// Begins the groups that fit and makes room for others. Moves those that do not begin to
    /// `waiting`.
    pub fn handle_groups(&mut self, pass: &mut Pass<'_>) {
        self.speed_waits.expire(pass.now);
        let mut state = PassState {
            search: EvictionSearch::default(),
            blocked_tasks: FastHashSet::default(),
            headroom_reserved: false,
            budget: PassBudget::new(pass),
        };
        let mut groups = std::mem::take(&mut pass.groups).into_iter();
        while state.budget.visit_count > 0
            && let Some(group) = groups.next()
        {
            self.handle_group(group, pass, &mut state);
        }
        let mut others: Vec<TaskGroup<'_>> = groups.collect();
        if others.is_empty() {
            return;
        }
        others.sort_by_key(turn_key);
        let first = others.partition_point(|group| turn_key(group) < self.search_turn.next);
        others.rotate_left(first);
        state.budget.visit_count = search_limit(pass.workers.len()) / 2;
        let mut others = others.into_iter();
        while state.budget.visit_count > 0
            && let Some(group) = others.next()
        {
            self.handle_group(group, pass, &mut state);
        }
        self.search_turn.next = others.as_slice().first().map(turn_key).unwrap_or_default();
        pass.waiting.extend(others);
    }

    /// Begins the group if it fits; otherwise tries to make room for it.
    fn handle_group<'a>(
        &mut self,
        group: TaskGroup<'a>,
        pass: &mut Pass<'a>,
        state: &mut PassState,
    ) {
        if !group.is_urgent() && !state.headroom_reserved {
            state.headroom_reserved = true;
            self.headroom.reserve(&mut pass.workers);
        }
        let equal_tasks = equal_tasks(&group);
        if state.blocked_tasks.contains(&equal_tasks) || !state.budget.may_start(&group) {
            pass.waiting.push(group);
            return;
        }
        state.budget.count_visit(&group, pass.workers.len());
        match self.free_placement(&group, pass, &mut state.search) {
            FreePlacement::Found(placement) => {
                state.budget.count_start(&group);
                let runs = occupy(&group, &placement, &mut pass.workers);
                pass.changes.push(TableChange::Begin(runs));
                return;
            }
            FreePlacement::WaitsForSpeed => {}
            FreePlacement::None => {
                state.budget.count_visit(&group, pass.workers.len());
                if !self.make_room(&group, pass, &mut state.search) {
                    state.blocked_tasks.insert(equal_tasks);
                }
            }
        }
        pass.waiting.push(group);
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

fn turn_key(group: &TaskGroup<'_>) -> TurnKey {
    (group.job.order, group.occurrence, group.step, group.tasks.start)
}
