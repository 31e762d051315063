//! Identifier types, as aliases of standard types.

use std::sync::Arc;

/// Name of a node, from its settings; does not change at a restart.
pub type NodeId = Arc<str>;
/// Random number generated at each start of a node; distinguishes its starts.
pub type Incarnation = u64;
/// Id of one send of a call, unique within the sender's incarnation.
pub type CallId = u64;
/// Random id shared by all calls that one caller's request leads to.
pub type RootRequestId = u64;
/// Hash of method, path and body; the same for identical requests.
pub type Fingerprint = u64;
/// Name of a service, as declared by the operators.
pub type ServiceName = Arc<str>;
/// Name of a data centre, from a node's settings.
pub type DataCentre = Arc<str>;
/// Position of a class in the operators' list; class 0 is shed last.
pub type ClassRank = u8;
/// Number of a configuration; increases by one with each accepted change.
pub type Generation = u64;
/// Hash of a client account's name; the same on every node.
pub type AccountId = u64;
