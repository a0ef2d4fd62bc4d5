//! Which number a replica has.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;

use snafu::ResultExt;
use yuccatack_replication::ReplicaId;
use yuccatack_storage::DataFolder;

use crate::error::{ControlError, FolderSnafu};

/// Numbers drawn by joining replicas have this bit; numbers of founders, made from an address, do
/// not, so that the two never meet.
const JOINER_BIT: u64 = 1 << 63;

/// How this replica comes into the group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Formation {
    /// Its number.
    pub replica: ReplicaId,
    /// The founders, if it is one of them.
    pub founders: BTreeMap<ReplicaId, SocketAddr>,
}

/// Finds the number of the folder's replica, or chooses one for an empty folder.
///
/// A folder that was wiped is a new replica: it must not vote again under its old number. Only the
/// very first start of the deployment founds a group, from the seeds that it names.
pub fn replica_identity(
    folder: &Path,
    own: SocketAddr,
    seeds: &[SocketAddr],
    first_start: bool,
) -> Result<Formation, ControlError> {
    let founders: BTreeMap<ReplicaId, SocketAddr> =
        seeds.iter().map(|seed| (founder_number(seed.ip()), *seed)).collect();
    let own_founder = founder_number(own.ip());
    let founds = first_start && founders.contains_key(&own_founder);
    let replica = match DataFolder::owner(folder).context(FolderSnafu)? {
        Some(number) => ReplicaId::new(number),
        None if founds => own_founder,
        None => ReplicaId::new(rand::random::<u64>() | JOINER_BIT),
    };
    let is_founder = founds && replica == own_founder;
    Ok(Formation { replica, founders: if is_founder { founders } else { BTreeMap::new() } })
}

fn founder_number(address: IpAddr) -> ReplicaId {
    let number = match address {
        IpAddr::V4(address) => u64::from(u32::from(address)),
        // The low half of an address tells the machines of a network apart.
        IpAddr::V6(address) => {
            u64::try_from(u128::from(address) & u128::from(u64::MAX >> 1)).unwrap_or(u64::MAX >> 1)
        }
    };
    ReplicaId::new(number)
}
