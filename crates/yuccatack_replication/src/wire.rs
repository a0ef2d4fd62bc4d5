//! Conversions of messages, entries and snapshots to and from their transport and storage types.

use bytes::{BufMut, Bytes, BytesMut};
use snafu::{ResultExt, Snafu};
use yuccatack_storage::{Snapshot, StoredEntry};

use crate::generated::replication::Envelope;
use crate::identifiers::{LogIndex, Term};
use crate::message::Message;
use crate::persistence::StateSnapshot;
use crate::replicated_log::{EntryPayload, LogEntry, LogPosition};

const KIND_EMPTY: u8 = 0;
const KIND_COMMAND: u8 = 1;
const KIND_MEMBERSHIP: u8 = 2;

/// Error of encoding or decoding a message, an entry or a snapshot.
#[derive(Debug, Snafu)]
pub enum WireError {
    /// The value has no MessagePack representation.
    #[snafu(display("cannot encode: {source}"))]
    Encode {
        /// Error of the MessagePack encoder.
        source: rmp_serde::encode::Error,
    },
    /// The bytes are not a valid encoding of the expected type.
    #[snafu(display("cannot decode: {source}"))]
    Decode {
        /// Error of the MessagePack decoder.
        source: rmp_serde::decode::Error,
    },
    /// The kind byte of a stored entry is not supported.
    #[snafu(display("a stored entry has the unknown kind {kind}"))]
    UnknownKind {
        /// Kind byte of the entry.
        kind: u8,
    },
    /// The stored entry is empty, so it has no kind byte.
    #[snafu(display("a stored entry is empty and has no kind"))]
    NoKind,
}

impl TryFrom<&Message> for Envelope {
    type Error = WireError;

    fn try_from(message: &Message) -> Result<Self, Self::Error> {
        let encoded = rmp_serde::to_vec_named(message).context(EncodeSnafu)?;
        Ok(Self {
            from_replica: message.from.get(),
            to_replica: message.to.get(),
            message: Bytes::from(encoded),
        })
    }
}

impl TryFrom<Envelope> for Message {
    type Error = WireError;

    fn try_from(envelope: Envelope) -> Result<Self, Self::Error> {
        rmp_serde::from_slice(&envelope.message).context(DecodeSnafu)
    }
}

impl TryFrom<&LogEntry> for StoredEntry {
    type Error = WireError;

    fn try_from(entry: &LogEntry) -> Result<Self, Self::Error> {
        let payload = match &entry.payload {
            EntryPayload::Empty => Bytes::from_static(&[KIND_EMPTY]),
            EntryPayload::Command(command) => with_kind(KIND_COMMAND, command),
            EntryPayload::Membership(membership) => {
                let encoded = rmp_serde::to_vec_named(membership).context(EncodeSnafu)?;
                with_kind(KIND_MEMBERSHIP, &encoded)
            }
        };
        Ok(Self { term: entry.term.get(), index: entry.index.get(), payload })
    }
}

fn with_kind(kind: u8, content: &[u8]) -> Bytes {
    let mut bytes = BytesMut::with_capacity(1 + content.len());
    bytes.put_u8(kind);
    bytes.put_slice(content);
    bytes.freeze()
}

impl TryFrom<StoredEntry> for LogEntry {
    type Error = WireError;

    fn try_from(stored: StoredEntry) -> Result<Self, Self::Error> {
        let kind = *stored.payload.first().ok_or(WireError::NoKind)?;
        let content = stored.payload.slice(1..);
        let payload = match kind {
            KIND_EMPTY => EntryPayload::Empty,
            KIND_COMMAND => EntryPayload::Command(content),
            KIND_MEMBERSHIP => {
                EntryPayload::Membership(rmp_serde::from_slice(&content).context(DecodeSnafu)?)
            }
            kind => return UnknownKindSnafu { kind }.fail(),
        };
        Ok(Self { term: Term::new(stored.term), index: LogIndex::new(stored.index), payload })
    }
}

impl TryFrom<&StateSnapshot> for Snapshot {
    type Error = WireError;

    fn try_from(snapshot: &StateSnapshot) -> Result<Self, Self::Error> {
        let metadata = rmp_serde::to_vec_named(&snapshot.membership).context(EncodeSnafu)?;
        Ok(Self {
            index: snapshot.last.index.get(),
            term: snapshot.last.term.get(),
            metadata: Bytes::from(metadata),
            payload: snapshot.payload.clone(),
        })
    }
}

impl TryFrom<Snapshot> for StateSnapshot {
    type Error = WireError;

    fn try_from(snapshot: Snapshot) -> Result<Self, Self::Error> {
        let membership = rmp_serde::from_slice(&snapshot.metadata).context(DecodeSnafu)?;
        let last =
            LogPosition { index: LogIndex::new(snapshot.index), term: Term::new(snapshot.term) };
        Ok(Self { last, membership, payload: snapshot.payload })
    }
}
