//! Choice of the connections that are closed to make room for others.

/// What a connection does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// No request is in progress.
    Idle,
    /// The head of a request is arriving.
    Head,
    /// The body of a request is arriving.
    Body,
    /// The request is handled. Such a connection is never closed for others, since the effect of
    /// its request would be unknown to the client.
    Handling,
    /// The response is written.
    Response,
}

/// State of a connection at the time of the choice.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// What the connection does.
    pub phase: Phase,
    /// Time since the phase began, in milliseconds.
    pub phase_age_ms: u64,
    /// Time since bytes were last received or sent, in milliseconds.
    pub stalled_ms: u64,
    /// Memory that the connection has reserved, in blocks.
    pub reserved_blocks: usize,
}

/// What room is needed for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Room {
    /// One connection.
    Connection,
    /// Blocks of the budget.
    Blocks(usize),
}

/// Time without progress after which a connection counts as stalled. A round trip between regions
/// takes less, so that clients that send as fast as their link allows are not closed.
const STALLED_MS: u64 = 400;

/// Time after which a body or a head that still arrives counts as slow. A body of the maximum size
/// takes less on the slowest link.
const SLOW_MS: u64 = 2_500;

/// Time after which a body or a head may be closed if nothing else can be, so that clients that keep
/// sending cannot shut out others. A request in one piece is read as soon as it has arrived.
const BUSY_MS: u64 = 100;

/// Time without a request after which an idle connection may be closed for a new one.
const IDLE_MS: u64 = 400;

/// Returns the indexes of the connections to close, oldest stalled ones first: as few as make the
/// room, or all that may be closed if they do not suffice.
pub fn choose_victims(candidates: &[Candidate], room: Room) -> Vec<usize> {
    let mut ranked: Vec<(u8, u64, usize)> = candidates
        .iter()
        .enumerate()
        .filter_map(|(index, candidate)| {
            let rank = rank(candidate, room)?;
            let age_ms = if rank >= 2 { candidate.phase_age_ms } else { candidate.stalled_ms };
            Some((rank, u64::MAX - age_ms, index))
        })
        .collect();
    ranked.sort_unstable();
    let mut victims = Vec::new();
    let mut freed_blocks = 0;
    for (_, _, index) in ranked {
        let is_enough = match room {
            Room::Connection => !victims.is_empty(),
            Room::Blocks(blocks) => freed_blocks >= blocks,
        };
        if is_enough {
            break;
        }
        freed_blocks += candidates[index].reserved_blocks;
        victims.push(index);
    }
    victims
}

/// Returns the rank of a connection among those that may be closed; lower ones are closed first.
fn rank(candidate: &Candidate, room: Room) -> Option<u8> {
    if matches!(room, Room::Blocks(_)) && candidate.reserved_blocks == 0 {
        return None;
    }
    match candidate.phase {
        Phase::Handling => None,
        Phase::Idle => (candidate.stalled_ms >= IDLE_MS).then_some(1),
        Phase::Head | Phase::Body | Phase::Response if candidate.stalled_ms >= STALLED_MS => {
            Some(0)
        }
        Phase::Head | Phase::Body | Phase::Response => match candidate.phase_age_ms {
            SLOW_MS.. => Some(2),
            BUSY_MS.. => Some(3),
            _ => None,
        },
    }
}
