//! Limits of a process and of its servers.

use yuccatack_core::DurationMs;

/// Unit in which the memory of requests is reserved.
pub(crate) const BLOCK_BYTES: usize = 1024;

/// Largest reservation that is served from the part of the budget for small bodies.
pub(crate) const SMALL_BODY_BYTES: usize = 16 * 1024;

/// Memory of an open connection: the buffers for reading and writing, and the decoded header.
const CONNECTION_BYTES: u64 = 32 * 1024;

/// Descriptors that are not for accepted connections: listeners, files, and connections to the
/// leader or to a worker.
const OTHER_DESCRIPTOR_COUNT: usize = 64;

/// Smallest number of connections of a process, whatever its limits.
const MIN_CONNECTION_COUNT: usize = 16;

/// Memory that is assumed where no setting names it: that of the smallest machines.
const DEFAULT_MEMORY_BYTES: u64 = 120 * 1024 * 1024;

/// Descriptors that are assumed where no setting names them, the usual soft limit of a process.
const DEFAULT_DESCRIPTOR_COUNT: usize = 1_024;

/// Limits that all HTTP servers of a process share.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ProcessLimits {
    /// Memory for bodies, decoded bodies and responses, in bytes.
    pub budget_bytes: usize,
    /// Maximum number of open connections.
    pub connection_count: usize,
    /// Maximum number of open connections of one client address. All callers may come through the
    /// address of one load balancer, so it leaves only a small part for other addresses.
    pub connections_per_address: usize,
}

impl Default for ProcessLimits {
    fn default() -> Self {
        Self::new(DEFAULT_MEMORY_BYTES, DEFAULT_DESCRIPTOR_COUNT)
    }
}

impl ProcessLimits {
    /// Derives the limits from the memory of the machine and the descriptors of the process.
    ///
    /// A quarter of the memory is for requests in progress and a sixth for connections. The rest is
    /// for the process itself and for memory that the allocator keeps.
    pub fn new(memory_bytes: u64, descriptor_count: usize) -> Self {
        let budget_bytes = usize::try_from(memory_bytes / 4).unwrap_or(usize::MAX);
        let by_memory = usize::try_from(memory_bytes / 6 / CONNECTION_BYTES).unwrap_or(usize::MAX);
        let by_descriptors = (descriptor_count / 4 * 3).saturating_sub(OTHER_DESCRIPTOR_COUNT);
        let connection_count = by_memory.min(by_descriptors).max(MIN_CONNECTION_COUNT);
        let connections_per_address = connection_count - connection_count / 8;
        Self { budget_bytes, connection_count, connections_per_address }
    }

    /// Derives the limits like [`Self::new`], with defaults for values that are not known.
    pub fn from_settings(memory_bytes: Option<u64>, descriptor_count: Option<usize>) -> Self {
        Self::new(
            memory_bytes.unwrap_or(DEFAULT_MEMORY_BYTES),
            descriptor_count.unwrap_or(DEFAULT_DESCRIPTOR_COUNT),
        )
    }
}

/// Limits of the requests of one server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServerLimits {
    /// Maximum size of a body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum size of the head of a request, in bytes.
    pub max_header_bytes: usize,
    /// Time limit for the head of a request, from its first byte.
    pub header_timeout_ms: DurationMs,
    /// Time after which a connection without a request is closed.
    pub idle_timeout_ms: DurationMs,
    /// Maximum number of fields and elements in a body.
    pub max_field_count: usize,
    /// Maximum nesting depth of a body.
    pub max_depth: usize,
    /// Memory of an object of a body once it is decoded, in bytes.
    pub object_bytes: usize,
    /// Memory of a field or element of a body once it is decoded, in bytes.
    pub field_bytes: usize,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            max_body_bytes: 262_144,
            max_header_bytes: 16_384,
            header_timeout_ms: DurationMs::new(3_000),
            idle_timeout_ms: DurationMs::new(15_000),
            max_field_count: 131_072,
            max_depth: 128,
            object_bytes: 256,
            field_bytes: 48,
        }
    }
}

impl ServerLimits {
    /// Returns the default limits with another size of bodies, in bytes.
    pub fn new(max_body_bytes: usize) -> Self {
        Self { max_body_bytes, ..Self::default() }
    }

    /// Sets the memory that objects and fields of a body take once they are decoded, in bytes.
    pub fn with_decoded_sizes(mut self, object_bytes: usize, field_bytes: usize) -> Self {
        self.object_bytes = object_bytes;
        self.field_bytes = field_bytes;
        self
    }

    /// Sets the maximum number of fields and elements in a body.
    pub fn with_max_field_count(mut self, max_field_count: usize) -> Self {
        self.max_field_count = max_field_count;
        self
    }
}
