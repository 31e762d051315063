//! Records of all other members.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Bound;
use std::time::{Duration, Instant};

use hemlocktack_protocol::{Member, NodeState};

use super::record::{self, Freshness};
use hemlocktack_protocol::stable_hash;

/// What is known of one other member.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    /// The owner's own last word.
    pub(crate) member: Member,
    /// `Suspect` or `Dead` where others accuse it; else the owner's state.
    pub(crate) state: NodeState,
    pub(crate) address: Option<SocketAddr>,
    /// When `state` last changed.
    pub(crate) since: Instant,
}

impl Entry {
    pub(crate) fn freshness(&self) -> Freshness {
        Freshness::with_state(&self.member, self.state)
    }

    /// Whether it is probed and told news.
    pub(crate) fn is_live(&self) -> bool {
        !matches!(self.state, NodeState::Dead | NodeState::Left)
    }

    pub(crate) fn is_accused(&self) -> bool {
        matches!(self.state, NodeState::Suspect | NodeState::Dead)
    }

    /// The record that tells others what this node believes.
    pub(crate) fn belief(&self) -> Member {
        if self.is_accused() {
            return record::accusation(&self.member);
        }
        self.member.clone()
    }
}

/// What a record changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Merged {
    Stale,
    Changed,
    /// The member has just begun to leave.
    BeganLeaving,
}

/// Records of all other members, ordered by node id so that two tables can be
/// compared page by page.
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

    /// Changes with every live record, whatever order they came in.
    pub(crate) fn digest(&self) -> u64 {
        self.digest
    }

    pub(crate) fn after(&self, node_id: &str) -> impl Iterator<Item = (&String, &Entry)> {
        let from = (Bound::Excluded(node_id), Bound::Unbounded);
        self.entries.range::<str, _>(from)
    }

    /// Takes in a record of another node, if it is fresher than what is known.
    pub(crate) fn merge(&mut self, now: Instant, record: Member) -> Merged {
        if record::is_accusation(&record) {
            return self.hear_accusation(now, &record);
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

    /// What a member itself said last, if it has left and the record says that
    /// it is still there.
    ///
    /// Failure: a node is paused or cut off while a member leaves, and comes
    /// back when the news has been told. Symptom: pages hold nothing of who has
    /// left, so it goes on placing calls there until its own probes fail. Who
    /// tells of such a member is told that it has left.
    pub(crate) fn word_of_leaving(&self, record: &Member) -> Option<Member> {
        let entry = self.entries.get(&record.node_id)?;
        let has_left = entry.state == NodeState::Left && record.state() != NodeState::Left;
        let same_start = entry.member.incarnation == record.incarnation;
        (has_left && same_start).then(|| entry.member.clone())
    }

    /// Takes another node's accusation for a suspicion, never for more: each
    /// node waits for itself before it holds a member for dead. Were a death
    /// taken over unseen, one node with a bad network could take any member
    /// from everybody's view before it can answer.
    fn hear_accusation(&mut self, now: Instant, record: &Member) -> Merged {
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

    /// Records this node's own verdict on a member.
    pub(crate) fn judge(&mut self, now: Instant, node_id: &str, state: NodeState) {
        let Some(entry) = self.entries.get(node_id) else {
            return;
        };
        let mut entry = entry.clone();
        entry.state = state;
        entry.since = now;
        self.put(entry);
    }

    /// Gives suspected members as much longer as this node was paused itself.
    pub(crate) fn extend_suspicions(&mut self, pause: Duration) {
        for entry in self.entries.values_mut() {
            if entry.state == NodeState::Suspect {
                entry.since += pause;
            }
        }
    }

    pub(crate) fn remove(&mut self, node_id: &str) {
        if let Some(entry) = self.entries.remove(node_id) {
            self.digest ^= digest_share(&entry);
            self.live_count -= usize::from(entry.is_live());
        }
    }

    /// Drops left and dead records past their age, and the oldest over the limit.
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
        self.digest ^= digest_share(&entry);
        self.live_count += usize::from(entry.is_live());
        if let Some(old) = self.entries.insert(entry.member.node_id.clone(), entry) {
            self.digest ^= digest_share(&old);
            self.live_count -= usize::from(old.is_live());
        }
    }
}

/// Share of one record in a digest; dead and left members have none, since
/// nodes forget them at different times.
pub(crate) fn digest_share(entry: &Entry) -> u64 {
    if !entry.is_live() {
        return 0;
    }
    member_digest(&entry.member)
}

/// Share of a live member's own record in a digest.
pub(crate) fn member_digest(member: &Member) -> u64 {
    let incarnation = member.incarnation.to_le_bytes();
    let version = member.version.to_le_bytes();
    stable_hash(&[member.node_id.as_bytes(), &incarnation, &version])
}
