//! Choice of a replica's ID on start.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;

use snafu::ResultExt;
use yuccatack_replication::ReplicaId;
use yuccatack_storage::DataFolder;

use crate::error::{ControlError, FolderSnafu};

/// Bit set in the random IDs of joining replicas. The IDs of founders, which are derived from an
/// address, lack it, so that the two never collide.
const JOINER_BIT: u64 = 1 << 63;

/// ID of a replica and its part in founding the group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplicaIdentity {
    /// ID under which the replica votes; it belongs to one data folder.
    pub replica: ReplicaId,
    /// All founders with their addresses if this replica is one of them, otherwise empty.
    pub founders: BTreeMap<ReplicaId, SocketAddr>,
}

/// Reads the replica's ID from the data folder, or chooses one for an empty folder.
///
/// A wiped folder gets a new ID: the replica has lost its earlier votes and could vote twice in a
/// term under the old one. Only the first start of the deployment founds a group, from its seeds.
pub fn replica_identity(
    folder: &Path,
    own_address: SocketAddr,
    seeds: &[SocketAddr],
    first_start: bool,
) -> Result<ReplicaIdentity, ControlError> {
    let founders: BTreeMap<ReplicaId, SocketAddr> =
        seeds.iter().map(|seed| (founder_id(seed.ip()), *seed)).collect();
    let own_founder_id = founder_id(own_address.ip());
    let founds_group = first_start && founders.contains_key(&own_founder_id);
    let replica = match DataFolder::owner(folder).context(FolderSnafu)? {
        Some(id) => ReplicaId::new(id),
        None if founds_group => own_founder_id,
        None => ReplicaId::new(rand::random::<u64>() | JOINER_BIT),
    };
    let is_founder = founds_group && replica == own_founder_id;
    Ok(ReplicaIdentity { replica, founders: if is_founder { founders } else { BTreeMap::new() } })
}

fn founder_id(address: IpAddr) -> ReplicaId {
    let id = match address {
        IpAddr::V4(address) => u64::from(u32::from(address)),
        // The low half of an address identifies the machine within its network.
        IpAddr::V6(address) => {
            u64::try_from(u128::from(address) & u128::from(u64::MAX >> 1)).unwrap_or(u64::MAX >> 1)
        }
    };
    ReplicaId::new(id)
}
