//! Names and numbers that identify things, as aliases of standard types.

use std::sync::Arc;

/// Name of a node, from its settings; stays the same over restarts.
pub type NodeId = Arc<str>;
/// Random number drawn at each start of a node; tells one start from the next.
pub type Incarnation = u64;
/// Number of one send of one call, unique within the sender's incarnation.
pub type CallId = u64;
/// Random number that every call of one caller's request shares.
pub type RootRequestId = u64;
/// Hash of method, path and body: the same for equal requests.
pub type Fingerprint = u64;
/// Name of a service as the operators declare it.
pub type ServiceName = Arc<str>;
/// Name of a data centre, from a node's settings.
pub type DataCentre = Arc<str>;
/// Place of a class in the operators' list; 0 is shed last.
pub type ClassRank = u8;
/// Number of a configuration; grows by one with each accepted change.
pub type Generation = u64;
