//! Table of the records of all other members.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Bound;
use std::time::{Duration, Instant};

use hemlocktack_protocol::{Member, NodeState};

use super::record::{self, Freshness};
use hemlocktack_protocol::stable_hash;

/// Entry of one other member.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    /// The latest record published by the member itself.
    pub(crate) member: Member,
    /// `Suspect` or `Dead` if the member is accused; otherwise its own published state.
    pub(crate) state: NodeState,
    pub(crate) address: Option<SocketAddr>,
    /// When `state` last changed.
    pub(crate) since: Instant,
}

impl Entry {
    pub(crate) fn freshness(&self) -> Freshness {
        Freshness::with_state(&self.member, self.state)
    }

    /// Returns whether the member is probed and gets updates.
    pub(crate) fn is_live(&self) -> bool {
        !matches!(self.state, NodeState::Dead | NodeState::Left)
    }

    pub(crate) fn is_accused(&self) -> bool {
        matches!(self.state, NodeState::Suspect | NodeState::Dead)
    }

    /// Returns the record that describes this node's view of the member to others.
    pub(crate) fn gossip_record(&self) -> Member {
        if self.is_accused() {
            return record::accusation(&self.member);
        }
        self.member.clone()
    }
}

/// Effect of merging a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Merged {
    Stale,
    Changed,
    /// The member has just begun to leave.
    BeganLeaving,
}

/// Records of all other members, ordered by node id so that two tables can be compared page by
/// page.
#[derive(Default)]
pub(crate) struct Table {
    entries: BTreeMap<String, Entry>,
    digest: u64,
    live_count: usize,
}

impl Table {
    pub(crate) fn get(&self, node_id: &str) -> Option<&Entry> {
        self.entries.get(node_id)
    }

    pub(crate) fn entries(&self) -> impl Iterator<Item = (&String, &Entry)> {
        self.entries.iter()
    }

    pub(crate) fn live(&self) -> impl Iterator<Item = (&String, &Entry)> {
        self.entries.iter().filter(|(_, entry)| entry.is_live())
    }

    pub(crate) fn live_count(&self) -> usize {
        self.live_count
    }

    pub(crate) fn count(&self) -> usize {
        self.entries.len()
    }

    /// Returns a digest of all live records, which does not depend on the order of arrival.
    pub(crate) fn digest(&self) -> u64 {
        self.digest
    }

    pub(crate) fn after(&self, node_id: &str) -> impl Iterator<Item = (&String, &Entry)> {
        let from = (Bound::Excluded(node_id), Bound::Unbounded);
        self.entries.range::<str, _>(from)
    }

    /// Merges a record of another node if it is fresher than the known one.
    pub(crate) fn merge(&mut self, now: Instant, record: Member) -> Merged {
        if record::is_accusation(&record) {
            return self.merge_accusation(now, &record);
        }
        let known = self.entries.get(&record.node_id);
        if known.is_some_and(|entry| Freshness::of(&record) <= entry.freshness()) {
            return Merged::Stale;
        }
        let was_leaving = known.is_some_and(|entry| {
            entry.member.incarnation == record.incarnation && record::is_leaving(&entry.member)
        });
        let merged = match record::is_leaving(&record) && !was_leaving {
            true => Merged::BeganLeaving,
            false => Merged::Changed,
        };
        let entry = Entry {
            state: record.state(),
            address: record.gossip_address.parse().ok(),
            since: now,
            member: record,
        };
        self.put(entry);
        merged
    }

    /// Returns the latest record of a member that has left, if `record` claims that it is still
    /// present.
    ///
    /// This corrects a node that was paused or cut off while the member left, and comes back when
    /// the update is no longer disseminated. Otherwise it would send calls to the member until its
    /// own probes fail.
    pub(crate) fn departure_record(&self, record: &Member) -> Option<Member> {
        let entry = self.entries.get(&record.node_id)?;
        let has_left = entry.state == NodeState::Left && record.state() != NodeState::Left;
        let same_start = entry.member.incarnation == record.incarnation;
        (has_left && same_start).then(|| entry.member.clone())
    }

    /// Merges another node's accusation as a suspicion, even if it reports a death: each node waits
    /// for the suspicion timeout itself before it considers a member dead. If deaths were accepted
    /// from others, one node with a bad network could remove any member from every view before the
    /// member can refute.
    fn merge_accusation(&mut self, now: Instant, record: &Member) -> Merged {
        let Some(entry) = self.entries.get(&record.node_id) else {
            return Merged::Stale;
        };
        let same_start = entry.member.incarnation == record.incarnation;
        let has_left = entry.state == NodeState::Left;
        if !same_start || has_left || Freshness::of(record) <= entry.freshness() {
            return Merged::Stale;
        }
        let mut entry = entry.clone();
        entry.member.version = record.version;
        entry.member.start_order = record.start_order;
        entry.state = NodeState::Suspect;
        entry.since = now;
        self.put(entry);
        Merged::Changed
    }

    /// Sets this node's own view of a member's state.
    pub(crate) fn set_state(&mut self, now: Instant, node_id: &str, state: NodeState) {
        let Some(entry) = self.entries.get(node_id) else {
            return;
        };
        let mut entry = entry.clone();
        entry.state = state;
        entry.since = now;
        self.put(entry);
    }

    /// Extends all suspicions by the duration for which this node was itself paused.
    pub(crate) fn extend_suspicions(&mut self, pause: Duration) {
        for entry in self.entries.values_mut() {
            if entry.state == NodeState::Suspect {
                entry.since += pause;
            }
        }
    }

    pub(crate) fn remove(&mut self, node_id: &str) {
        if let Some(entry) = self.entries.remove(node_id) {
            self.digest ^= digest_contribution(&entry);
            self.live_count -= usize::from(entry.is_live());
        }
    }

    /// Drops records of left and dead members that have reached `age`, and the oldest ones above
    /// `limit`.
    pub(crate) fn drop_old_tombstones(&mut self, now: Instant, age: Duration, limit: usize) {
        let mut tombstones: Vec<(Instant, String)> = self
            .entries
            .iter()
            .filter(|(_, entry)| !entry.is_live())
            .map(|(node_id, entry)| (entry.since, node_id.clone()))
            .collect();
        tombstones.sort();
        let excess = tombstones.len().saturating_sub(limit);
        for (position, (since, node_id)) in tombstones.into_iter().enumerate() {
            if position < excess || now.saturating_duration_since(since) >= age {
                self.remove(&node_id);
            }
        }
    }

    fn put(&mut self, entry: Entry) {
        self.digest ^= digest_contribution(&entry);
        self.live_count += usize::from(entry.is_live());
        if let Some(old) = self.entries.insert(entry.member.node_id.clone(), entry) {
            self.digest ^= digest_contribution(&old);
            self.live_count -= usize::from(old.is_live());
        }
    }
}

/// Returns the contribution of an entry to the digest. Dead and left members have none, since nodes
/// forget them at different times.
pub(crate) fn digest_contribution(entry: &Entry) -> u64 {
    if !entry.is_live() {
        return 0;
    }
    member_digest(&entry.member)
}

/// Returns the contribution of a live member's own record to a digest.
pub(crate) fn member_digest(member: &Member) -> u64 {
    let incarnation = member.incarnation.to_le_bytes();
    let version = member.version.to_le_bytes();
    stable_hash(&[member.node_id.as_bytes(), &incarnation, &version])
}
