//! Store of the evacuations in force.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use yuccatack_core::DataCentreName;

/// Maximum number of data centres that may be evacuated at once, which bounds the snapshot where the
/// settings do not list the data centres.
const EVACUATION_LIMIT_COUNT: usize = 256;

/// Store of the data centres in which nothing starts.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct EvacuationStore {
    data_centres: BTreeSet<DataCentreName>,
}

impl EvacuationStore {
    /// Begins an evacuation. Returns `true` if the data centre was not evacuated before.
    pub fn evacuate(&mut self, data_centre: DataCentreName) -> bool {
        self.data_centres.insert(data_centre)
    }

    /// Ends an evacuation. Returns `true` if the data centre was evacuated before.
    pub fn readmit(&mut self, data_centre: &DataCentreName) -> bool {
        self.data_centres.remove(data_centre)
    }

    /// Returns `true` if nothing may start in the data centre.
    pub fn contains(&self, data_centre: &DataCentreName) -> bool {
        self.data_centres.contains(data_centre)
    }

    /// Iterates over the evacuated data centres in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &DataCentreName> {
        self.data_centres.iter()
    }

    /// Returns the number of evacuated data centres.
    pub fn count(&self) -> usize {
        self.data_centres.len()
    }

    /// Returns `true` if no further data centre may be evacuated.
    pub fn is_full(&self) -> bool {
        self.data_centres.len() >= EVACUATION_LIMIT_COUNT
    }
}
