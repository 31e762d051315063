//! Ids of the requests that a connection has carried.

/// Most requests on one connection, which bounds the memory for their ids.
const MAX_CARRIED_IDS: usize = 1_024;

/// Hash of a request's id. Two ids with one hash count as the same, which costs a connection.
pub(super) type IdHash = u64;

/// Ids of the requests that a connection has carried.
///
/// An upstream may send a copy of an answer late, where the next answer on that connection is
/// expected, and only the id tells them apart. If a rejected request were sent again on its
/// connection, a copy of the rejection would pass for the second answer, and the request would be
/// sent a third time while it runs. A copy never changes its connection, so it is enough that a
/// connection carries an id once.
#[derive(Debug, Default)]
pub(super) struct CarriedIds {
    hashes: Vec<IdHash>,
}

impl CarriedIds {
    pub(super) fn contains(&self, id: IdHash) -> bool {
        self.hashes.contains(&id)
    }

    pub(super) fn insert(&mut self, id: IdHash) {
        self.hashes.push(id);
    }

    /// Returns the number of requests that the connection has carried.
    pub(super) fn len(&self) -> usize {
        self.hashes.len()
    }

    /// Whether the connection may carry no further request.
    pub(super) fn is_full(&self) -> bool {
        self.hashes.len() >= MAX_CARRIED_IDS
    }
}
