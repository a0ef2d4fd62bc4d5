//! Counters of the good events and of all events of each objective.

use std::sync::Arc;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;
use tokio::sync::watch;
use yuccatack_core::prelude::*;
use yuccatack_records::{Indicator, ObjectiveRecord};

use super::catalogue::register;
use super::labels::NameLabel;
use crate::burn::ObjectiveReading;

/// Maximum number of pairs of objective and organisation that are counted: twice the design size of
/// 190 organisations with ten objectives each. Further pairs are not counted, which is logged.
const MAXIMUM_SERIES_COUNT: usize = 4_000;

/// Counters of the objectives in force.
#[derive(Clone, Debug)]
pub struct ObjectiveMetrics {
    events: Family<SeriesLabels, Counter>,
    good_events: Family<SeriesLabels, Counter>,
    index: watch::Sender<Arc<Index>>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
struct SeriesLabels {
    objective: NameLabel<RecordName>,
    organisation: Option<NameLabel<OrganisationName>>,
}

/// Counters by observed subject, so that an event finds its counters without a search.
#[derive(Debug, Default)]
struct Index {
    requests: FastHashMap<(OrganisationName, ServiceName), Vec<Series>>,
    job_starts: FastHashMap<(OrganisationName, PriorityClass), Vec<Series>>,
    reclaims: FastHashMap<RecordName, Vec<Series>>,
    labels: Vec<SeriesLabels>,
}

#[derive(Clone, Debug)]
struct Series {
    objective: ObjectiveRecord,
    organisation: Option<OrganisationName>,
    events: Counter,
    good_events: Counter,
}

impl ObjectiveMetrics {
    pub(super) fn register(registry: &mut Registry) -> Self {
        Self {
            events: register(registry, "objective_events", Family::default()),
            good_events: register(registry, "objective_good_events", Family::default()),
            index: watch::Sender::new(Arc::default()),
        }
    }

    /// Replaces the objectives that are counted. An objective without an organisation has separate
    /// counters for each of `organisations`. Counts of unchanged series are kept.
    pub fn set_objectives(
        &self,
        objectives: &[ObjectiveRecord],
        organisations: &[OrganisationName],
    ) {
        let mut index = Index::default();
        for objective in objectives {
            for organisation in covered_organisations(objective, organisations) {
                if index.labels.len() >= MAXIMUM_SERIES_COUNT {
                    log::warn!(
                        event = "objective_series_limit", objective:% = objective.name;
                        "more than {MAXIMUM_SERIES_COUNT} pairs of objective and organisation; the \
                         others are not counted; withdraw some objectives"
                    );
                    break;
                }
                self.add(&mut index, objective, organisation);
            }
        }
        let previous = self.index.send_replace(Arc::new(index));
        self.remove_stale_series(&previous);
    }

    fn add(
        &self,
        index: &mut Index,
        objective: &ObjectiveRecord,
        organisation: Option<OrganisationName>,
    ) {
        let labels = SeriesLabels {
            objective: NameLabel(objective.name.clone()),
            organisation: organisation.clone().map(NameLabel),
        };
        let series = Series {
            objective: objective.clone(),
            organisation: organisation.clone(),
            events: self.events.get_or_create_owned(&labels),
            good_events: self.good_events.get_or_create_owned(&labels),
        };
        let list = match (&objective.indicator, organisation) {
            (Indicator::RequestLatency(service), Some(organisation)) => {
                index.requests.entry((organisation, service.clone())).or_default()
            }
            (Indicator::JobStart(class), Some(organisation)) => {
                index.job_starts.entry((organisation, *class)).or_default()
            }
            (Indicator::GuaranteeReclaim(guarantee), _) => {
                index.reclaims.entry(guarantee.clone()).or_default()
            }
            (Indicator::RequestLatency(_) | Indicator::JobStart(_), None) => return,
        };
        list.push(series);
        index.labels.push(labels);
    }

    fn remove_stale_series(&self, previous: &Index) {
        let current = Arc::clone(&self.index.borrow());
        let current_labels: FastHashSet<&SeriesLabels> = current.labels.iter().collect();
        for labels in previous.labels.iter().filter(|labels| !current_labels.contains(labels)) {
            self.events.remove(labels);
            self.good_events.remove(labels);
        }
    }

    pub(super) fn observe_request(
        &self,
        organisation: &OrganisationName,
        service: &ServiceName,
        completed_after: Option<Duration>,
    ) {
        let index = Arc::clone(&self.index.borrow());
        let key = (organisation.clone(), service.clone());
        count(index.requests.get(&key), completed_after);
    }

    pub(super) fn observe_start(
        &self,
        organisation: &OrganisationName,
        class: PriorityClass,
        wait: DurationMs,
    ) {
        let index = Arc::clone(&self.index.borrow());
        count(index.job_starts.get(&(organisation.clone(), class)), Some(wait.into()));
    }

    pub(super) fn observe_reclaim(&self, guarantee: &RecordName, time: DurationMs) {
        let index = Arc::clone(&self.index.borrow());
        count(index.reclaims.get(guarantee), Some(time.into()));
    }

    /// Returns the current values of the counters.
    pub fn read(&self) -> Vec<ObjectiveReading> {
        let index = Arc::clone(&self.index.borrow());
        let requests = index.requests.values();
        let lists = requests.chain(index.job_starts.values()).chain(index.reclaims.values());
        lists.flatten().map(Series::read).collect()
    }
}

/// Returns the organisations for which an objective has separate counters; `None` stands for the
/// holder of a guarantee.
fn covered_organisations(
    objective: &ObjectiveRecord,
    organisations: &[OrganisationName],
) -> Vec<Option<OrganisationName>> {
    match (&objective.indicator, &objective.organisation) {
        (Indicator::GuaranteeReclaim(_), _) => vec![None],
        (_, Some(organisation)) => vec![Some(organisation.clone())],
        (_, None) => organisations.iter().cloned().map(Some).collect(),
    }
}

/// Counts one event; `time` is `None` for an event that did not succeed.
fn count(list: Option<&Vec<Series>>, time: Option<Duration>) {
    for series in list.into_iter().flatten() {
        let threshold = Duration::from_millis(series.objective.threshold_ms);
        // The good events are incremented first: a reading between the two increments then counts
        // a bad event too few. The other order would count this good event as bad.
        if time.is_some_and(|time| time <= threshold) {
            series.good_events.inc();
        }
        series.events.inc();
    }
}

impl Series {
    fn read(&self) -> ObjectiveReading {
        // The good events are read first: otherwise an event between the two reads would count as
        // good but be missing from the total.
        let good_count = self.good_events.get();
        ObjectiveReading {
            objective: self.objective.clone(),
            organisation: self.organisation.clone(),
            good_count,
            total_count: self.events.get().max(good_count),
        }
    }
}
